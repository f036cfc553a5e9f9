package stagepier.overload;

/**
 * How late an event loop is: for how long at most what it reads now may have lain unread. A loop looks for input, works
 * off what it found, and looks again; what comes meanwhile waits. A process that is given no time by its machine waits,
 * too, without seeing it: a heartbeat that comes late tells. Free of I/O and clock; all times in seconds.
 */
public final class LoopDelay {
    /** Seconds between heartbeats. */
    public static final double HEARTBEAT_INTERVAL = 0.05;
    /** A look that took longer waited for input: nothing lay unread when it began. */
    private static final double WAITED = 0.0005;
    /** A turn that took longer was a stall; after it, a look that took less than this part of it is no proof. */
    private static final double STALL = 0.05;

    private static final double WAITED_PART = 0.1;
    /** A heartbeat is late from here on: timers are only so exact. */
    private static final double INEXACT = 0.003;
    /**
     * A loop that was not seen for this part of the drain grace stood still, whatever the cause: what was told meanwhile is at
     * most that old, and the other half of the grace is left to act on it.
     */
    private static final double STOOD_STILL_PART = 0.5;
    /** And never longer than this, in seconds, however long the grace is. */
    private static final double STOOD_STILL_MOST = 0.5;
    /** Weight of one heartbeat in the running mean. */
    private static final double GAIN = 0.1;

    private final double stoodStillAfter;
    private double lookBegan = Double.NaN;
    private double sawAt = Double.NaN;
    private double sawBefore = Double.NaN;
    private double nextBeat = Double.NaN;
    private double seenAt = Double.NaN;
    private boolean hasStalled;
    private double mean;
    private double worst;
    private long turns;

    /** For a loop on which nothing depends on the drain grace. */
    public LoopDelay() {
        this(Double.POSITIVE_INFINITY);
    }

    /** @param drainGrace seconds that sends to a drained server may go on after it was told; 0 where settings name none */
    public LoopDelay(double drainGrace) {
        stoodStillAfter = drainGrace > 0 ? Math.min(STOOD_STILL_MOST, STOOD_STILL_PART * drainGrace) : STOOD_STILL_MOST;
    }

    /** The loop begins to look for input. */
    public void onPoll(double now) {
        turns++;
        seen(now);
        // A turn in which nothing was read tells no more than that it looked.
        sawBefore = Double.isNaN(sawAt) ? lookBegan : sawAt;
        lookBegan = now;
        sawAt = Double.NaN;
    }

    /** Input is being read; only the first call after a look counts. */
    public void onRead(double now) {
        if (Double.isNaN(sawAt)) {
            sawAt = now;
        }
    }

    /** The heartbeat. */
    public void onHeartbeat(double now) {
        seen(now);
        double late = Double.isNaN(nextBeat) ? 0 : Math.max(0, now - nextBeat);
        mean += GAIN * (late - mean);
        worst = Math.max(worst, late);
        nextBeat = now + HEARTBEAT_INTERVAL;
    }

    private void seen(double now) {
        hasStalled |= now - seenAt > stoodStillAfter;
        seenAt = now;
    }

    /** Whether the loop stood still since this was asked last. In the middle of a turn this sees it as well. */
    public boolean hasStalled(double now) {
        boolean stood = hasStalled || now - seenAt > stoodStillAfter;
        hasStalled = false;
        if (stood) {
            seenAt = now;
        }
        return stood;
    }

    /** Seconds for which what is read in this turn may have lain unread; 0 where nothing is known. */
    public double unreadFor(double now) {
        if (Double.isNaN(sawAt) || Double.isNaN(sawBefore)) {
            return 0;
        }
        double turn = lookBegan - sawBefore;
        if (sawAt - lookBegan <= (turn > STALL ? WAITED_PART * turn : WAITED)) {
            return Math.max(0, now - sawBefore);
        }
        double frozen = Double.isNaN(nextBeat) ? 0 : sawAt - Math.max(lookBegan, nextBeat);
        return Math.max(0, now - sawAt) + (frozen > INEXACT ? frozen : 0);
    }

    /** How often the loop has looked for input. */
    public long turns() {
        return turns;
    }

    /** Seconds by which heartbeats come late: a running mean over the last ten or so. */
    public double mean() {
        return mean;
    }

    /** The latest heartbeat of all, in seconds. */
    public double worst() {
        return worst;
    }
}
