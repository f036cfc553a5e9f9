package stagepier;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * Consistent hash ring of servers, each identified by a slot from 0 to 65,535. Points form one sorted array:
 * 48 bits position, 16 bits slot. Equal members and weights give equal rings, whatever the insertion order.
 */
public final class HashRing {
    /** Virtual nodes of a server of weight 1: shares of the ring then differ by about a tenth. */
    private static final int VIRTUAL_NODES = 100;

    private static final long SLOT_MASK = 0xffff;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    private long[] points = {};
    /** Slots removed and points added since the last read; they are applied at the next read. */
    private final BitSet removed = new BitSet();

    private final Map<Integer, long[]> added = new HashMap<>();

    public static int virtualNodes(double weight) {
        return (int) Math.max(1, Math.rint(VIRTUAL_NODES * Math.min(weight, 8)));
    }

    public void add(int slot, long server, int virtualNodes) {
        long seed = mix(server + GOLDEN_GAMMA);
        LongStream positions = LongStream.range(0, virtualNodes).map(i -> mix(seed + i * GOLDEN_GAMMA));
        added.put(
                slot,
                positions.map(position -> position & ~SLOT_MASK | slot).sorted().toArray());
    }

    public void remove(int slot) {
        removed.set(slot);
        added.remove(slot);
    }

    /** Applies all changes at once: rebuilding the ring per change of a long list blocked the event loop. */
    private void applyChanges() {
        if (!removed.isEmpty() || !added.isEmpty()) {
            LongStream kept = Arrays.stream(points).filter(x -> !removed.get((int) (x & SLOT_MASK)));
            LongStream inserted = added.values().stream().flatMapToLong(Arrays::stream);
            points = LongStream.concat(kept, inserted).toArray();
            // Arrays.sort merges sorted runs, which is cheaper than sorting a large ring from scratch.
            Arrays.sort(points);
            removed.clear();
            added.clear();
        }
    }

    /** Returns the slot of the server that owns a hash, or -1 on an empty ring. */
    public int owner(long hash) {
        return from(hash).next();
    }

    /** Returns a walk over all servers in ring order, starting with the owner of the hash. */
    public Walk from(long hash) {
        applyChanges();
        return new Walk(hash);
    }

    /** One pass around a snapshot of the ring taken when the walk began. */
    public final class Walk {
        private final long[] ring = points;
        private final BitSet visited = new BitSet();
        private int index;
        private int remaining = ring.length;

        private Walk(long hash) {
            int i = Arrays.binarySearch(ring, hash & ~SLOT_MASK);
            index = i < 0 ? -i - 1 : i;
        }

        /** Returns the slot of the next server not yet visited, or -1 after the last. */
        public int next() {
            while (remaining-- > 0) {
                int slot = (int) (ring[index++ % ring.length] & SLOT_MASK);
                if (!visited.get(slot)) {
                    visited.set(slot);
                    return slot;
                }
            }
            return -1;
        }
    }

    /** Finalizer of SplitMix64: every input bit affects every output bit. */
    public static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    /** Returns the finalizer's result scaled to [0, 1). */
    static double fraction(long z) {
        return (mix(z) >>> 11) * 0x1.0p-53;
    }
}
