package stagepier;

/** What ended and what failed of it, as fading counts; few ends move the rate little from the usual one. */
final class FailureRate {
    static final double USUAL = 0.01;
    /** Ends that the belief in the usual rate counts for. */
    static final int BELIEF = 20;

    final FadingCount ends = new FadingCount();
    final FadingCount failures = new FadingCount();

    void add(double now, boolean failed, double fades) {
        ends.add(now, 1, fades);
        failures.add(now, failed ? 1 : 0, fades);
    }

    double at(double now, double fades) {
        return rate(failures.at(now, fades), ends.at(now, fades));
    }

    /** The rate of all that is counted here but not in a part of it. */
    double without(FailureRate part, double now, double fades) {
        double failed = failures.at(now, fades) - part.failures.at(now, fades);
        return rate(failed, ends.at(now, fades) - part.ends.at(now, fades));
    }

    private static double rate(double failures, double ends) {
        return (failures + BELIEF * USUAL) / (ends + BELIEF);
    }
}
