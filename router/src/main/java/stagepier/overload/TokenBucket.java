package stagepier.overload;

/** So many a second on the average, and so many at once: a token bucket. Free of a clock of its own. */
public final class TokenBucket {
    private final double perSecond;
    private final double most;
    private double tokens;
    private double at = Double.NaN;

    /** @param most what may be saved up; there from the start */
    public TokenBucket(double perSecond, double most) {
        this.perSecond = perSecond;
        this.most = most;
        tokens = most;
    }

    /** Whether one more may be done now; if so it is counted. {@code now} in seconds, never going back. */
    public boolean spend(double now) {
        if (!Double.isNaN(at)) {
            tokens = Math.min(most, tokens + perSecond * Math.max(0, now - at));
        }
        at = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
