package stagepier.shadow;

/**
 * This router's share of a budget that is counted over the fleet: budget by configured routers, whoever is up, so that each side
 * of a partition stays within its own routers' share. A token bucket that holds one token and is empty at the start.
 *
 * <p>In any time of {@code T} seconds at most {@code rate * T + 1} are spent. The rate is the share less one a second, and half
 * of the share where that is more: within the share over any second where the share is 2 or more, otherwise over any {@code 2 /
 * share} seconds. Free of I/O and clock; times in seconds.
 */
public final class Pace {
    private final double rate;
    private double tokens;
    private double at = Double.NaN;

    /** @param fleet number of configured routers */
    public Pace(double budget, int fleet) {
        double share = budget / fleet;
        rate = Math.max(share - 1, share / 2);
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
