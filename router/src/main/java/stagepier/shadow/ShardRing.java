package stagepier.shadow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import stagepier.Api;
import stagepier.HashRing;
import stagepier.exchange.Ids;

/** A ring as it was made, which tells the owner of a key as the module would. Immutable. */
public final class ShardRing {
    private static final int NODES_USUAL = 100;
    private static final double WEIGHT_MOST = 8;

    private final HashRing ring = new HashRing();
    private final List<Long> servers;

    private ShardRing(Map<Long, Double> weights, int virtualNodes) {
        // In the order of ids, so that equal points fall to the same server everywhere.
        servers = new ArrayList<>(weights.keySet().stream().sorted().toList());
        for (int slot = 0; slot < servers.size(); slot++) {
            double weight = Math.min(WEIGHT_MOST, weights.get(servers.get(slot)));
            ring.add(slot, servers.get(slot), (int) Math.max(1, Math.rint(virtualNodes * weight)));
        }
        // A ring is put in order when it is first read: here, for later several threads read it.
        ring.owner(0);
    }

    /** The candidate's ring. */
    public static ShardRing of(CandidateMap map) {
        Map<Long, Double> weights = new java.util.HashMap<>();
        map.servers().forEach((name, weight) -> weights.put(Ids.ofServer(name), weight));
        return new ShardRing(weights, map.virtualNodes());
    }

    /**
     * The ring in use, near enough: the module also weighs a machine kind by how fast it answers, which is not seen here.
     *
     * @param sizes whether weights stand for sizes
     */
    public static ShardRing of(List<Api.Member> members, boolean sizes) {
        List<Api.Member> ready =
                members.stream().filter(m -> m.state() == Api.MemberState.READY).toList();
        double mean = ready.stream().mapToDouble(Api.Member::weight).average().orElse(1);
        // A power of two near the mean, as the module has it.
        double usual = mean > 0 ? Math.pow(2, Math.rint(Math.log(mean) / Math.log(2))) : 1;
        Map<Long, Double> weights = new java.util.HashMap<>();
        ready.forEach(m -> weights.put(m.id(), sizes && m.weight() > 0 ? m.weight() / usual : 1));
        return new ShardRing(weights, NODES_USUAL);
    }

    /** The server that a key belongs to; -1 where there is none. */
    public long owner(long key) {
        int slot = ring.owner(HashRing.mix(key));
        return slot < 0 ? -1 : servers.get(slot);
    }

    /** As the module takes it, for keys whose place is below the share. */
    Api.PromotedRing promoted(Slice slice, int share) {
        return new Api.PromotedRing() {
            @Override
            public boolean holds(long key) {
                return slice.holds(key, share);
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
