/**
 * Remote calls between the routers of one fleet, and the membership view that they converge on. The code runs on tasks
 * outside the event loop, which reads immutable snapshots and never waits. Disabled unless {@code GW_FLEET} names a
 * file.
 */
package stagepier.fleet;
