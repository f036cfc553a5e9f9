package stagepier.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stagepier.drain.Drain.Phase;
import stagepier.drain.Drain.State;

class DrainTest {
    private final Drain drain = new Drain();

    @Test
    void pauseRejectsNewClientsImmediatelyAndClosesLinksInPhases() {
        assertFalse(drain.isReady());
        drain.started();
        assertTrue(drain.isReady() && drain.reportsAlive());
        assertEquals(Phase.NONE, drain.phase(9));
        assertTrue(drain.pause(10));
        assertFalse(drain.isReady() || drain.reportsAlive());
        assertEquals(Phase.GRACE, drain.phase(10.2));
        assertEquals(Phase.CLOSE_IDLE, drain.phase(10.5));
        assertEquals(Phase.LAST, drain.phase(11.5));
        assertTrue(drain.pause(11));
        assertEquals(Phase.LAST, drain.phase(11.5), "a repeated call does not restart the drain");
    }

    @Test
    void resumeEndsAPauseAtAnyTimeAndIsIdempotent() {
        drain.started();
        assertTrue(drain.resume());
        for (double at : new double[] {0.1, 0.5, 5}) {
            drain.pause(10);
            drain.phase(10 + at);
            assertTrue(drain.resume() && drain.resume());
            assertTrue(drain.isReady() && drain.reportsAlive());
            assertEquals(Phase.NONE, drain.phase(10 + at));
        }
    }

    @Test
    void pauseBeforeTheStartAppliesAfterIt() {
        drain.pause(1);
        drain.started();
        assertEquals(State.PAUSED, drain.state());
        assertEquals(Phase.LAST, drain.phase(2), "no client has connected yet, so there is no grace period");
    }

    @Test
    void endingProcessServesForAGracePeriodAndCannotBeReverted() {
        drain.started();
        drain.end(10, false);
        assertTrue(drain.reportsAlive());
        assertFalse(drain.isReady());
        assertEquals(Phase.GRACE, drain.phase(10.6));
        assertEquals(Phase.LAST, drain.phase(10.8));
        assertFalse(drain.resume());
        drain.pause(11);
        drain.end(20, false);
        assertEquals(State.ENDING, drain.state());
        assertEquals(Phase.LAST, drain.phase(20), "a repeated call does not restart the drain");
    }

    @Test
    void linksOfClientsThatKeepSendingAreClosedBeforeThePauseDeadline() {
        drain.started();
        assertEquals(Double.POSITIVE_INFINITY, drain.idleCloseDeadline());
        drain.pause(10);
        drain.pause(13);
        assertEquals(14, drain.idleCloseDeadline(), "a repeated call does not extend the deadline");
        assertFalse(drain.rejectsRequests(11.8), "a request can still be answered in time");
        assertTrue(drain.rejectsRequests(12));
        assertFalse(drain.closesAllLinks(13.3));
        assertTrue(drain.closesAllLinks(13.5));
        drain.resume();
        assertFalse(drain.closesAllLinks(13.5));
        assertEquals(Double.POSITIVE_INFINITY, drain.idleCloseDeadline());
    }

    @Test
    void endingProcessClosesAllLinksBeforeItMayBeKilled() {
        Drain shortDeadlines = new Drain(0.4);
        shortDeadlines.started();
        shortDeadlines.end(10, false);
        assertEquals(11.1, shortDeadlines.idleCloseDeadline(), 1e-9);
        assertFalse(shortDeadlines.closesAllLinks(10.69), "it still serves");
        assertTrue(shortDeadlines.closesAllLinks(10.71));
        Drain longDeadlines = new Drain(9);
        longDeadlines.started();
        longDeadlines.end(10, true);
        assertEquals(13.7, longDeadlines.idleCloseDeadline(), 1e-9);
        assertFalse(longDeadlines.closesAllLinks(13));
        assertTrue(longDeadlines.closesAllLinks(13.2));
    }

    @Test
    void endDoesNotRevertAPauseAndPauseAppliesDuringAnEnd() {
        drain.started();
        drain.pause(10);
        drain.end(11, false);
        assertFalse(drain.reportsAlive());
        Drain ending = new Drain();
        ending.started();
        ending.end(10, false);
        ending.pause(10.1);
        assertFalse(ending.reportsAlive());
        assertFalse(ending.resume(), "an ending process cannot be resumed");
        assertFalse(ending.reportsAlive());
    }

    @Test
    void endDoesNotExtendTheDeadlineOfAnEarlierPause() {
        drain.started();
        drain.pause(10);
        drain.end(13.3, false);
        assertEquals(14, drain.idleCloseDeadline());
        assertEquals(Phase.CLOSE_IDLE, drain.phase(13.5));
        assertTrue(drain.closesAllLinks(13.5));
    }

    @Test
    void linkClosesAreSpreadOverThePhaseAndFinishBeforeItsEnd() {
        drain.started();
        drain.end(10, true);
        double at = 10;
        for (int links = 100; links > 0; links--) {
            double next = drain.nextCloseIn(at, links);
            assertTrue(next > 0 && next < 0.01, next + " s to the next");
            at += next;
        }
        assertTrue(at < 10.55, "the last link closed at " + at);
        assertEquals(0, drain.nextCloseIn(10.6, 5), "after the planned time, the next link closes immediately");
    }

    @Test
    void endWithAHandedOverSocketOrDuringAPauseClosesIdleLinksImmediately() {
        drain.started();
        drain.end(10, true);
        assertEquals(Phase.CLOSE_IDLE, drain.phase(10));
        assertEquals(Phase.LAST, drain.phase(10.8));
        Drain paused = new Drain();
        paused.started();
        paused.pause(8);
        paused.end(10, false);
        assertEquals(Phase.CLOSE_IDLE, paused.phase(10));
        assertFalse(paused.resume());
    }
}
