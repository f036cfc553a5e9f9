package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
        assertEquals(java.util.Arrays.toString(before), java.util.Arrays.toString(owners(ring)));
    }

    @Test
    void theOrderOfAddingDoesNotMatter() {
        HashRing backwards = new HashRing();
        for (int i = SERVERS - 1; i >= 0; i--) {
            backwards.add(i, 1000 + i, 100);
        }
        assertEquals(java.util.Arrays.toString(owners(ring(SERVERS))), java.util.Arrays.toString(owners(backwards)));
    }
}
