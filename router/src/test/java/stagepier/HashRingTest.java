package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class HashRingTest {
    private static final int SERVERS = 40;
    private static final int KEYS = 40_000;

    private static HashRing ring(int servers) {
        HashRing ring = new HashRing();
        for (int i = 0; i < servers; i++) {
            ring.add(i, 1000 + i, 100);
        }
        return ring;
    }

    private static int[] owners(HashRing ring) {
        SplittableRandom random = new SplittableRandom(1);
        int[] owners = new int[KEYS];
        for (int k = 0; k < KEYS; k++) {
            owners[k] = ring.owner(random.nextLong());
        }
        return owners;
    }

    @Test
    void sharesAreBalanced() {
        int[] counts = new int[SERVERS];
        for (int owner : owners(ring(SERVERS))) {
            counts[owner]++;
        }
        for (int count : counts) {
            assertTrue(count > 0.65 * KEYS / SERVERS && count < 1.4 * KEYS / SERVERS, "share of " + count);
        }
    }

    @Test
    void aNewServerTakesKeysFromOthersAndMovesNoOther() {
        HashRing ring = ring(SERVERS);
        int[] before = owners(ring);
        ring.add(SERVERS, 5000, 100);
        int[] after = owners(ring);
        int moved = 0;
        for (int k = 0; k < KEYS; k++) {
            if (before[k] != after[k]) {
                assertEquals(SERVERS, after[k]);
                moved++;
            }
        }
        assertTrue(moved < 1.4 * KEYS / (SERVERS + 1), "moved " + moved);
    }

    @Test
    void removingAServerMovesOnlyItsKeysAndAddingItAgainRestoresAll() {
        HashRing ring = ring(SERVERS);
        int[] before = owners(ring);
        ring.remove(7);
        int[] without = owners(ring);
        for (int k = 0; k < KEYS; k++) {
            assertTrue(before[k] == 7 || before[k] == without[k]);
            assertTrue(without[k] != 7);
        }
        ring.add(7, 1007, 100);
        assertEquals(Arrays.toString(before), Arrays.toString(owners(ring)));
    }

    @Test
    void theOrderOfAddingDoesNotMatter() {
        HashRing backwards = new HashRing();
        for (int i = SERVERS - 1; i >= 0; i--) {
            backwards.add(i, 1000 + i, 100);
        }
        assertEquals(Arrays.toString(owners(ring(SERVERS))), Arrays.toString(owners(backwards)));
    }

    @Test
    void changesBetweenTwoReadsMakeTheRingThatSingleOnesMake() {
        SplittableRandom random = new SplittableRandom(29);
        HashRing batched = ring(SERVERS);
        HashRing single = ring(SERVERS);
        boolean[] in = new boolean[SERVERS];
        Arrays.fill(in, true);
        for (int step = 0; step < 400; step++) {
            int slot = random.nextInt(SERVERS);
            for (HashRing ring : List.of(batched, single)) {
                if (in[slot]) {
                    ring.remove(slot);
                } else {
                    // Another server than before at the same slot.
                    ring.add(slot, 1000 + step, 100);
                }
            }
            in[slot] = !in[slot];
            single.owner(random.nextLong());
            if (step % 40 == 39) {
                assertEquals(Arrays.toString(owners(single)), Arrays.toString(owners(batched)));
            }
        }
    }

    /** By memory taken, which is the same in each run: a ring of 200 servers holds 160 KB. */
    @Test
    void aListThatChangesManyServersMakesTheRingOnce() {
        HashRing ring = ring(200);
        ring.owner(1);
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < 120; i++) {
            ring.remove(i);
            ring.add(i, 9000 + i, 100);
        }
        ring.owner(1);
        long taken = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(taken < 2_000_000, "took " + taken + " bytes");
    }
}
