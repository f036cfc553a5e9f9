package stagepier;

/** Exponentially decaying event count. All calls on one instance pass the same time constant, in seconds. */
final class FadingCount {
    private double count;
    private double updatedAt;

    void add(double now, double amount, double decayTime) {
        count = value(now, decayTime) + amount;
        updatedAt = now;
    }

    double value(double now, double decayTime) {
        return count == 0 ? 0 : count * Math.exp((updatedAt - now) / decayTime);
    }

    /** Returns events per second, corrected while the count has run for less than its time constant. */
    double rate(double now, double startedAt, double decayTime) {
        double covered = -decayTime * Math.expm1((startedAt - now) / decayTime);
        return covered > 0 ? value(now, decayTime) / covered : 0;
    }
}
