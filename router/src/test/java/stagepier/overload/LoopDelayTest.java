package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A loop whose clock is in the test's hand. */
class LoopDelayTest {
    private static final double EXACT = 1e-9;
    private final LoopDelay delay = new LoopDelay();

    private void turn(double looks, double reads) {
        delay.onPoll(looks);
        delay.onRead(reads);
    }

    @Test
    void nothingIsKnownBeforeTheSecondLook() {
        assertEquals(0, delay.unreadFor(5));
        turn(5, 5.0001);
        assertEquals(0, delay.unreadFor(5.1));
    }

    @Test
    void aLoopStoodStillIfItWasNotSeenForHalfASecondAndIsToldSoOnce() {
        assertFalse(delay.hasStalled(5), "never seen");
        delay.onPoll(5);
        assertFalse(delay.hasStalled(5.4));
        assertTrue(delay.hasStalled(5.6), "in the middle of a turn");
        assertFalse(delay.hasStalled(5.7));
        delay.onHeartbeat(6.3);
        delay.onPoll(6.31);
        assertTrue(delay.hasStalled(6.32), "before this turn");
        assertFalse(delay.hasStalled(6.33));
    }

    /** What was told while a loop stood still leaves it half of the grace of its own settings, not of a second. */
    @Test
    void aLoopStoodStillAfterHalfOfAShortDrainGrace() {
        LoopDelay shortGrace = new LoopDelay(0.4);
        shortGrace.onPoll(5);
        assertFalse(shortGrace.hasStalled(5.19));
        assertTrue(shortGrace.hasStalled(5.41));
        LoopDelay longGrace = new LoopDelay(3);
        longGrace.onPoll(5);
        assertTrue(longGrace.hasStalled(5.51), "no later than after half a second");
    }

    /** Guards against blaming a server for an answer that lay here while the loop was at work on something else. */
    @Test
    void whatIsFoundAtOnceMayHaveLainUnreadSinceTheLastLook() {
        turn(5, 5.0001);
        // At work on that for 250 ms; then a look that need not wait.
        turn(5.25, 5.2501);
        assertEquals(0.2505, delay.unreadFor(5.2506), EXACT);
        // Read later in the same turn: as old, and a little more.
        delay.onRead(5.26);
        assertEquals(0.2599, delay.unreadFor(5.26), EXACT);
    }

    @Test
    void whatALookWaitedForIsNew() {
        turn(5, 5.0001);
        delay.onHeartbeat(5.2);
        turn(5.2, 5.225);
        assertEquals(0, delay.unreadFor(5.225), EXACT);
        assertEquals(0.003, delay.unreadFor(5.228), EXACT);
    }

    /** Guards against taking a look that was slow for one that waited: after a stall the machine is often busy. */
    @Test
    void aLookThatTakesALittleAfterALongTurnIsNoProof() {
        turn(5, 5.0001);
        turn(5.3, 5.304);
        assertEquals(0.3039, delay.unreadFor(5.304), EXACT);
    }

    /** Guards against a process that gets no time from its machine: it sees nothing itself but a heartbeat come late. */
    @Test
    void aLookThatOutlastsTheHeartbeatWasFrozen() {
        turn(5, 5.0001);
        delay.onHeartbeat(5.2);
        turn(5.2, 5.3);
        assertEquals(0.1 - LoopDelay.HEARTBEAT_INTERVAL, delay.unreadFor(5.3), EXACT);
        delay.onHeartbeat(5.3);
        assertEquals(0.1 - LoopDelay.HEARTBEAT_INTERVAL, delay.worst(), EXACT);
    }

    @Test
    void aTurnThatReadNothingCountsAsALook() {
        turn(5, 5.0001);
        delay.onPoll(5.1);
        turn(5.2, 5.2001);
        assertEquals(0.1001, delay.unreadFor(5.2001), EXACT);
    }

    @Test
    void theMeanFollowsAndForgets() {
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
