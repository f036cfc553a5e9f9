package stagepier;

/** Decaying failure rate; with few completed attempts it stays near a prior rate. */
final class FailureRate {
    static final double PRIOR_RATE = 0.01;
    /** Number of completed attempts that the prior rate counts for. */
    static final int PRIOR_WEIGHT = 20;

    final FadingCount total = new FadingCount();
    final FadingCount failures = new FadingCount();

    void add(double now, boolean failed, double decayTime) {
        total.add(now, 1, decayTime);
        failures.add(now, failed ? 1 : 0, decayTime);
    }

    double estimate(double now, double decayTime) {
        return rate(failures.value(now, decayTime), total.value(now, decayTime));
    }

    /** Returns the rate over what is counted here but not in {@code part}, which is a subset. */
    double excluding(FailureRate part, double now, double decayTime) {
        double failed = failures.value(now, decayTime) - part.failures.value(now, decayTime);
        return rate(failed, total.value(now, decayTime) - part.total.value(now, decayTime));
    }

    private static double rate(double failed, double completed) {
        return (failed + PRIOR_WEIGHT * PRIOR_RATE) / (completed + PRIOR_WEIGHT);
    }
}
