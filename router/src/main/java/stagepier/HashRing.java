package stagepier;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;

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
    /** Servers that left, and points of those that came, since the ring was last read. */
    private final BitSet gone = new BitSet();

    private final Map<Integer, long[]> came = new HashMap<>();

    public static int virtualNodes(double weight) {
        return (int) Math.max(1, Math.rint(VIRTUAL_NODES * Math.min(weight, 8)));
    }

    public void add(int slot, long server, int virtualNodes) {
        long seed = mix(server + GOLDEN_GAMMA);
        LongStream places = LongStream.range(0, virtualNodes).map(i -> mix(seed + i * GOLDEN_GAMMA));
        came.put(slot, places.map(place -> place & ~SLOT_MASK | slot).sorted().toArray());
    }

    public void remove(int slot) {
        gone.set(slot);
        came.remove(slot);
    }

    /** Guards against a standstill: made anew for each of a list's many changes, it held a router up. */
    private void settle() {
        if (!gone.isEmpty() || !came.isEmpty()) {
            LongStream stayed = Arrays.stream(points).filter(x -> !gone.get((int) (x & SLOT_MASK)));
            LongStream added = came.values().stream().flatMapToLong(Arrays::stream);
            points = LongStream.concat(stayed, added).toArray();
            // Sorted runs are merged, which is less work than to sort the whole of a large ring.
            Arrays.sort(points);
            gone.clear();
            came.clear();
        }
    }

    /** Slot of the server that a hash belongs to, or -1 on an empty ring. */
    public int owner(long hash) {
        return from(hash).next();
    }

    /** All servers in ring order, the owner of the hash first. */
    public Walk from(long hash) {
        settle();
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
    public static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    /** The finalizer's result as a fraction of 1. */
    static double fraction(long z) {
        return (mix(z) >>> 11) * 0x1.0p-53;
    }
}
