package stagepier.overload;

/**
 * Distinguishes a broken connection from a server that does not answer: on a broken connection nothing arrives while
 * other connections to the same server answer later requests. Keeps statistics of the time for which the first pending
 * request of a connection usually waits for its answer. One instance per server. Performs no I/O and reads no clock;
 * all times are in seconds.
 */
public final class SilenceDetector {
    /** Weight of one answer in the running means. */
    private static final double GAIN = 1.0 / 32;
    /** Fraction by which the longest wait decays with each answer. */
    private static final double DECAY = 1.0 / 128;
    /** Number of answers from which on the means are used. */
    private static final int MIN_ANSWERS = 8;
    /**
     * Deviations above the mean from which on a wait is unusually long, so that no further request is queued behind it.
     */
    private static final double UNUSUAL_DEVIATIONS = 3;
    /**
     * Multiple of the longest recent wait from which on a connection is silent. Some requests wait for the origin
     * without the connection being silent.
     */
    private static final double SILENT_MULTIPLE = 1.5;
    /** Lower and upper limits of these thresholds, as fractions of the shortest deadline. */
    private static final double UNUSUAL_MIN = 0.06;

    private static final double SILENT_MIN = 0.2;
    private static final double WAIT_MAX = 0.66;
    /** Number of answers to later requests on other connections that is required; a single one may be chance. */
    private static final int MIN_OVERTAKES = 3;

    private final double shortestDeadline;
    private double mean;
    private double deviation;
    private double longest;
    private int answers;

    public SilenceDetector(double shortestDeadline) {
        this.shortestDeadline = shortestDeadline;
    }

    /** Adds the waiting time of an answered request, from the time since when it was the first pending one. */
    public void recordWait(double wait) {
        double gain = Math.max(GAIN, 1.0 / ++answers);
        deviation += gain * (Math.abs(wait - mean) - deviation);
        mean += gain * (wait - mean);
        longest = Math.max(wait, longest * (1 - DECAY));
    }

    /** Whether a wait is too long whatever is usual and whatever happens on other connections. */
    public boolean isSilent(double wait) {
        return wait > WAIT_MAX * shortestDeadline;
    }

    /**
     * Whether a wait is longer than usual answers need, so that requests with an alternative are not queued behind it.
     */
    public boolean isUnusuallyLong(double wait) {
        return wait > threshold(UNUSUAL_MIN, mean + UNUSUAL_DEVIATIONS * deviation);
    }

    /**
     * Seconds until a connection without input counts as silent, early enough that its requests can be retried
     * elsewhere in time; 0 or less if it already does, infinite if there is no evidence.
     *
     * @param wait time since the last input while an answer was due, less the router's own delay
     * @param overtakes number of answers on other connections to requests sent since then
     */
    public double silentIn(double wait, int overtakes) {
        return overtakes < MIN_OVERTAKES
                ? Double.POSITIVE_INFINITY
                : threshold(SILENT_MIN, SILENT_MULTIPLE * longest) - wait;
    }

    private double threshold(double min, double estimate) {
        double max = WAIT_MAX * shortestDeadline;
        return answers < MIN_ANSWERS ? max : Math.max(min * shortestDeadline, Math.min(max, estimate));
    }
}
