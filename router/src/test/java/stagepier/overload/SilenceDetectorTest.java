package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SilenceDetectorTest {
    private final SilenceDetector detector = new SilenceDetector(1);

    private boolean isSilent(double wait, int overtakes) {
        return detector.silentIn(wait, overtakes) <= 0;
    }

    private void recordAnswers(double wait, int answers) {
        Random random = new Random(3);
        for (int i = 0; i < answers; i++) {
            detector.recordWait(wait * (0.5 + random.nextDouble()));
        }
    }

    @Test
    void limitsAreAtTheirMaximumUntilEnoughAnswersAreKnown() {
        recordAnswers(0.02, 7);
        assertFalse(detector.isUnusuallyLong(0.6));
        assertFalse(isSilent(0.6, 100));
        assertTrue(isSilent(0.7, 100));
    }

    @Test
    void overtakenConnectionFarBeyondUsualWaitsIsSilent() {
        recordAnswers(0.08, 200);
        assertFalse(detector.isUnusuallyLong(0.1));
        assertTrue(detector.isUnusuallyLong(0.25));
        assertFalse(isSilent(0.1, 100), "not yet unusual");
        assertTrue(isSilent(0.4, 3));
    }

    /** The links to a server that has stopped answering must not be closed: none of them differs from another. */
    @Test
    void connectionIsNotSilentWhenTheServerAnswersNowhere() {
        recordAnswers(0.08, 200);
        assertFalse(isSilent(100, 0));
        assertFalse(isSilent(100, 2));
    }

    @Test
    void waitThatIsLongForAllConnectionsBecomesUsual() {
        recordAnswers(0.02, 200);
        assertTrue(detector.isUnusuallyLong(0.3));
        recordAnswers(0.4, 100);
        assertFalse(detector.isUnusuallyLong(0.3));
    }

    @Test
    void tokenBucketIsSpentAndRefilled() {
        TokenBucket bucket = new TokenBucket(4, 2);
        assertTrue(bucket.spend(10) && bucket.spend(10));
        assertFalse(bucket.spend(10.2));
        assertTrue(bucket.spend(10.25));
        assertTrue(bucket.spend(100) && bucket.spend(100));
        assertFalse(bucket.spend(100), "no more tokens than the capacity are saved");
    }

    @Test
    void memoryBudgetCallsWaitingOwnersInOrderAndOnlyOnce() {
        MemoryBudget budget = new MemoryBudget(100);
        List<String> called = new ArrayList<>();
        assertTrue(budget.take(80));
        assertFalse(budget.take(30));
        budget.await(() -> called.add("a"));
        budget.await(() -> called.add("b"));
        budget.release(0);
        assertEquals(List.of(), called);
        budget.release(80);
        budget.release(0);
        assertEquals(List.of("a", "b"), called);
        assertEquals(2, budget.waits());
    }

    @Test
    void connectionMayBeAsOldAsTheLastEmptyBacklog() {
        BacklogWait backlog = new BacklogWait(2);
        assertEquals(7, backlog.earliestArrival(7), "no batch has ended yet");
        backlog.onAccepted();
        backlog.onBatchEnd(7);
        assertEquals(7, backlog.earliestArrival(9));
        backlog.onAccepted();
        backlog.onAccepted();
        backlog.onBatchEnd(9);
        assertEquals(7, backlog.earliestArrival(9), "a full batch: more connections may be waiting");
        backlog.onBatchEnd(9.1);
        assertEquals(9.1, backlog.earliestArrival(9.2));
        backlog.onIdle(12);
        assertEquals(12, backlog.earliestArrival(12.1));
    }
}
