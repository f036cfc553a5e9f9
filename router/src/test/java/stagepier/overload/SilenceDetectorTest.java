package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SilenceDetectorTest {
    private final SilenceDetector silence = new SilenceDetector(1);

    private boolean isDead(double wait, int passedBy) {
        return silence.deadIn(wait, passedBy) <= 0;
    }

    private void usual(double wait, int answers) {
        Random random = new Random(3);
        for (int i = 0; i < answers; i++) {
            silence.answered(wait * (0.5 + random.nextDouble()));
        }
    }

    @Test
    void beforeItKnowsUsualAnswersItIsAsPatientAsItEverIs() {
        usual(0.02, 7);
        assertFalse(silence.isQuiet(0.6));
        assertFalse(isDead(0.6, 100));
        assertTrue(isDead(0.7, 100));
    }

    @Test
    void oneThatIsPassedByAndFarBeyondTheUsualIsDead() {
        usual(0.08, 200);
        assertFalse(silence.isQuiet(0.1));
        assertTrue(silence.isQuiet(0.25));
        assertFalse(isDead(0.1, 100), "not yet unusual");
        assertTrue(isDead(0.4, 3));
    }

    /** Guards against closing the links to a server that has stopped: no link tells anything that another does not. */
    @Test
    void aServerThatAnswersNowhereIsNotTheLinksFault() {
        usual(0.08, 200);
        assertFalse(isDead(100, 0));
        assertFalse(isDead(100, 2));
    }

    @Test
    void whatIsSlowForAllBecomesUsual() {
        usual(0.02, 200);
        assertTrue(silence.isQuiet(0.3));
        usual(0.4, 100);
        assertFalse(silence.isQuiet(0.3));
    }

    @Test
    void anAllowanceIsSpentAndComesBack() {
        TokenBucket allowance = new TokenBucket(4, 2);
        assertTrue(allowance.spend(10) && allowance.spend(10));
        assertFalse(allowance.spend(10.2));
        assertTrue(allowance.spend(10.25));
        assertTrue(allowance.spend(100) && allowance.spend(100));
        assertFalse(allowance.spend(100), "no more is saved up than that");
    }

    @Test
    void whoWaitsForRoomIsCalledInOrderAndOnlyOnce() {
        MemoryBudget room = new MemoryBudget(100);
        List<String> called = new ArrayList<>();
        assertTrue(room.take(80));
        assertFalse(room.take(30));
        room.await(() -> called.add("a"));
        room.await(() -> called.add("b"));
        room.release(0);
        assertEquals(List.of(), called);
        room.release(80);
        room.release(0);
        assertEquals(List.of("a", "b"), called);
        assertEquals(2, room.waits());
    }

    @Test
    void aConnectionIsAsOldAsTheBacklogMayBe() {
        BacklogWait backlog = new BacklogWait(2);
        assertEquals(7, backlog.earliestArrival(7), "nothing is known");
        backlog.onAccepted();
        backlog.onBatchEnd(7);
        assertEquals(7, backlog.earliestArrival(9));
        backlog.onAccepted();
        backlog.onAccepted();
        backlog.onBatchEnd(9);
        assertEquals(7, backlog.earliestArrival(9), "a whole row: more may be waiting");
        backlog.onBatchEnd(9.1);
        assertEquals(9.1, backlog.earliestArrival(9.2));
        backlog.onIdle(12);
        assertEquals(12, backlog.earliestArrival(12.1));
    }
}
