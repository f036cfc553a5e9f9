package stagepier.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.SortedMap;

/**
 * {@code fleet.toml}, checked. All routers of a fleet are given the same file; which of them one is, is told by {@code name} in its own
 * configuration.
 *
 * @param file      where it was read, for messages
 * @param hash      of what has to be the same at all routers (names of members, lease, skew), not of addresses, which may differ from
 *                  router to router; members with another one are seen in the view
 * @param self      this router's name, one of {@code members}
 * @param listen    where this router listens for calls; its own address in {@code members} unless {@code listen} names another
 * @param members   each router's address for calls of the others, by name: the configured fleet, of which a majority decides
 * @param calendar  the file with the windows, or null where there is no calendar
 * @param lease     for how long a calendar that a majority confirmed is relied on
 * @param skew      by how much the wall clocks of two routers may differ at the most
 * @param candidate the file with the candidate map, or null where there is none
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
    /** How many of the configured fleet are a majority. */
    public int majority() {
        return members.size() / 2 + 1;
    }
}
