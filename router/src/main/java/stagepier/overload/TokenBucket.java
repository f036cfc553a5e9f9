package stagepier.overload;

/** A token bucket: limits the average rate of an action and its bursts. Reads no clock. */
public final class TokenBucket {
    private final double perSecond;
    private final double capacity;
    private double tokens;
    private double refilledAt = Double.NaN;

    /** @param capacity maximum number of tokens, which is also the initial number */
    public TokenBucket(double perSecond, double capacity) {
        this.perSecond = perSecond;
        this.capacity = capacity;
        tokens = capacity;
    }

    /** Takes a token if there is one; returns whether it did. {@code now} is in seconds and must not decrease. */
    public boolean spend(double now) {
        if (!Double.isNaN(refilledAt)) {
            tokens = Math.min(capacity, tokens + perSecond * Math.max(0, now - refilledAt));
        }
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
