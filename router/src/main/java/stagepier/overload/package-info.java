/**
 * Limits that protect the router itself: connection places, delay of the event loop, shared memory and silent
 * connections. Free of I/O and clock.
 */
package stagepier.overload;
