package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api.Lookup;
import stagepier.Api.Outcome;

/** The sequential test over scores of pairs, looked at after each one. */
@Timeout(60)
class VerdictTest {
    private static final int PLAYS = 200;
    private static final int COPIES_MOST = 250_000;
    private static final double MARGIN = Math.log1p(0.02);

    /**
     * A pair's score: both times are lognormal, one in fifty answers waits for the origin, and the copy's is so many times as
     * long.
     */
    private static double score(Random random, double times) {
        ExecutionResult real = new ExecutionResult(Outcome.OK, Lookup.HIT, 1, time(random), true);
        ExecutionResult copy = new ExecutionResult(Outcome.OK, Lookup.HIT, 1, time(random) * times, true);
        return Comparison.score(ComparisonResult.SAME, real, copy, true);
    }

    private static double time(Random random) {
        double usual = 0.004 * Math.exp(0.4 * random.nextGaussian());
        return random.nextInt(50) == 0 ? usual + 0.06 : usual;
    }

    /** What was said first, and after how many copies; looked at after each one. All copies take so many times as long. */
    private static Verdict play(long seed, double times, double copies) {
        Random random = new Random(seed);
        double[][] sums = new double[2][3];
        Verdict verdict = null;
        for (int n = 1; n <= COPIES_MOST; n++) {
            int kind = random.nextInt(2);
            double score = score(random, kind == 0 ? times * copies : copies);
            sums[kind][0]++;
            sums[kind][1] += score;
            sums[kind][2] += score * score;
            verdict = Verdict.of(sums(sums[0]), sums(sums[1]), MARGIN, true);
            if (verdict.kind() != Verdict.Kind.NOT_ENOUGH) {
                break;
            }
        }
        return verdict;
    }

    private static Verdict.Sums sums(double[] s) {
        return new Verdict.Sums((long) s[0], s[1], s[2]);
    }

    private static Verdict play(long seed, double times) {
        return play(seed, times, 1);
    }

    private static long said(Verdict.Kind kind, double times) {
        return java.util.stream.LongStream.range(0, PLAYS)
                .filter(seed -> play(seed, times).kind() == kind)
                .count();
    }

    @Test
    void anEqualCandidateIsCalledBetterOrWorseNoMoreOftenThanStated() {
        long wrong = said(Verdict.Kind.BETTER, 1) + said(Verdict.Kind.WORSE, 1);
        System.err.println("verdicts: equal called different " + wrong + " of " + PLAYS);
        assertTrue(wrong <= Verdict.ERROR * PLAYS, () -> wrong + " of " + PLAYS);
        assertEquals(PLAYS - wrong, said(Verdict.Kind.NO_DIFFERENCE, 1));
    }

    /** The figures of the table in the notes on measurements. */
    @Test
    void aDifferenceIsFoundAndTheLargerTheSooner() {
        long before = Long.MAX_VALUE;
        for (double percent : new double[] {5, 10, 20}) {
            long[] worse = copies(1 + percent / 100, Verdict.Kind.WORSE);
            long[] better = copies(1 / (1 + percent / 100), Verdict.Kind.BETTER);
            System.err.printf(
                    "verdicts: %.0f%% slower: median %d, 95%% within %d; as much faster: median %d, 95%% within %d%n",
                    percent, worse[PLAYS / 2], worse[PLAYS * 95 / 100], better[PLAYS / 2], better[PLAYS * 95 / 100]);
            assertTrue(worse[PLAYS / 2] < before);
            before = worse[PLAYS / 2];
        }
    }

    private static long[] copies(double times, Verdict.Kind kind) {
        long[] copies = new long[PLAYS];
        for (int seed = 0; seed < PLAYS; seed++) {
            Verdict verdict = play(seed, times);
            assertEquals(kind, verdict.kind(), "seed " + seed);
            copies[seed] = verdict.copies();
        }
        Arrays.sort(copies);
        return copies;
    }

    /** Copies as such are slower than real requests, at whichever server: that is not held against a map. */
    @Test
    void whatIsTrueOfAllCopiesDoesNotCount() {
        int called = 0;
        for (int seed = 0; seed < 40; seed++) {
            called += play(seed, 1, 1.3).kind() == Verdict.Kind.NO_DIFFERENCE ? 0 : 1;
            assertEquals(Verdict.Kind.BETTER, play(seed, 1 / 1.2, 1.3).kind(), "seed " + seed);
        }
        assertTrue(called <= 4, called + " of 40 called different");
    }

    @Test
    void fewCopiesOrAMinorityNeverDecide() {
        Verdict.Sums none = new Verdict.Sums(0, 0, 0);
        Verdict.Sums few = new Verdict.Sums(Verdict.LEAST - 1, 1000, 20_000);
        Verdict.Sums many = new Verdict.Sums(100_000, 50_000, 60_000);
        Verdict.Sums control = new Verdict.Sums(100_000, 0, 60_000);
        assertEquals(
                Verdict.Kind.NOT_ENOUGH, Verdict.of(none, none, MARGIN, true).kind());
        assertEquals(
                Verdict.Kind.NOT_ENOUGH, Verdict.of(many, none, MARGIN, true).kind());
        assertEquals(
                Verdict.Kind.NOT_ENOUGH, Verdict.of(few, control, MARGIN, true).kind());
        assertEquals(
                Verdict.Kind.NOT_ENOUGH,
                Verdict.of(many, control, MARGIN, false).kind());
        assertEquals(Verdict.Kind.WORSE, Verdict.of(many, control, MARGIN, true).kind());
    }
}
