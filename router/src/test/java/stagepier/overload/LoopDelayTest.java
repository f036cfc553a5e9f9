package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** An event loop whose clock is controlled by the test. */
class LoopDelayTest {
    private static final double EXACT = 1e-9;
    private final LoopDelay delay = new LoopDelay();

    private void iterate(double polledAt, double firstReadAt) {
        delay.onPoll(polledAt);
        delay.onRead(firstReadAt);
    }

    @Test
    void delayIsUnknownBeforeTheSecondPoll() {
        assertEquals(0, delay.unreadFor(5));
        iterate(5, 5.0001);
        assertEquals(0, delay.unreadFor(5.1));
    }

    @Test
    void loopHasStalledAfterHalfASecondWithoutActivityAndReportsItOnce() {
        assertFalse(delay.hasStalled(5), "no activity so far");
        delay.onPoll(5);
        assertFalse(delay.hasStalled(5.4));
        assertTrue(delay.hasStalled(5.6), "in the middle of an iteration");
        assertFalse(delay.hasStalled(5.7));
        delay.onHeartbeat(6.3);
        delay.onPoll(6.31);
        assertTrue(delay.hasStalled(6.32), "before this iteration");
        assertFalse(delay.hasStalled(6.33));
    }

    /**
     * Changes that were announced during a stall must leave half of the configured grace to act on them, not half of a
     * second.
     */
    @Test
    void loopHasStalledAfterHalfOfAShortDrainGrace() {
        LoopDelay shortGrace = new LoopDelay(0.4);
        shortGrace.onPoll(5);
        assertFalse(shortGrace.hasStalled(5.19));
        assertTrue(shortGrace.hasStalled(5.41));
        LoopDelay longGrace = new LoopDelay(3);
        longGrace.onPoll(5);
        assertTrue(longGrace.hasStalled(5.51), "no later than after half a second");
    }

    /** A server must not be blamed for an answer that lay unread while the loop was processing something else. */
    @Test
    void inputFoundWithoutWaitingMayHaveLainUnreadSinceTheLastPoll() {
        iterate(5, 5.0001);
        // Processes that input for 250 ms; the next poll does not have to wait.
        iterate(5.25, 5.2501);
        assertEquals(0.2505, delay.unreadFor(5.2506), EXACT);
        // Read later in the same iteration: as old, plus the time since the first read.
        delay.onRead(5.26);
        assertEquals(0.2599, delay.unreadFor(5.26), EXACT);
    }

    @Test
    void inputThatAPollWaitedForIsNew() {
        iterate(5, 5.0001);
        delay.onHeartbeat(5.2);
        iterate(5.2, 5.225);
        assertEquals(0, delay.unreadFor(5.225), EXACT);
        assertEquals(0.003, delay.unreadFor(5.228), EXACT);
    }

    /** A slow poll must not be taken for one that waited: after a stall the machine is often busy. */
    @Test
    void shortPollAfterALongIterationDoesNotProveThatItWaited() {
        iterate(5, 5.0001);
        iterate(5.3, 5.304);
        assertEquals(0.3039, delay.unreadFor(5.304), EXACT);
    }

    /** A process that the operating system does not schedule cannot see that itself, except by a late heartbeat. */
    @Test
    void pollThatOutlastsTheHeartbeatWasNotScheduled() {
        iterate(5, 5.0001);
        delay.onHeartbeat(5.2);
        iterate(5.2, 5.3);
        assertEquals(0.1 - LoopDelay.HEARTBEAT_INTERVAL, delay.unreadFor(5.3), EXACT);
        delay.onHeartbeat(5.3);
        assertEquals(0.1 - LoopDelay.HEARTBEAT_INTERVAL, delay.worst(), EXACT);
    }

    @Test
    void iterationThatReadNothingCountsAsAPoll() {
        iterate(5, 5.0001);
        delay.onPoll(5.1);
        iterate(5.2, 5.2001);
        assertEquals(0.1001, delay.unreadFor(5.2001), EXACT);
    }

    @Test
    void meanFollowsTheDelayAndDecays() {
        double now = 5;
        delay.onHeartbeat(now);
        for (int i = 0; i < 60; i++) {
            now += LoopDelay.HEARTBEAT_INTERVAL + 0.05;
            delay.onHeartbeat(now);
        }
        assertEquals(0.05, delay.mean(), 0.001);
        for (int i = 0; i < 60; i++) {
            now += LoopDelay.HEARTBEAT_INTERVAL;
            delay.onHeartbeat(now);
        }
        assertTrue(delay.mean() < 0.001, delay.mean() + " s");
        assertEquals(0.05, delay.worst(), 1e-6);
    }
}
