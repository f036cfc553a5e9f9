package stagepier.shadow;

import java.util.Locale;

/**
 * What the fleet thinks of a candidate: a confidence interval for the mean score of {@link Comparison#score}, good at all times
 * at once, so that it may be looked at whenever one likes.
 *
 * <p>The interval is that of Robbins' normal mixture (Robbins, <i>Statistical methods related to the law of the iterated
 * logarithm</i>, 1970) with the variance seen in place of the true one (Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas,
 * <i>Time-uniform central limit theory and asymptotic confidence sequences</i>, 2021, theorem 2.2; the test that goes with it is
 * the mixture sequential test of Johari, Pekelis and Walsh, <i>Always valid inference</i>, 2015). The chance that an equal
 * candidate is ever called better or worse is at most {@link #ERROR}. For few scores the variance seen says little: no word
 * before {@link #LEAST} of them.
 *
 * @param copies scores that it rests on
 * @param mean   of the scores: above 0 for a candidate that is slower
 * @param low    end of the interval
 * @param high   end of the interval
 */
public record Verdict(Kind kind, long copies, double mean, double low, double high) {
    /** What may be said. */
    public enum Kind {
        BETTER,
        WORSE,
        NO_DIFFERENCE,
        NOT_ENOUGH;

        /** In words, as staff read it. */
        public String describe() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** Chance, over all looks together, that an equal candidate is called better or worse. */
    public static final double ERROR = 0.05;
    /** What the interval is made for: with the variance seen it is a little too narrow at first. */
    private static final double MADE_FOR = 0.035;
    /** Scores of each kind before which nothing is said. */
    public static final long LEAST = 200;
    /** Scores for which the interval is about as narrow as one can be that is good at all times. */
    private static final double BEST_AT = 2000;

    private static final double RHO_SQUARED =
            (-2 * Math.log(MADE_FOR) + Math.log(-2 * Math.log(MADE_FOR) + 1)) / BEST_AT;

    /** Scores, added up: how many, their sum and that of their squares. */
    public record Sums(long n, double sum, double squares) {
        double mean() {
            return sum / n;
        }

        double variance() {
            return Math.max(1e-9, (squares - sum * mean()) / (n - 1));
        }
    }

    /**
     * @param hasQuorum routers whose scores are in the sums are a majority of the configured ones, and so are those that hear each
     *               other
     * @param margin mean, on either side of 0, within which a candidate is no different
     */
    public static Verdict of(Sums candidate, Sums control, double margin, boolean hasQuorum) {
        // As so many pairs of one of each: the kind of each copy is drawn, so there are about as many of both.
        long pairs = Math.min(candidate.n(), control.n());
        long copies = candidate.n() + control.n();
        if (pairs < 2) {
            return new Verdict(Kind.NOT_ENOUGH, copies, 0, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY);
        }
        double mean = candidate.mean() - control.mean();
        double grown = pairs * RHO_SQUARED + 1;
        double half = Math.sqrt(2
                        * (candidate.variance() + control.variance())
                        * grown
                        / RHO_SQUARED
                        * Math.log(Math.sqrt(grown) / MADE_FOR))
                / pairs;
        Kind kind = hasQuorum && pairs >= LEAST ? kind(mean - half, mean + half, margin) : Kind.NOT_ENOUGH;
        return new Verdict(kind, copies, mean, mean - half, mean + half);
    }

    private static Kind kind(double low, double high, double margin) {
        if (low > -margin && high < margin) {
            return Kind.NO_DIFFERENCE;
        }
        return high < 0 ? Kind.BETTER : low > 0 ? Kind.WORSE : Kind.NOT_ENOUGH;
    }

    /** For staff: the verdict, and by how much slower answers are. */
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
