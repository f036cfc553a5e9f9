package stagepier.shadow;

/**
 * Decides whether a copy of a request is sent. Pure: all inputs are parameters. Owns this router's shares of the two
 * budgets.
 */
public final class ShadowRules {
    /** Fraction of a request's time; no copy is sent if this much or less is left. */
    static final double MIN_TIME_LEFT_FRACTION = 0.25;
    /** Seconds after a refusal by this router during which nothing is copied. */
    static final double REFUSAL_PAUSE_SECONDS = 1;

    /**
     * A real request that may be copied.
     *
     * @param repeatable its class may run any number of times
     * @param attempt 0 for the first
     * @param sent the real execution has been written to its socket
     * @param timeout the total time of the request, in seconds
     * @param timeLeft the remaining time, in seconds
     * @param first no copy of the key was recently answered by the candidate's owner, which is therefore likely to
     *     fetch
     */
    public record OriginalRequest(
            boolean repeatable,
            boolean write,
            int attempt,
            boolean sent,
            double timeout,
            double timeLeft,
            boolean first) {}

    /**
     * The servers of a key.
     *
     * @param sentTo the server of the real execution
     * @param present the owner according to the map in use
     * @param candidate the owner according to the candidate
     */
    public record Owners(long sentTo, long present, long candidate) {
        boolean differ() {
            return candidate >= 0 && candidate != sentTo && candidate != present;
        }
    }

    private final CopyRateLimiter copies;
    private final CopyRateLimiter fetches;
    private double refusedAt = Double.NEGATIVE_INFINITY;

    public ShadowRules(CandidateMap map, int fleet) {
        copies = new CopyRateLimiter(map.copies(), fleet);
        fetches = new CopyRateLimiter(map.fetches(), fleet);
    }

    /** Records that this router has refused a request. */
    public void recordRefusal(double now) {
        refusedAt = now;
    }

    /** Returns whether copies have to yield to real requests, including the copies in flight. */
    public boolean mustYield(double now, boolean active, RouterState router) {
        return !active || router.isDraining() || router.isPressed() || now - refusedAt < REFUSAL_PAUSE_SECONDS;
    }

    /** Decides on a copy, not considering the budgets. */
    public CopyDecision decide(
            double now,
            OriginalRequest request,
            Owners owners,
            boolean active,
            RouterState router,
            Eligibility candidate) {
        if (!request.repeatable() || request.write()) {
            return CopyDecision.NOT_SAFE;
        }
        if (!owners.differ()) {
            return CopyDecision.NOT_MOVED;
        }
        if (request.attempt() > 0 || !request.sent()) {
            return CopyDecision.NOT_SENT;
        }
        if (mustYield(now, active, router)) {
            return CopyDecision.NOT_NOW;
        }
        if (request.timeLeft() <= MIN_TIME_LEFT_FRACTION * request.timeout()) {
            return CopyDecision.SHORT_OF_TIME;
        }
        return candidate == Eligibility.FIT ? CopyDecision.COPY : CopyDecision.NOT_FIT;
    }

    /** Takes a copy out of the budgets, or returns why that is not possible. */
    public CopyDecision reserve(double now, boolean first) {
        if (!copies.has(now)) {
            return CopyDecision.OVER_BUDGET;
        }
        if (first && !fetches.has(now)) {
            return CopyDecision.OVER_FETCHES;
        }
        copies.spend(now);
        if (first) {
            fetches.spend(now);
        }
        return CopyDecision.COPY;
    }

    /** Records an unexpected fetch: the copy of a key that was expected to be cached was fetched from the origin. */
    public void recordFetch(double now) {
        fetches.spend(now);
    }
}
