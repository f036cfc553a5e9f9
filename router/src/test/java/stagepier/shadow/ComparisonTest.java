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
    private static final long A = ExecutionResult.checksum("a".getBytes(StandardCharsets.UTF_8));
    private static final long B = ExecutionResult.checksum("b".getBytes(StandardCharsets.UTF_8));
    private static final long C = ExecutionResult.checksum("c".getBytes(StandardCharsets.UTF_8));

    private static ExecutionResult served(Lookup lookup, long value) {
        return new ExecutionResult(Outcome.OK, lookup, value, 0.01, true);
    }

    private static ExecutionResult ended(Outcome outcome) {
        return new ExecutionResult(outcome, Lookup.UNKNOWN, 0, 0.5, true);
    }

    private static final ExecutionResult HIT_A = served(Lookup.HIT, A);

    @Test
    void firstCopyOfAMovedKeyDoesNotCountAgainstTheMap() {
        assertEquals(ComparisonResult.MOVED, Comparison.of(HIT_A, served(Lookup.MISS, A), true, 0));
        assertEquals(ComparisonResult.MOVED, Comparison.of(HIT_A, served(Lookup.UNKNOWN, A), true, 0));
        assertEquals(ComparisonResult.SAME, Comparison.of(HIT_A, served(Lookup.HIT, A), true, 0));
        assertEquals(ComparisonResult.SAME, Comparison.of(HIT_A, served(Lookup.MISS, A), false, 0));
        assertTrue(Double.isNaN(Comparison.score(ComparisonResult.MOVED, HIT_A, served(Lookup.MISS, A), true)));
    }

    @Test
    void differentValueIsOlderOrInDoubt() {
        assertEquals(ComparisonResult.OLDER, Comparison.of(HIT_A, served(Lookup.HIT, B), false, B));
        assertEquals(ComparisonResult.IN_DOUBT, Comparison.of(HIT_A, served(Lookup.HIT, B), false, 0));
        assertEquals(ComparisonResult.IN_DOUBT, Comparison.of(HIT_A, served(Lookup.MISS, B), true, 0));
    }

    @Test
    void copyIsWrongOnlyIfBothServersRepeatTheirValues() {
        ExecutionResult copy = served(Lookup.HIT, B);
        assertEquals(ComparisonResult.WRONG, Comparison.recheck(HIT_A, copy, HIT_A, copy));
        assertEquals(ComparisonResult.WRONG, Comparison.recheck(HIT_A, copy, HIT_A, served(Lookup.HIT, C)));
        assertEquals(ComparisonResult.NEWER, Comparison.recheck(HIT_A, copy, copy, copy));
        assertEquals(
                ComparisonResult.NEWER, Comparison.recheck(HIT_A, copy, served(Lookup.HIT, C), served(Lookup.HIT, C)));
        assertEquals(ComparisonResult.OLDER, Comparison.recheck(HIT_A, copy, HIT_A, HIT_A));
        assertEquals(ComparisonResult.IN_DOUBT, Comparison.recheck(HIT_A, copy, ended(Outcome.TIMEOUT), copy));
    }

    @Test
    void failuresGetTheMaximumScoreAndCancelledCopiesAreNotCompared() {
        ExecutionResult late = ended(Outcome.TIMEOUT);
        assertEquals(ComparisonResult.TIMEOUT, Comparison.of(HIT_A, late, true, 0));
        assertEquals(Comparison.MAX_SCORE, Comparison.score(ComparisonResult.TIMEOUT, HIT_A, late, true));
        assertEquals(ComparisonResult.ERROR, Comparison.of(HIT_A, ended(Outcome.RESET), false, 0));
        assertEquals(ComparisonResult.TURNED_AWAY, Comparison.of(HIT_A, ended(Outcome.FULL), false, 0));
        assertEquals(ComparisonResult.NOT_COMPARED, Comparison.of(HIT_A, ended(Outcome.CANCELLED), false, 0));
        assertEquals(ComparisonResult.REAL_FAILED, Comparison.of(late, HIT_A, false, 0));
        assertEquals(-Comparison.MAX_SCORE, Comparison.score(ComparisonResult.REAL_FAILED, late, HIT_A, true));
        assertEquals(ComparisonResult.NOT_COMPARED, Comparison.of(late, late, false, 0));
    }

    @Test
    void timesAreComparedOnlyIfNothingElseWasInFlight() {
        ExecutionResult slow = new ExecutionResult(Outcome.OK, Lookup.HIT, A, 0.02, true);
        assertEquals(Math.log(21.0 / 11), Comparison.score(ComparisonResult.SAME, HIT_A, slow, true), 1e-9);
        assertEquals(-Math.log(21.0 / 11), Comparison.score(ComparisonResult.SAME, slow, HIT_A, true), 1e-9);
        assertEquals(
                Comparison.MAX_SCORE,
                Comparison.score(
                        ComparisonResult.SAME, HIT_A, new ExecutionResult(Outcome.OK, Lookup.HIT, A, 9, true), true));
        assertTrue(
                Double.isNaN(Comparison.score(ComparisonResult.SAME, HIT_A, slow, false)),
                "a copy on a new connection is scored");
        ExecutionResult behind = new ExecutionResult(Outcome.OK, Lookup.HIT, A, 0.02, false);
        assertTrue(
                Double.isNaN(Comparison.score(ComparisonResult.SAME, behind, slow, true)),
                "a real request that waited behind another answer is scored");
    }
}
