package stagepier;

/** What ended and what failed of it, as fading counts; few ends move the rate little from the usual one. */
final class FailureRate {
    static final double USUAL = 0.01;
    /** Ends that the belief in the usual rate counts for. */
    static final int BELIEF = 20;
    final FadingCount ends;
    final FadingCount failures;

    FailureRate(double fades) {
        ends = new FadingCount(fades);
        failures = new FadingCount(fades);
    }

    void add(double now, boolean failed) {
        ends.add(now, 1);
        failures.add(now, failed ? 1 : 0);
    }

    double at(double now) {
        return rate(failures.at(now), ends.at(now));
    }

    /** The rate without a part of what is counted here. */
    double without(FailureRate part, double now) {
        return rate(failures.at(now) - part.failures.at(now), ends.at(now) - part.ends.at(now));
    }

    private static double rate(double failures, double ends) {
        return (failures + BELIEF * USUAL) / (ends + BELIEF);
    }
}
