package stagepier.logging;

import org.slf4j.Logger;

/** Warnings of one kind: all are counted, and at most one in a span of time is logged, with the count. */
public final class RateLimitedWarning {
    private final Logger log;
    private final String text;
    private final double every;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private long count;

    /**
     * @param text  what all of them say
     * @param every seconds between two lines at the least
     */
    public RateLimitedWarning(Logger log, String text, double every) {
        this.log = log;
        this.text = text;
        this.every = every;
    }

    /**
     * Counts one, and logs it unless another was logged lately.
     *
     * @param now    in seconds
     * @param detail what this one says
     */
    public void warn(double now, String detail) {
        count++;
        if (now >= nextAt) {
            nextAt = now + every;
            log.warn("{} ({} so far): {}", text, count, detail);
        }
    }

    /** How many there were. */
    public long count() {
        return count;
    }
}
