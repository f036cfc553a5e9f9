package stagepier;

/** Running mean and mean deviation of answer times. */
final class Latency {
    /** Weight of a new answer; answers that tell the least time; deviations after which it is late. */
    static final double GAIN = 1.0 / 64;

    private static final int TRUSTED = 8;
    private static final double LATE_DEVIATIONS = 4;
    double mean;
    private double deviation;
    /** Mean of the logarithms: a few answers that waited for the origin hardly move it. */
    double typical;
    /** The typical time when it was least: about that of an answer that waits for nothing. */
    double least;

    int seen;

    void add(double elapsed) {
        double gain = Math.max(GAIN, 1.0 / ++seen);
        deviation += gain * (Math.abs(elapsed - mean) - deviation);
        mean += gain * (elapsed - mean);
        typical += gain * (log(elapsed) - typical);
        // Known after few answers: a fleet that jams at once leaves no time for more.
        least = seen <= TRUSTED ? Math.exp(typical) : Math.min(Math.exp(typical), least);
    }

    double late() {
        return mean + LATE_DEVIATIONS * deviation;
    }

    static double log(double elapsed) {
        return Math.log(Math.max(1e-6, elapsed));
    }
}
