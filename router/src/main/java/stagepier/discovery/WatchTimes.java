package stagepier.discovery;

/**
 * Timeouts and delays of a {@link DiscoveryWatch}, in milliseconds. Two rules bound them. A change that a silent or
 * failed watch misses is deemed known after 6 s, whether or not it arrived. A change that did arrive is deemed known at
 * once, and requests may be sent by the old list for the drain grace of the settings after that: all delays between the
 * arrival and its use have to fit that grace.
 *
 * @param holdMs           longest hold time that a call asks for; a connection that fell silent is detected after at
 *                         most this and the slack
 * @param holdSpreadMs     random reduction of the hold time, up to this, so that many routers do not call in step
 * @param slackMs          time after the end of the hold time when a call counts as silent
 * @param currentListFirst whether the first call of a connection asks for the current list and is answered at once,
 *                         which distinguishes a silent service from one without changes; if false, every call waits for
 *                         changes
 * @param listTimeoutMs    timeout of a call that asks for the current list
 * @param connectTimeoutMs timeout of a connection attempt
 * @param firstRetryMs     longest delay before the first retry
 * @param maxRetryMs       longest delay before any retry
 * @param minRetryFraction fraction of a longest delay that is always waited
 * @param freshTimeoutMs   longest time that a caller waits for a fresh list when the service is silent
 */
public record WatchTimes(
        int holdMs,
        int holdSpreadMs,
        int slackMs,
        boolean currentListFirst,
        int listTimeoutMs,
        int connectTimeoutMs,
        int firstRetryMs,
        int maxRetryMs,
        double minRetryFraction,
        int freshTimeoutMs) {
    /**
     * Returns how long a starting process waits for its first list: the whole time of a call that is answered at once.
     */
    int firstListTimeoutMs() {
        return currentListFirst ? connectTimeoutMs + listTimeoutMs : freshTimeoutMs;
    }

    private static final int HOLD_MS = 3000;
    private static final int HOLD_SPREAD_MS = 500;
    private static final int SLACK_MS = 1000;
    private static final int FIRST_RETRY_MS = 100;
    /** Fractions of the drain grace, which counts as one second at most. */
    private static final double ANSWER_FRACTION = 0.3;

    private static final double RETRY_FRACTION = 0.25;
    private static final double FRESH_FRACTION = 0.2;
    private static final double MILLIS_PER_SECOND = 1e3;
    /** A second silent connection in a row is detected within the 6 s as well: twice hold and slack. */
    private static final int SHARED_HOLD_MS = 2000;
    /**
     * Retry delays for a service that rejects calls while it is overloaded. Each call costs the service work, whether
     * or not it is rejected, so that a fleet that retries at once would keep it overloaded permanently. Two longest
     * delays fit into the 6 s.
     */
    private static final int SHARED_FIRST_RETRY_MS = 400;

    private static final int SHARED_MAX_RETRY_MS = 2500;
    private static final double SHARED_MIN_RETRY_FRACTION = 0.5;

    /**
     * Returns the times for an agent on the same machine, which answers at once. What the agent has is deemed known
     * when it has it.
     *
     * @param drainGrace in seconds, from the settings
     */
    public static WatchTimes ofAgent(double drainGrace) {
        int answerMs = fractionOfGraceMs(ANSWER_FRACTION, drainGrace);
        int retryMs = fractionOfGraceMs(RETRY_FRACTION, drainGrace);
        return new WatchTimes(
                HOLD_MS,
                HOLD_SPREAD_MS,
                SLACK_MS,
                true,
                answerMs,
                answerMs,
                Math.min(FIRST_RETRY_MS, retryMs),
                retryMs,
                0,
                fractionOfGraceMs(FRESH_FRACTION, drainGrace));
    }

    /**
     * Returns the times for one service that all routers call. It queues their calls and rejects those that it cannot
     * answer in time. A new watch costs the service one call; a watch that continues costs it very little.
     *
     * @param drainGrace in seconds, from the settings
     */
    public static WatchTimes ofSharedService(double drainGrace) {
        int connectMs = fractionOfGraceMs(ANSWER_FRACTION, Double.POSITIVE_INFINITY);
        return new WatchTimes(
                SHARED_HOLD_MS,
                HOLD_SPREAD_MS,
                SLACK_MS,
                false,
                connectMs,
                connectMs,
                SHARED_FIRST_RETRY_MS,
                SHARED_MAX_RETRY_MS,
                SHARED_MIN_RETRY_FRACTION,
                fractionOfGraceMs(FRESH_FRACTION, drainGrace));
    }

    /** Settings without a drain grace use the times for one second. */
    private static int fractionOfGraceMs(double fraction, double drainGrace) {
        double graceSeconds = drainGrace > 0 ? Math.min(1, drainGrace) : 1;
        return Math.max(1, (int) Math.round(fraction * MILLIS_PER_SECOND * graceSeconds));
    }
}
