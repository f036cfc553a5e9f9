package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class BulkheadTest {
    /** Guards against a start at which most is turned away: with two, 40% was in the first seconds of a busy day. */
    private static final int FLOOR = 8;

    @Test
    void capNeverFallsBelowTheFloorAndGrowsWithUsualConcurrency() {
        assertEquals(FLOOR, Brain.Bulkhead.cap(0));
        assertEquals(11, Brain.Bulkhead.cap(4.2));
        assertEquals(160, Brain.Bulkhead.cap(126));
    }

    @Test
    void aSendPastTheCapGoesToTheNextRingServerAtOnce() {
        Fixture f = Fixture.through(6);
        for (int i = 0; i < FLOOR; i++) {
            f.request(0, 77);
        }
        long owner = f.host.last().server();
        f.request(0, 77);
        assertEquals(FLOOR + 1, f.host.sends.size(), "spilled within the same event");
        assertNotEquals(owner, f.host.last().server());
    }

    @Test
    void withTheRingExhaustedTheRequestIsRefusedWithinWhatClientsFollow() {
        Fixture f = Fixture.through(2);
        for (int i = 0; i < 2 * FLOOR + 2; i++) {
            f.request(0, 77);
        }
        assertEquals(2 * FLOOR, f.host.sends.size());
        assertEquals(2, f.host.refused.size());
        for (double after : f.host.retryAfters) {
            assertEquals(true, after > 0 && after <= 0.75);
        }
    }

    @Test
    void anEmptyFleetRefuses() {
        Fixture f = Fixture.through(0);
        f.request(0, 77);
        assertEquals(1, f.host.refused.size());
    }
}
