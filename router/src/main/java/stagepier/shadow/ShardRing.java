package stagepier.shadow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import stagepier.Api;
import stagepier.HashRing;
import stagepier.exchange.Ids;

/** A hash ring that returns the owner of a key as the routing module does. Immutable. */
public final class ShardRing {
    private static final int DEFAULT_VIRTUAL_NODES = 100;
    private static final double MAX_WEIGHT = 8;

    private final HashRing ring = new HashRing();
    private final List<Long> servers;

    private ShardRing(Map<Long, Double> weights, int virtualNodes) {
        // Added in the order of their ids, so that equal points belong to the same server on all routers.
        servers = new ArrayList<>(weights.keySet().stream().sorted().toList());
        for (int slot = 0; slot < servers.size(); slot++) {
            double weight = Math.min(MAX_WEIGHT, weights.get(servers.get(slot)));
            ring.add(slot, servers.get(slot), (int) Math.max(1, Math.rint(virtualNodes * weight)));
        }
        // A ring sorts itself on the first read. That is done here because several threads read it later.
        ring.owner(0);
    }

    /** Returns the ring of a candidate. */
    public static ShardRing of(CandidateMap map) {
        Map<Long, Double> weights = new java.util.HashMap<>();
        map.servers().forEach((name, weight) -> weights.put(Ids.ofServer(name), weight));
        return new ShardRing(weights, map.virtualNodes());
    }

    /**
     * Returns an approximation of the ring in use. The routing module also weights machine kinds by their response
     * times, which are not available here.
     *
     * @param sizes whether weights are sizes
     */
    public static ShardRing of(List<Api.Member> members, boolean sizes) {
        List<Api.Member> ready =
                members.stream().filter(m -> m.state() == Api.MemberState.READY).toList();
        double mean = ready.stream().mapToDouble(Api.Member::weight).average().orElse(1);
        // The routing module uses a power of two near the mean as well.
        double baseWeight = mean > 0 ? Math.pow(2, Math.rint(Math.log(mean) / Math.log(2))) : 1;
        Map<Long, Double> weights = new java.util.HashMap<>();
        ready.forEach(m -> weights.put(m.id(), sizes && m.weight() > 0 ? m.weight() / baseWeight : 1));
        return new ShardRing(weights, DEFAULT_VIRTUAL_NODES);
    }

    /** Returns the server that owns a key; -1 if there is none. */
    public long owner(long key) {
        int slot = ring.owner(HashRing.mix(key));
        return slot < 0 ? -1 : servers.get(slot);
    }

    /** Returns the ring in the form that the routing module takes, for the keys whose position is below the share. */
    Api.PromotedRing promoted(Slice slice, int share) {
        return new Api.PromotedRing() {
            @Override
            public boolean holds(long key) {
                return slice.contains(key, share);
            }

            @Override
            public HashRing ring() {
                return ring;
            }

            @Override
            public long serverAt(int slot) {
                return servers.get(slot);
            }
        };
    }

    public List<Long> servers() {
        return List.copyOf(servers);
    }
}
