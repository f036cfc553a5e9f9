package stagepier;

/** A count of events that fades. All calls of one count give it the same time constant. */
final class FadingCount {
    private double count;
    private double at;

    void add(double now, double n, double fades) {
        count = at(now, fades) + n;
        at = now;
    }

    double at(double now, double fades) {
        return count == 0 ? 0 : count * Math.exp((at - now) / fades);
    }

    /** Events a second, also while the count has run for less than its memory. */
    double rate(double now, double since, double fades) {
        double covered = -fades * Math.expm1((since - now) / fades);
        return covered > 0 ? at(now, fades) / covered : 0;
    }
}
