package stagepier.shadow;

/**
 * This router's share of a budget for the whole fleet: the budget divided by the number of configured routers,
 * regardless of how many are up, so that each side of a partition stays within the share of its own routers. A token
 * bucket that holds one token and is empty at the start.
 *
 * <p>Two tokens are never closer than one divided by the rate. For a share of 1 or more the rate is derived from its
 * integer part, so that no more tokens than the share are spent in any second. For a share below 1 it is derived from
 * the share itself, so that at most one token is spent in any {@code 1 / share} seconds. The rate is 5% lower in both
 * cases, so that the limit also holds when measured by another clock. Free of I/O and clock; times in seconds.
 */
public final class CopyRateLimiter {
    private static final double MARGIN = 0.95;

    private final double rate;
    private double tokens;
    private double at = Double.NaN;

    /** @param fleet number of configured routers */
    public CopyRateLimiter(double budget, int fleet) {
        double share = budget / fleet;
        rate = MARGIN * (share >= 1 ? Math.floor(share) : share);
    }

    private void refill(double now) {
        if (!Double.isNaN(at)) {
            tokens = Math.min(1, tokens + rate * Math.max(0, now - at));
        }
        at = Double.isNaN(at) ? now : Math.max(at, now);
    }

    public boolean has(double now) {
        refill(now);
        return tokens >= 1;
    }

    /** Takes a token even if none is available: unforeseen spending leaves a negative balance. */
    public void spend(double now) {
        refill(now);
        tokens--;
    }
}
