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
        delay.looks(looks);
        delay.reads(reads);
    }

    @Test
    void nothingIsKnownBeforeTheSecondLook() {
        assertEquals(0, delay.unreadFor(5));
        turn(5, 5.0001);
        assertEquals(0, delay.unreadFor(5.1));
    }

    @Test
    void aLoopStoodStillIfItWasNotSeenForHalfASecondAndIsToldSoOnce() {
        assertFalse(delay.stoodStill(5), "never seen");
        delay.looks(5);
        assertFalse(delay.stoodStill(5.4));
        assertTrue(delay.stoodStill(5.6), "in the middle of a turn");
        assertFalse(delay.stoodStill(5.7));
        delay.beats(6.3);
        delay.looks(6.31);
        assertTrue(delay.stoodStill(6.32), "before this turn");
        assertFalse(delay.stoodStill(6.33));
    }

    /** What was told while a loop stood still leaves it half of the grace of its own settings, not of a second. */
    @Test
    void aLoopStoodStillAfterHalfOfAShortDrainGrace() {
        LoopDelay shortGrace = new LoopDelay(0.4);
        shortGrace.looks(5);
        assertFalse(shortGrace.stoodStill(5.19));
        assertTrue(shortGrace.stoodStill(5.41));
        LoopDelay longGrace = new LoopDelay(3);
        longGrace.looks(5);
        assertTrue(longGrace.stoodStill(5.51), "no later than after half a second");
    }

    /** Guards against blaming a server for an answer that lay here while the loop was at work on something else. */
    @Test
    void whatIsFoundAtOnceMayHaveLainUnreadSinceTheLastLook() {
        turn(5, 5.0001);
        // At work on that for 250 ms; then a look that need not wait.
        turn(5.25, 5.2501);
        assertEquals(0.2505, delay.unreadFor(5.2506), EXACT);
        // Read later in the same turn: as old, and a little more.
        delay.reads(5.26);
        assertEquals(0.2599, delay.unreadFor(5.26), EXACT);
    }

    @Test
    void whatALookWaitedForIsNew() {
        turn(5, 5.0001);
        delay.beats(5.2);
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
        delay.beats(5.2);
        turn(5.2, 5.3);
        assertEquals(0.1 - LoopDelay.BEAT, delay.unreadFor(5.3), EXACT);
        delay.beats(5.3);
        assertEquals(0.1 - LoopDelay.BEAT, delay.worst(), EXACT);
    }

    @Test
    void aTurnThatReadNothingCountsAsALook() {
        turn(5, 5.0001);
        delay.looks(5.1);
        turn(5.2, 5.2001);
        assertEquals(0.1001, delay.unreadFor(5.2001), EXACT);
    }

    @Test
    void theMeanFollowsAndForgets() {
        double now = 5;
        delay.beats(now);
        for (int i = 0; i < 60; i++) {
            now += LoopDelay.BEAT + 0.05;
            delay.beats(now);
        }
        assertEquals(0.05, delay.mean(), 0.001);
        for (int i = 0; i < 60; i++) {
            now += LoopDelay.BEAT;
            delay.beats(now);
        }
        assertTrue(delay.mean() < 0.001, delay.mean() + " s");
        assertEquals(0.05, delay.worst(), 1e-6);
    }
}
