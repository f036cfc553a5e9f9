package stagepier.shadow;

import stagepier.Api;

/** Compares the answer to a copy with the answer to the real request. Pure. */
public final class Comparison {
    /**
     * Upper bound of a score, as the logarithm of the time ratio, so that a single answer that had to wait does not
     * decide the verdict.
     */
    public static final double MAX_SCORE = Math.log(8);
    /**
     * Seconds added to both times. This router's event loop takes some hundredths of a millisecond between the arrival
     * of an answer and its being read, which differs between real request and copy; without the offset, the verdict on
     * fast servers would depend on that.
     */
    static final double TIME_OFFSET_SECONDS = 0.001;

    private Comparison() {}

    /**
     * Compares the two results.
     *
     * @param firstCopy no copy of this key has recently been answered by the candidate's owner
     * @param previousValue checksum of the value that the real owner returned before the current one; 0 if unknown
     */
    public static ComparisonResult of(
            ExecutionResult real, ExecutionResult copy, boolean firstCopy, long previousValue) {
        if (!copy.isServed()) {
            return real.isServed() ? failed(copy) : ComparisonResult.NOT_COMPARED;
        }
        if (!real.isServed()) {
            return firstCopy ? ComparisonResult.MOVED : ComparisonResult.REAL_FAILED;
        }
        if (real.hasValue() && copy.hasValue() && real.value() != copy.value()) {
            // Any difference that a known earlier value does not explain is verified by a recheck.
            return copy.value() == previousValue ? ComparisonResult.OLDER : ComparisonResult.IN_DOUBT;
        }
        if (firstCopy && !copy.isHit()) {
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

    /**
     * Compares the results of a recheck, in which first the real owner and then the candidate's owner is queried again.
     */
    public static ComparisonResult recheck(
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
        // Either both repeated their values, or the candidate's owner returns a value that no other answer has.
        return realAgain.value() == real.value() ? ComparisonResult.WRONG : ComparisonResult.IN_DOUBT;
    }

    /**
     * Returns the score of a copy: the logarithm of the ratio of the copy's time to the real request's time, positive
     * if the copy was slower, limited to {@link #MAX_SCORE}. A failure counts as the limit. Returns NaN if the two
     * results say nothing about the map.
     *
     * @param warm the copy was sent on a connection that had served a request before
     */
    public static double score(ComparisonResult result, ExecutionResult real, ExecutionResult copy, boolean warm) {
        return switch (result) {
            case ERROR, TIMEOUT, TURNED_AWAY -> MAX_SCORE;
            case REAL_FAILED -> real.outcome() == Api.Outcome.CANCELLED ? Double.NaN : -MAX_SCORE;
            case SAME, OLDER, NEWER ->
                real.exclusive() && copy.exclusive() && warm ? ratio(copy.elapsed(), real.elapsed()) : Double.NaN;
            default -> Double.NaN;
        };
    }

    private static double ratio(double copy, double real) {
        double ratio = Math.log((TIME_OFFSET_SECONDS + Math.max(0, copy)) / (TIME_OFFSET_SECONDS + Math.max(0, real)));
        return Math.max(-MAX_SCORE, Math.min(MAX_SCORE, ratio));
    }
}
