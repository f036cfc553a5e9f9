/**
 * Limits that protect the router itself: connection slots, delay of the event loop, shared memory and silent
 * connections. Performs no I/O and reads no clock.
 */
package stagepier.overload;
