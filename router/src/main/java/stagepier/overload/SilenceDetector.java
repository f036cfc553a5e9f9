package stagepier.overload;

/**
 * Tells a connection that has fallen silent from a server that has: on the first nothing comes while other connections
 * to the same server answer what was sent later. Knows how long the first in order usually waits for its answer. One
 * for each server. Free of I/O and clock; all times in seconds.
 */
public final class SilenceDetector {
    /** Weight of one answer in the running means. */
    private static final double GAIN = 1.0 / 32;
    /** Part of the longest wait that is forgotten with each answer. */
    private static final double FORGETS = 1.0 / 128;
    /** Answers from which on the means are trusted. */
    private static final int TRUSTED_FROM = 8;
    /** Deviations above the mean from which on nothing more is put behind a wait. */
    private static final double QUIET_DEVIATIONS = 3;
    /** Times the longest wait of late from which on it is given up: some wait for the origin, and are not silent. */
    private static final double DEAD_TIMES = 1.5;
    /** The same in parts of the shortest deadline: not sooner than the least, not later than the most. */
    private static final double QUIET_LEAST = 0.06;

    private static final double DEAD_LEAST = 0.2;
    private static final double MOST = 0.66;
    /** Answers to what was sent later, on other connections, that it takes: one may be luck. */
    private static final int PASSED_BY = 3;

    private final double shortestDeadline;
    private double mean;
    private double deviation;
    private double longest;
    private int seen;

    public SilenceDetector(double shortestDeadline) {
        this.shortestDeadline = shortestDeadline;
    }

    /** An answer came to what was first in its order for so long. */
    public void answered(double wait) {
        double gain = Math.max(GAIN, 1.0 / ++seen);
        deviation += gain * (Math.abs(wait - mean) - deviation);
        mean += gain * (wait - mean);
        longest = Math.max(wait, longest * (1 - FORGETS));
    }

    /** A wait that is too long whatever is usual and whatever other connections do. */
    public boolean isSilent(double wait) {
        return wait > MOST * shortestDeadline;
    }

    /** A wait that usual answers don't need: work that can go elsewhere is not put behind it. */
    public boolean isQuiet(double wait) {
        return wait > after(QUIET_LEAST, mean + QUIET_DEVIATIONS * deviation);
    }

    /**
     * Seconds until a connection is to be given up unless something is heard of it, so that what was sent on it can be
     * tried elsewhere in time; 0 or less where that is now, infinite where nothing speaks for it.
     *
     * @param wait     since it was last heard of with an answer due, less the router's own delay
     * @param passedBy answers that came on other connections to what was sent since then
     */
    public double deadIn(double wait, int passedBy) {
        return passedBy < PASSED_BY ? Double.POSITIVE_INFINITY : after(DEAD_LEAST, DEAD_TIMES * longest) - wait;
    }

    private double after(double least, double unusual) {
        double most = MOST * shortestDeadline;
        return seen < TRUSTED_FROM ? most : Math.max(least * shortestDeadline, Math.min(most, unusual));
    }
}
