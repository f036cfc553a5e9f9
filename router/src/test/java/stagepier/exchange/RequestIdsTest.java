package stagepier.exchange;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards how long an id is in use, and the memory of many ids. */
class RequestIdsTest {
    private static final double LONGEST_DEADLINE = 3;
    private static final int IDS = 400_000;
    /** A quarter of the heap of a router for the ids that one client can send in the time of a deadline. */
    private static final long BYTES_PER_ID_MAX = 64;

    private final RequestIds ids = new RequestIds(LONGEST_DEADLINE);

    @Test
    void idIsInUseForTheLongestDeadlineAndTwoSecondsMore() {
        for (int i = 0; i < 20; i++) {
            ids.take("x" + i, 0.1 * i);
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(ids.isTaken("x" + i, 0.1 * i + LONGEST_DEADLINE + 2), "x" + i);
        }
        assertFalse(ids.isTaken("y", 5));
        assertFalse(ids.isTaken("x19", 1.9 + LONGEST_DEADLINE + 2 + 1));
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Prevents the heap from filling while a client sends requests at full speed under ever new ids. */
    @Test
    void manyIdsTakeLittleMemory() {
        long before = usedHeap();
        for (int i = 0; i < IDS; i++) {
            ids.take("%016x".formatted(i), i * LONGEST_DEADLINE / IDS);
        }
        long perId = (usedHeap() - before) / IDS;
        assertTrue(ids.isTaken("%016x".formatted(IDS / 2), LONGEST_DEADLINE));
        assertTrue(perId <= BYTES_PER_ID_MAX, "an id takes " + perId + " bytes");
    }
}
