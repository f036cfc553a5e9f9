package stagepier.logging;

import org.slf4j.Logger;

/** Warnings of one kind: all are counted, and at most one per interval is logged, with the count. */
public final class RateLimitedWarning {
    private final Logger log;
    private final String message;
    private final double intervalSeconds;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private long count;

    /**
     * @param message         text of each warning
     * @param intervalSeconds minimum time between two log lines
     */
    public RateLimitedWarning(Logger log, String message, double intervalSeconds) {
        this.log = log;
        this.message = message;
        this.intervalSeconds = intervalSeconds;
    }

    /**
     * Counts a warning and logs it unless another one was logged within the interval.
     *
     * @param now    in seconds
     * @param detail what is specific to this warning
     */
    public void warn(double now, String detail) {
        count++;
        if (now >= nextAt) {
            nextAt = now + intervalSeconds;
            log.warn("{} ({} so far): {}", message, count, detail);
        }
    }

    /** Returns the number of warnings so far. */
    public long count() {
        return count;
    }
}
