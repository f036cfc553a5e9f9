/**
 * What the routers of one fleet know of each other: calls between them, and a view that settles. Beside the event loop, on tasks;
 * the loop reads snapshots and never waits. Off unless {@code GW_FLEET} names a file.
 */
package stagepier.fleet;
