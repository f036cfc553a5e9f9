package stagepier.discovery;

/**
 * How long a {@link DiscoveryWatch} waits for what, in milliseconds. Two clocks bound these waits. A change that a silent
 * or failed watch misses counts as told after 6 s, whether or not it arrived. A change that did arrive counts as told at
 * once, and from then on sends may go on for the drain grace of the settings: whatever may stand between the two has to
 * fit the grace.
 *
 * @param hold          longest wait that a call asks for; a connection that fell silent costs no more than this and the slack
 * @param holdSpread    by chance the wait is up to so much less, so that many routers do not go on in step
 * @param slack         after the end of its wait a call counts as silent
 * @param asksFirst     the first call of a connection asks what there is now and is answered at once, so that a silent
 *                      service is told from one that has nothing new; else each call waits for what is new
 * @param listWithin    a call that asks what there is now is given up after this
 * @param connectWithin a connection is given up after this
 * @param retryFirst    longest pause before the first retry
 * @param retryMost     longest pause before any retry
 * @param retryLeast    the least part of a longest pause that is waited
 * @param freshWithin   whoever waits for the list to be fresh waits no longer than this for a silent service
 */
public record WatchTimes(
        int hold,
        int holdSpread,
        int slack,
        boolean asksFirst,
        int listWithin,
        int connectWithin,
        int retryFirst,
        int retryMost,
        double retryLeast,
        int freshWithin) {
    /** How long a process that begins waits for its first list: the whole time of a call that is answered at once. */
    int firstWithin() {
        return asksFirst ? connectWithin + listWithin : freshWithin;
    }

    private static final int HOLD = 3000;
    private static final int HOLD_SPREAD = 500;
    private static final int SLACK = 1000;
    private static final int RETRY_FIRST = 100;
    /** Parts of the drain grace; with a grace of a second or more the waits are these parts of a second. */
    private static final double ANSWER_PART = 0.3;

    private static final double RETRY_PART = 0.25;
    private static final double FRESH_PART = 0.2;
    private static final double MILLIS = 1e3;
    /** A second silent connection in a row is found within the 6 s as well: twice hold and slack. */
    private static final int SHARED_HOLD = 2000;
    /**
     * Pauses for a service that turns calls away while it is overloaded. Each call there costs it work, whether or not it
     * is turned away, so that a fleet which retries at once keeps it overloaded for good. Two longest pauses fit the 6 s.
     */
    private static final int SHARED_RETRY_FIRST = 400;

    private static final int SHARED_RETRY_MOST = 2500;
    private static final double SHARED_RETRY_LEAST = 0.5;

    /**
     * For an agent on the same machine, which answers at once, and what it has counts as told when it has it.
     *
     * @param drainGrace in seconds, from the settings
     */
    public static WatchTimes ofAgent(double drainGrace) {
        int answer = part(ANSWER_PART, drainGrace);
        int retry = part(RETRY_PART, drainGrace);
        return new WatchTimes(
                HOLD,
                HOLD_SPREAD,
                SLACK,
                true,
                answer,
                answer,
                Math.min(RETRY_FIRST, retry),
                retry,
                0,
                part(FRESH_PART, drainGrace));
    }

    /**
     * For one service that all routers ask, which works through their calls in turn and turns away what it cannot reach
     * in time. A new watch costs it a call; a watch that goes on costs it next to nothing.
     *
     * @param drainGrace in seconds, from the settings
     */
    public static WatchTimes ofSharedService(double drainGrace) {
        int connect = part(ANSWER_PART, Double.POSITIVE_INFINITY);
        return new WatchTimes(
                SHARED_HOLD,
                HOLD_SPREAD,
                SLACK,
                false,
                connect,
                connect,
                SHARED_RETRY_FIRST,
                SHARED_RETRY_MOST,
                SHARED_RETRY_LEAST,
                part(FRESH_PART, drainGrace));
    }

    /** Settings without a grace name none: the waits are then those for a second. */
    private static int part(double part, double drainGrace) {
        double grace = drainGrace > 0 ? Math.min(1, drainGrace) : 1;
        return Math.max(1, (int) Math.round(part * MILLIS * grace));
    }
}
