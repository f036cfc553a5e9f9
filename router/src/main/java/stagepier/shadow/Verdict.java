package stagepier.shadow;

import java.util.Locale;

/**
 * The fleet's verdict on a candidate: a confidence interval for the mean score of {@link Comparison#score} that is
 * valid at all times simultaneously, so that it may be evaluated at any time and any number of times.
 *
 * <p>The interval is that of Robbins' normal mixture (Robbins, <i>Statistical methods related to the law of the
 * iterated logarithm</i>, 1970) with the sample variance in place of the true one (Waudby-Smith, Arbour, Sinha, Kennedy
 * and Ramdas, <i>Time-uniform central limit theory and asymptotic confidence sequences</i>, 2021, theorem 2.2; the
 * corresponding test is the mixture sequential test of Johari, Pekelis and Walsh, <i>Always valid inference</i>, 2015).
 * The probability that an equal candidate is ever called better or worse is at most {@link #ERROR_PROBABILITY}. The
 * sample variance of few scores is unreliable, so there is no verdict before {@link #MIN_SCORES} of them.
 *
 * @param copies number of scores that the verdict is based on
 * @param mean mean difference of the scores: above 0 for a slower candidate
 * @param low lower end of the interval
 * @param high upper end of the interval
 */
public record Verdict(Kind kind, long copies, double mean, double low, double high) {
    /** The possible verdicts. */
    public enum Kind {
        BETTER,
        WORSE,
        NO_DIFFERENCE,
        NOT_ENOUGH;

        /** Returns the verdict in words, for operators. */
        public String describe() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** Maximum probability, over all evaluations together, that an equal candidate is called better or worse. */
    public static final double ERROR_PROBABILITY = 0.05;
    /**
     * Error probability for which the interval is computed. It is below {@link #ERROR_PROBABILITY} because the interval
     * is slightly too narrow at first, when it relies on the sample variance.
     */
    private static final double NOMINAL_ERROR = 0.035;
    /** Minimum number of scores of each kind for a verdict. */
    public static final long MIN_SCORES = 200;
    /** Number of scores at which the interval is about as narrow as an always-valid interval can be. */
    private static final double OPTIMAL_SCORES = 2000;

    private static final double RHO_SQUARED =
            (-2 * Math.log(NOMINAL_ERROR) + Math.log(-2 * Math.log(NOMINAL_ERROR) + 1)) / OPTIMAL_SCORES;

    /** Sums over scores: their number, their sum and the sum of their squares. */
    public record Sums(long n, double sum, double squares) {
        double mean() {
            return sum / n;
        }

        double variance() {
            return Math.max(1e-9, (squares - sum * mean()) / (n - 1));
        }
    }

    /**
     * @param hasQuorum the routers whose scores are in the sums are a majority of the configured ones, and so are those
     *     that reach each other
     * @param margin bound of the mean, on either side of 0, within which a candidate counts as equal
     */
    public static Verdict of(Sums candidate, Sums control, double margin, boolean hasQuorum) {
        // Evaluated as pairs of one score of each kind. The kind of each copy is drawn at random, so both numbers are
        // about equal.
        long pairs = Math.min(candidate.n(), control.n());
        long copies = candidate.n() + control.n();
        if (pairs < 2) {
            return new Verdict(Kind.NOT_ENOUGH, copies, 0, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY);
        }
        double mean = candidate.mean() - control.mean();
        double grown = pairs * RHO_SQUARED + 1;
        double halfWidth = Math.sqrt(2
                        * (candidate.variance() + control.variance())
                        * grown
                        / RHO_SQUARED
                        * Math.log(Math.sqrt(grown) / NOMINAL_ERROR))
                / pairs;
        Kind kind =
                hasQuorum && pairs >= MIN_SCORES ? kind(mean - halfWidth, mean + halfWidth, margin) : Kind.NOT_ENOUGH;
        return new Verdict(kind, copies, mean, mean - halfWidth, mean + halfWidth);
    }

    private static Kind kind(double low, double high, double margin) {
        if (low > -margin && high < margin) {
            return Kind.NO_DIFFERENCE;
        }
        return high < 0 ? Kind.BETTER : low > 0 ? Kind.WORSE : Kind.NOT_ENOUGH;
    }

    /** Returns the verdict and the change of the response time, for operators. */
    public String describe() {
        if (Double.isInfinite(low)) {
            return kind.describe() + " (" + copies + " copies compared)";
        }
        return String.format(
                Locale.ROOT,
                "%s (%d copies, time %+.1f%%, between %+.1f%% and %+.1f%%)",
                kind.describe(),
                copies,
                percent(mean),
                percent(low),
                percent(high));
    }

    private static double percent(double score) {
        return 100 * Math.expm1(Math.min(score, 5));
    }
}
