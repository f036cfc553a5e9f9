package stagepier.shadow;

/**
 * Rules on whether a copy of a request is sent. Pure: all that counts is passed in. Owns this router's shares of the two budgets.
 */
public final class ShadowRules {
    /** Never with this part of a request's time left, or less. */
    static final double TIME_LEFT = 0.25;
    /** Seconds after a refusal in which nothing is copied. */
    static final double AFTER_REFUSAL = 1;

    /**
     * A request whose real execution was sent.
     *
     * @param repeatable of a class that may run any number of times
     * @param attempt    0 for the first
     * @param sent       the real execution has been handed to its socket
     * @param whole      the time that it had, in seconds
     * @param left       the time that it has
     * @param first      no copy of the key was answered by the candidate's owner of late: it is likely to fetch
     */
    public record OriginalRequest(
            boolean repeatable, boolean write, int attempt, boolean sent, double whole, double left, boolean first) {}

    /**
     * Where the key belongs.
     *
     * @param sentTo    the server of the real execution
     * @param present   the owner by the map in use
     * @param candidate the owner by the candidate
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

    /** This router has refused a request. */
    public void refused(double now) {
        refusedAt = now;
    }

    /** Whether copies have to give way, also those that are out. */
    public boolean givesWay(double now, boolean ordered, RouterState router) {
        return !ordered || router.isDraining() || router.isPressed() || now - refusedAt < AFTER_REFUSAL;
    }

    /** What holds, the budgets apart. */
    public CopyDecision rule(
            double now,
            OriginalRequest asked,
            Owners owners,
            boolean ordered,
            RouterState router,
            Eligibility candidate) {
        if (!asked.repeatable() || asked.write()) {
            return CopyDecision.NOT_SAFE;
        }
        if (!owners.differ()) {
            return CopyDecision.NOT_MOVED;
        }
        if (asked.attempt() > 0 || !asked.sent()) {
            return CopyDecision.NOT_SENT;
        }
        if (givesWay(now, ordered, router)) {
            return CopyDecision.NOT_NOW;
        }
        if (asked.left() <= TIME_LEFT * asked.whole()) {
            return CopyDecision.SHORT_OF_TIME;
        }
        return candidate == Eligibility.FIT ? CopyDecision.COPY : CopyDecision.NOT_FIT;
    }

    /** Takes a copy out of the budgets, or says why not. */
    public CopyDecision afford(double now, boolean first) {
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

    /** A copy that was expected to be found was fetched. */
    public void fetched(double now) {
        fetches.spend(now);
    }
}
