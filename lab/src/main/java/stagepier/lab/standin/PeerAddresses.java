package stagepier.lab.standin;

import java.util.List;

/**
 * Where the routers of a fleet tell each other what they have in flight, as the configuration of a router names it.
 *
 * @param listen  where each router process of the run is told, by its number
 * @param all     where each of them tells all others
 * @param routers where each router of the whole fleet sends from, by its number; the router processes have the first
 *     numbers
 */
public record PeerAddresses(List<String> listen, List<String> all, List<String> routers) {
    public PeerAddresses {
        listen = List.copyOf(listen);
        all = List.copyOf(all);
        routers = List.copyOf(routers);
    }
}
