/**
 * The decision module of a router: selects a cache server for each request and decides whether to send,
 * repeat or refuse it. It does no I/O, reads no clock and draws random numbers only from its seed;
 * {@link stagepier.Api} is the interface to its host.
 */
package stagepier;
