package stagepier;

/** Running mean and mean deviation of answer times. */
final class Latency {
    /** Minimum weight of a new answer. */
    static final double GAIN = 1.0 / 64;
    /** First answers from which the unloaded time is taken. */
    private static final int UNLOADED_SAMPLES = 8;
    /** Mean deviations above the mean from which an answer is late. */
    private static final double LATE_DEVIATIONS = 4;

    double mean;
    private double deviation;
    /** Mean of the logarithms: a few answers that waited for the origin hardly change it. */
    double meanLog;
    /** Lowest geometric mean so far: about the time of an answer that does not queue. */
    double unloaded;

    int samples;

    void add(double elapsed) {
        double gain = Math.max(GAIN, 1.0 / ++samples);
        deviation += gain * (Math.abs(elapsed - mean) - deviation);
        mean += gain * (elapsed - mean);
        meanLog += gain * (log(elapsed) - meanLog);
        // Known after few answers, since a fleet may be overloaded soon after the start.
        unloaded = samples <= UNLOADED_SAMPLES ? Math.exp(meanLog) : Math.min(Math.exp(meanLog), unloaded);
    }

    double lateAfter() {
        return mean + LATE_DEVIATIONS * deviation;
    }

    static double log(double elapsed) {
        return Math.log(Math.max(1e-6, elapsed));
    }
}
