package stagepier.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.SortedMap;

/**
 * The validated content of {@code fleet.toml}. All routers of a fleet use the same file; {@code name} in a router's own
 * configuration says which member it is.
 *
 * @param file      path that the configuration was read from, for messages
 * @param hash      hash of the values that must be equal on all routers (member names, lease, skew). Addresses are left
 *                  out, since they may differ from router to router. The view shows members with a different hash.
 * @param self      name of this router, one of {@code members}
 * @param listen    address on which this router accepts calls; its own address in {@code members} unless {@code listen}
 *                  names another
 * @param members   address of each router for calls by the others, by name; quorums are a majority of these members
 * @param calendar  path of the freeze calendar, or null if there is none
 * @param lease     time for which a calendar remains valid after a majority has confirmed it
 * @param skew      maximum difference between the wall clocks of two routers
 * @param candidate path of the candidate map, or null if there is none
 */
public record FleetConfig(
        Path file,
        String hash,
        String self,
        InetSocketAddress listen,
        SortedMap<String, InetSocketAddress> members,
        Path calendar,
        Duration lease,
        Duration skew,
        Path candidate) {
    /** Returns the number of members that form a majority of the configured fleet. */
    public int majority() {
        return members.size() / 2 + 1;
    }
}
