package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api.Lookup;
import stagepier.Api.Outcome;

@Timeout(20)
class ComparisonTest {
    private static final long A = Seen.checksum("a".getBytes(StandardCharsets.UTF_8));
    private static final long B = Seen.checksum("b".getBytes(StandardCharsets.UTF_8));
    private static final long C = Seen.checksum("c".getBytes(StandardCharsets.UTF_8));

    private static Seen served(Lookup lookup, long value) {
        return new Seen(Outcome.OK, lookup, value, 0.01, true);
    }

    private static Seen ended(Outcome outcome) {
        return new Seen(outcome, Lookup.UNKNOWN, 0, 0.5, true);
    }

    private static final Seen HIT_A = served(Lookup.HIT, A);

    @Test
    void theFirstCopyOfAMovedKeyIsNoFaultOfTheMap() {
        assertEquals(Result.MOVED, Comparison.of(HIT_A, served(Lookup.MISS, A), true, 0));
        assertEquals(Result.MOVED, Comparison.of(HIT_A, served(Lookup.UNKNOWN, A), true, 0));
        assertEquals(Result.SAME, Comparison.of(HIT_A, served(Lookup.HIT, A), true, 0));
        assertEquals(Result.SAME, Comparison.of(HIT_A, served(Lookup.MISS, A), false, 0));
        assertTrue(Double.isNaN(Comparison.score(Result.MOVED, HIT_A, served(Lookup.MISS, A), true)));
    }

    @Test
    void anotherValueIsOlderOrInDoubt() {
        assertEquals(Result.OLDER, Comparison.of(HIT_A, served(Lookup.HIT, B), false, B));
        assertEquals(Result.IN_DOUBT, Comparison.of(HIT_A, served(Lookup.HIT, B), false, 0));
        assertEquals(Result.IN_DOUBT, Comparison.of(HIT_A, served(Lookup.MISS, B), true, 0));
    }

    @Test
    void itIsWrongOnlyWhereBothStandByTheirs() {
        Seen copy = served(Lookup.HIT, B);
        assertEquals(Result.WRONG, Comparison.secondLook(HIT_A, copy, HIT_A, copy));
        assertEquals(Result.WRONG, Comparison.secondLook(HIT_A, copy, HIT_A, served(Lookup.HIT, C)));
        assertEquals(Result.NEWER, Comparison.secondLook(HIT_A, copy, copy, copy));
        assertEquals(Result.NEWER, Comparison.secondLook(HIT_A, copy, served(Lookup.HIT, C), served(Lookup.HIT, C)));
        assertEquals(Result.OLDER, Comparison.secondLook(HIT_A, copy, HIT_A, HIT_A));
        assertEquals(Result.IN_DOUBT, Comparison.secondLook(HIT_A, copy, ended(Outcome.TIMEOUT), copy));
    }

    @Test
    void failuresCountTheMostAndWhatWasGivenUpCountsNothing() {
        Seen late = ended(Outcome.TIMEOUT);
        assertEquals(Result.TIMEOUT, Comparison.of(HIT_A, late, true, 0));
        assertEquals(Comparison.RATIO_MOST, Comparison.score(Result.TIMEOUT, HIT_A, late, true));
        assertEquals(Result.ERROR, Comparison.of(HIT_A, ended(Outcome.RESET), false, 0));
        assertEquals(Result.TURNED_AWAY, Comparison.of(HIT_A, ended(Outcome.FULL), false, 0));
        assertEquals(Result.NOT_COMPARED, Comparison.of(HIT_A, ended(Outcome.CANCELLED), false, 0));
        assertEquals(Result.REAL_FAILED, Comparison.of(late, HIT_A, false, 0));
        assertEquals(-Comparison.RATIO_MOST, Comparison.score(Result.REAL_FAILED, late, HIT_A, true));
        assertEquals(Result.NOT_COMPARED, Comparison.of(late, late, false, 0));
    }

    @Test
    void timesAreComparedOnlyWhereNothingElseWasWaitedFor() {
        Seen slow = new Seen(Outcome.OK, Lookup.HIT, A, 0.02, true);
        assertEquals(Math.log(21.0 / 11), Comparison.score(Result.SAME, HIT_A, slow, true), 1e-9);
        assertEquals(-Math.log(21.0 / 11), Comparison.score(Result.SAME, slow, HIT_A, true), 1e-9);
        assertEquals(
                Comparison.RATIO_MOST,
                Comparison.score(Result.SAME, HIT_A, new Seen(Outcome.OK, Lookup.HIT, A, 9, true), true));
        assertTrue(
                Double.isNaN(Comparison.score(Result.SAME, HIT_A, slow, false)), "a connection that has just come up");
        Seen behind = new Seen(Outcome.OK, Lookup.HIT, A, 0.02, false);
        assertTrue(Double.isNaN(Comparison.score(Result.SAME, behind, slow, true)), "behind another answer");
    }
}
