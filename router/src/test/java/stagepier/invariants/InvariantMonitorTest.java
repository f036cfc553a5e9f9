package stagepier.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class InvariantMonitorTest {
    private final InvariantMonitor monitor = new InvariantMonitor();

    @Test
    void validInvariantIsNotCountedAndItsDetailIsNotEvaluated() {
        assertTrue(monitor.check(Invariant.ANSWERED_ONCE, true, () -> {
            throw new AssertionError("detail evaluated");
        }));
        assertEquals(0, monitor.violations(Invariant.ANSWERED_ONCE));
    }

    @Test
    void violationsAreCountedUnderTheNameOfTheInvariant() {
        for (int n = 0; n < 30; n++) {
            assertFalse(monitor.check(Invariant.ANSWERED_ONCE, false, () -> "twice"));
        }
        Map<String, Long> counts = new HashMap<>();
        monitor.count(counts::put);
        assertEquals(30, counts.get("violations_answered_once"));
        assertEquals(0, counts.get("violations_gone_by_end_of_drain"));
        assertEquals(Invariant.values().length, counts.size());
    }
}
