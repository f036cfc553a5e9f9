package stagepier.shadow;

import stagepier.Api;

/** Says what a copy's answer was beside the real one. Pure. */
public final class Comparison {
    /** Logarithm of the time ratio beyond which it counts no more: one answer that waited must not decide. */
    public static final double RATIO_MOST = Math.log(8);
    /**
     * Seconds that are added to both times. Guards against a verdict on what this router's loop does between an answer's arrival and
     * its being read, some hundredths of a millisecond, which is not the same for both.
     */
    static final double FLOOR = 0.001;

    private Comparison() {}

    /**
     * @param first  no copy of this key has been answered there of late
     * @param before what the real owner gave before this answer, 0 for nothing that is known
     */
    public static ComparisonResult of(ExecutionResult real, ExecutionResult copy, boolean first, long before) {
        if (!copy.isServed()) {
            return real.isServed() ? failed(copy) : ComparisonResult.NOT_COMPARED;
        }
        if (!real.isServed()) {
            return first ? ComparisonResult.MOVED : ComparisonResult.REAL_FAILED;
        }
        if (real.hasValue() && copy.hasValue() && real.value() != copy.value()) {
            // Whatever it is, it is asked for once more, unless it is known.
            return copy.value() == before ? ComparisonResult.OLDER : ComparisonResult.IN_DOUBT;
        }
        if (first && !copy.isHit()) {
            return ComparisonResult.MOVED;
        }
        return real.hasValue() && copy.hasValue() ? ComparisonResult.SAME : ComparisonResult.NOT_COMPARED;
    }

    private static ComparisonResult failed(ExecutionResult copy) {
        return switch (copy.outcome()) {
            case TIMEOUT -> ComparisonResult.TIMEOUT;
            case FULL, CONNECT_FAILED, NOT_SENT -> ComparisonResult.TURNED_AWAY;
            case CANCELLED -> ComparisonResult.NOT_COMPARED;
            default -> ComparisonResult.ERROR;
        };
    }

    /** Of the second look, in which first the real owner, then the candidate's is asked once more. */
    public static ComparisonResult secondLook(
            ExecutionResult real, ExecutionResult copy, ExecutionResult realAgain, ExecutionResult copyAgain) {
        if (!realAgain.hasValue() || !copyAgain.hasValue()) {
            return ComparisonResult.IN_DOUBT;
        }
        if (realAgain.value() == copy.value()
                || copyAgain.value() == realAgain.value() && realAgain.value() != real.value()) {
            return ComparisonResult.NEWER;
        }
        if (copyAgain.value() == real.value()) {
            return ComparisonResult.OLDER;
        }
        // Both as before, or the candidate's gives what nobody else does.
        return realAgain.value() == real.value() ? ComparisonResult.WRONG : ComparisonResult.IN_DOUBT;
    }

    /**
     * How the copy fared against the real answer: the logarithm of the ratio of their times, above 0 where the copy was slower,
     * within {@link #RATIO_MOST}; a failure counts as the most. NaN where the two say nothing about the map.
     *
     * @param steady the copy went out on a connection that had served before
     */
    public static double score(ComparisonResult result, ExecutionResult real, ExecutionResult copy, boolean steady) {
        return switch (result) {
            case ERROR, TIMEOUT, TURNED_AWAY -> RATIO_MOST;
            case REAL_FAILED -> real.outcome() == Api.Outcome.CANCELLED ? Double.NaN : -RATIO_MOST;
            case SAME, OLDER, NEWER ->
                real.alone() && copy.alone() && steady ? ratio(copy.elapsed(), real.elapsed()) : Double.NaN;
            default -> Double.NaN;
        };
    }

    private static double ratio(double copy, double real) {
        double ratio = Math.log((FLOOR + Math.max(0, copy)) / (FLOOR + Math.max(0, real)));
        return Math.max(-RATIO_MOST, Math.min(RATIO_MOST, ratio));
    }
}
