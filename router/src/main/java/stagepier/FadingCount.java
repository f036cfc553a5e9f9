package stagepier;

/** A count of events that fades with a time constant. */
final class FadingCount {
    final double fades;
    private double count;
    private double at;

    FadingCount(double fades) {
        this.fades = fades;
    }

    void add(double now, double n) {
        count = at(now) + n;
        at = now;
    }

    double at(double now) {
        return count == 0 ? 0 : count * Math.exp((at - now) / fades);
    }

    /** Events a second, also while the count has run for less than its memory. */
    double rate(double now, double since) {
        double covered = -fades * Math.expm1((since - now) / fades);
        return covered > 0 ? at(now) / covered : 0;
    }
}
