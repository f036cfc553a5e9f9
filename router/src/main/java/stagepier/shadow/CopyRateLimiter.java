package stagepier.shadow;

/**
 * This router's share of a budget that is counted over the fleet: budget by configured routers, whoever is up, so that each side
 * of a partition stays within its own routers' share. A token bucket that holds one token and is empty at the start.
 *
 * <p>Two are never closer than one by the rate. The rate is the whole number in the share where that is 1 or more: in any second no
 * more than the share are spent. Below 1 it is the share: no more than one in any {@code 1 / share} seconds. In both cases a twentieth
 * less, so that it also holds for who sees it by another clock. Free of I/O and clock; times in seconds.
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

    /** Takes one, whether it is there or not: what was spent unforeseen is owed. */
    public void spend(double now) {
        refill(now);
        tokens--;
    }
}
