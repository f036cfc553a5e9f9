/**
 * The decisions of one router: which cache server each request goes to, and whether it is sent, repeated or refused.
 * Free of I/O, clock and randomness of its own; {@link stagepier.Api} is the interface to its host.
 */
package stagepier;
