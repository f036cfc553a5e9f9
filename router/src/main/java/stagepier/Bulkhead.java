package stagepier;

/** Limits the sends in flight: each takes a ticket, and their number depends on the mean concurrency. */
final class Bulkhead {
    /** Cap on tickets: a minimum (2 refused 40% of requests after a start), and deviations above the mean. */
    private static final int MIN_TICKETS = 12;

    private static final double CAP_DEVIATIONS = 5;
    /** From how many sends in flight a server counts as busy: a minimum, and deviations above the mean. */
    private static final double BUSY_MIN = 3;

    private static final double BUSY_DEVIATIONS = 1.5;
    int inFlight;
    double mean;
    private double updatedAt;

    static int cap(double mean) {
        return Math.max(MIN_TICKETS, (int) Math.ceil(mean + CAP_DEVIATIONS * Math.sqrt(mean)));
    }

    boolean isFull(double mean) {
        return inFlight >= cap(mean);
    }

    /** Returns a level above random variation, which is wider where each send counted stands for several. */
    static double busyThreshold(double mean, double sampleWeight) {
        return Math.max(BUSY_MIN, mean + BUSY_DEVIATIONS * Math.sqrt(mean * sampleWeight));
    }

    void add(double now, int delta, double decayTime) {
        mean += (inFlight - mean) * -Math.expm1((updatedAt - now) / decayTime);
        updatedAt = now;
        inFlight += delta;
    }
}
