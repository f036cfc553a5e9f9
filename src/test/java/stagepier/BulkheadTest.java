package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class BulkheadTest {
    @Test
    void capNeverFallsBelowTheFloorAndGrowsWithUsualConcurrency() {
        assertEquals(2, Brain.Bulkhead.cap(0));
        assertEquals(5, Brain.Bulkhead.cap(1.2));
        assertEquals(160, Brain.Bulkhead.cap(126));
    }

    @Test
    void aSendPastTheCapGoesToTheNextRingServerAtOnce() {
        Fixture f = Fixture.through(6);
        f.request(0, 77);
        f.request(0, 77);
        long owner = f.host.last().server();
        f.request(0, 77);
        assertEquals(3, f.host.sends.size(), "spilled within the same event");
        assertNotEquals(owner, f.host.last().server());
    }

    @Test
    void withTheRingExhaustedTheRequestIsRefusedWithinWhatClientsFollow() {
        Fixture f = Fixture.through(2);
        for (int i = 0; i < 6; i++) {
            f.request(0, 77);
        }
        assertEquals(4, f.host.sends.size());
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
