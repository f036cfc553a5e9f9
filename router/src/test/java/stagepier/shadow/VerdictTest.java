package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api.Lookup;
import stagepier.Api.Outcome;

/** Tests the sequential test over scores of pairs, evaluated after each score. */
@Timeout(60)
class VerdictTest {
    private static final int RUNS = 200;
    private static final int MAX_COPIES = 250_000;
    private static final double MARGIN = Math.log1p(0.02);

    /**
     * Returns the score of a pair. Both times are lognormal, one in fifty answers waits for the origin, and the copy's
     * time is multiplied by the slowdown.
     */
    private static double score(Random random, double slowdown) {
        ExecutionResult real = new ExecutionResult(Outcome.OK, Lookup.HIT, 1, time(random), true);
        ExecutionResult copy = new ExecutionResult(Outcome.OK, Lookup.HIT, 1, time(random) * slowdown, true);
        return Comparison.score(ComparisonResult.SAME, real, copy, true);
    }

    private static double time(Random random) {
        double usual = 0.004 * Math.exp(0.4 * random.nextGaussian());
        return random.nextInt(50) == 0 ? usual + 0.06 : usual;
    }

    /**
     * Returns the first verdict, evaluated after each copy, and the number of copies. The times of all copies are
     * multiplied by the last argument.
     */
    private static Verdict run(long seed, double slowdown, double copies) {
        Random random = new Random(seed);
        double[][] sums = new double[2][3];
        Verdict verdict = null;
        for (int n = 1; n <= MAX_COPIES; n++) {
            int kind = random.nextInt(2);
            double score = score(random, kind == 0 ? slowdown * copies : copies);
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

    private static Verdict run(long seed, double slowdown) {
        return run(seed, slowdown, 1);
    }

    private static long runsWithVerdict(Verdict.Kind kind, double slowdown) {
        return java.util.stream.LongStream.range(0, RUNS)
                .filter(seed -> run(seed, slowdown).kind() == kind)
                .count();
    }

    @Test
    void equalCandidateIsCalledDifferentNoMoreOftenThanTheErrorProbability() {
        long wrong = runsWithVerdict(Verdict.Kind.BETTER, 1) + runsWithVerdict(Verdict.Kind.WORSE, 1);
        System.err.println("verdicts: equal called different " + wrong + " of " + RUNS);
        assertTrue(wrong <= Verdict.ERROR_PROBABILITY * RUNS, () -> wrong + " of " + RUNS);
        assertEquals(RUNS - wrong, runsWithVerdict(Verdict.Kind.NO_DIFFERENCE, 1));
    }

    /** Prints the figures of the table in the notes on measurements. */
    @Test
    void largerDifferencesAreFoundSooner() {
        long before = Long.MAX_VALUE;
        for (double percent : new double[] {5, 10, 20}) {
            long[] worse = copies(1 + percent / 100, Verdict.Kind.WORSE);
            long[] better = copies(1 / (1 + percent / 100), Verdict.Kind.BETTER);
            System.err.printf(
                    "verdicts: %.0f%% slower: median %d, 95%% within %d; as much faster: median %d, 95%% within %d%n",
                    percent, worse[RUNS / 2], worse[RUNS * 95 / 100], better[RUNS / 2], better[RUNS * 95 / 100]);
            assertTrue(worse[RUNS / 2] < before);
            before = worse[RUNS / 2];
        }
    }

    private static long[] copies(double slowdown, Verdict.Kind kind) {
        long[] copies = new long[RUNS];
        for (int seed = 0; seed < RUNS; seed++) {
            Verdict verdict = run(seed, slowdown);
            assertEquals(kind, verdict.kind(), "seed " + seed);
            copies[seed] = verdict.copies();
        }
        Arrays.sort(copies);
        return copies;
    }

    /** Copies to any server are slower than real requests, which must not count against a map. */
    @Test
    void overheadCommonToAllCopiesDoesNotCount() {
        int called = 0;
        for (int seed = 0; seed < 40; seed++) {
            called += run(seed, 1, 1.3).kind() == Verdict.Kind.NO_DIFFERENCE ? 0 : 1;
            assertEquals(Verdict.Kind.BETTER, run(seed, 1 / 1.2, 1.3).kind(), "seed " + seed);
        }
        assertTrue(called <= 4, called + " of 40 called different");
    }

    @Test
    void fewCopiesOrAMinorityGiveNoVerdict() {
        Verdict.Sums none = new Verdict.Sums(0, 0, 0);
        Verdict.Sums few = new Verdict.Sums(Verdict.MIN_SCORES - 1, 1000, 20_000);
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
