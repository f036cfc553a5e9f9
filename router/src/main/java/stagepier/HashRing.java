package stagepier;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Consistent hash ring of servers, each known by a slot of 0 to 65,535. In one sorted array: 48 bits of a
 * point are its place, 16 its slot. The same members and weights make the same ring, added in any order.
 */
public final class HashRing {
    /** Virtual nodes of a server of weight 1: arcs then differ by about a tenth. */
    private static final int VIRTUAL_NODES = 100;
    private static final long SLOT_MASK = 0xffff;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    private long[] points = {};

    public static int virtualNodes(double weight) {
        return (int) Math.max(1, Math.rint(VIRTUAL_NODES * Math.min(weight, 8)));
    }

    public void add(int slot, long server, int virtualNodes) {
        int old = points.length;
        long[] more = Arrays.copyOf(points, old + virtualNodes);
        long seed = mix(server + GOLDEN_GAMMA);
        for (int i = 0; i < virtualNodes; i++) {
            more[old + i] = mix(seed + i * GOLDEN_GAMMA) & ~SLOT_MASK | slot;
        }
        Arrays.sort(more);
        points = more;
    }

    public void remove(int slot) {
        points = Arrays.stream(points).filter(point -> (point & SLOT_MASK) != slot).toArray();
    }

    /** Slot of the server that a hash belongs to, or -1 on an empty ring. */
    public int owner(long hash) {
        return from(hash).next();
    }

    /** All servers in ring order, the owner of the hash first. */
    public Walk from(long hash) {
        return new Walk(hash);
    }

    /** One way round a ring as it was when the walk began. */
    public final class Walk {
        private final long[] ring = points;
        private final BitSet met = new BitSet();
        private int at;
        private int left = ring.length;

        private Walk(long hash) {
            int i = Arrays.binarySearch(ring, hash & ~SLOT_MASK);
            at = i < 0 ? -i - 1 : i;
        }

        /** Slot of the next server not met yet, or -1 after the last. */
        public int next() {
            while (left-- > 0) {
                int slot = (int) (ring[at++ % ring.length] & SLOT_MASK);
                if (!met.get(slot)) {
                    met.set(slot);
                    return slot;
                }
            }
            return -1;
        }
    }

    /** Finalizer of SplitMix64: every input bit reaches every output bit. */
    static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    /** The finalizer's result as a fraction of 1. */
    static double fraction(long z) {
        return (mix(z) >>> 11) * 0x1.0p-53;
    }
}
