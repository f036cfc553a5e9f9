package stagepier.bans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class BansTest {
    @Test
    void decisionWithHighestVersionIsInForceInWhateverOrderItArrives() {
        Bans bans = new Bans();
        assertTrue(bans.take(new Ban("a", true, 10, 1)));
        assertFalse(bans.take(new Ban("a", true, 10, 1)), "not new");
        assertTrue(bans.take(new Ban("a", false, 12, 3)));
        assertFalse(bans.take(new Ban("a", true, 11, 2)), "older than the one in force");
        assertFalse(bans.isBanned("a"));
        assertEquals(12, bans.restoredAt("a"));
        assertTrue(bans.take(new Ban("a", true, 5, 4)), "of a process with another clock");
        assertTrue(bans.isBanned("a"));
    }

    @Test
    void storedDecisionReplacesOneThatCouldNotBeStoredInItsPlace() {
        Bans bans = new Bans();
        assertTrue(bans.take(new Ban("a", true, 10, 7)));
        assertTrue(bans.take(new Ban("a", false, 9, 7)));
        assertFalse(bans.isBanned("a"));
    }

    @Test
    void laterDecisionHasLaterTimeAlsoWithAClockThatIsBehind() {
        Ban last = new Ban("a", false, 12, 7);
        Ban next = Ban.next("a", true, last, 11.5);
        assertTrue(next.since() > 12, "a clock that is a little behind must not make it older");
        assertEquals(8, next.version());
        assertEquals(13, Ban.next("a", true, last, 13).since());
        assertEquals(11.5, Ban.next("a", true, null, 11.5).since());
    }

    @Test
    void restoredServerIsForgottenInTimeAndABannedOneNever() {
        Bans bans = new Bans();
        bans.take(new Ban("a", true, 10, 1));
        bans.take(new Ban("b", false, 10, 2));
        assertEquals(List.of(), bans.forget(10 + Bans.RESTORED_RETENTION_S));
        assertEquals(List.of(new Ban("b", false, 10, 2)), bans.forget(1000));
        assertTrue(bans.isBanned("a"));
        assertEquals(1, bans.out());
    }
}
