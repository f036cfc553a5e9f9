package stagepier.overload;

/**
 * Measures the delay of an event loop: for how long at most the data it reads now may have lain unread. A loop polls
 * for input, processes what it found, and polls again; input that arrives meanwhile has to wait. Input also waits while
 * the operating system does not schedule the process, which the loop itself cannot see; a late heartbeat reveals it.
 * Performs no I/O and reads no clock; all times are in seconds.
 */
public final class LoopDelay {
    /** Seconds between heartbeats. */
    public static final double HEARTBEAT_INTERVAL = 0.05;
    /** In seconds. A poll that took longer has waited for input, so nothing lay unread when it began. */
    private static final double POLL_WAITED = 0.0005;
    /**
     * In seconds. An iteration that took longer was a stall. After a stall, a poll counts as having waited only if it
     * took at least the fraction below of that iteration.
     */
    private static final double LONG_ITERATION = 0.05;

    private static final double WAITED_FRACTION = 0.1;
    /**
     * In seconds. A heartbeat that is later than this counts as delayed; shorter delays are within the precision of
     * timers.
     */
    private static final double TIMER_TOLERANCE = 0.003;
    /**
     * Fraction of the drain grace after which a loop without any activity counts as stalled, whatever the cause.
     * Changes from that time are then at most that old, and the rest of the grace remains to act on them.
     */
    private static final double STALL_GRACE_FRACTION = 0.5;
    /** In seconds. Upper limit of that time, however long the grace is. */
    private static final double STALL_GRACE_MAX = 0.5;
    /** Weight of one heartbeat in the running mean. */
    private static final double GAIN = 0.1;

    private final double stalledAfter;
    private double pollAt = Double.NaN;
    private double readAt = Double.NaN;
    private double previousReadAt = Double.NaN;
    private double nextHeartbeat = Double.NaN;
    private double lastActiveAt = Double.NaN;
    private boolean hasStalled;
    private double mean;
    private double worst;
    private long turns;

    /** Creates one for a loop on which nothing depends on the drain grace. */
    public LoopDelay() {
        this(Double.POSITIVE_INFINITY);
    }

    /**
     * @param drainGrace seconds for which requests may still be sent to a drained server after its drain was announced;
     *     0 if the settings contain none
     */
    public LoopDelay(double drainGrace) {
        stalledAfter = drainGrace > 0 ? Math.min(STALL_GRACE_MAX, STALL_GRACE_FRACTION * drainGrace) : STALL_GRACE_MAX;
    }

    /** Notes that the loop starts to poll for input. */
    public void onPoll(double now) {
        turns++;
        markActive(now);
        // An iteration that read nothing only shows that the loop has polled.
        previousReadAt = Double.isNaN(readAt) ? pollAt : readAt;
        pollAt = now;
        readAt = Double.NaN;
    }

    /** Notes that input is being read; only the first call after a poll counts. */
    public void onRead(double now) {
        if (Double.isNaN(readAt)) {
            readAt = now;
        }
    }

    /** Notes a heartbeat, and measures by how much it is late. */
    public void onHeartbeat(double now) {
        markActive(now);
        double lateness = Double.isNaN(nextHeartbeat) ? 0 : Math.max(0, now - nextHeartbeat);
        mean += GAIN * (lateness - mean);
        worst = Math.max(worst, lateness);
        nextHeartbeat = now + HEARTBEAT_INTERVAL;
    }

    private void markActive(double now) {
        hasStalled |= now - lastActiveAt > stalledAfter;
        lastActiveAt = now;
    }

    /**
     * Whether the loop has stalled since the last call of this method. Detects a stall also in the middle of an
     * iteration.
     */
    public boolean hasStalled(double now) {
        boolean stalled = hasStalled || now - lastActiveAt > stalledAfter;
        hasStalled = false;
        if (stalled) {
            lastActiveAt = now;
        }
        return stalled;
    }

    /** Seconds for which input that is read in this iteration may have lain unread; 0 if unknown. */
    public double unreadFor(double now) {
        if (Double.isNaN(readAt) || Double.isNaN(previousReadAt)) {
            return 0;
        }
        double iteration = pollAt - previousReadAt;
        if (readAt - pollAt <= (iteration > LONG_ITERATION ? WAITED_FRACTION * iteration : POLL_WAITED)) {
            return Math.max(0, now - previousReadAt);
        }
        double frozen = Double.isNaN(nextHeartbeat) ? 0 : readAt - Math.max(pollAt, nextHeartbeat);
        return Math.max(0, now - readAt) + (frozen > TIMER_TOLERANCE ? frozen : 0);
    }

    /** Number of polls for input. */
    public long turns() {
        return turns;
    }

    /** Delay of heartbeats in seconds: a running mean over about the last ten. */
    public double mean() {
        return mean;
    }

    /** The longest delay of a heartbeat, in seconds. */
    public double worst() {
        return worst;
    }
}
