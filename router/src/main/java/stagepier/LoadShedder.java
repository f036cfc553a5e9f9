package stagepier;

/** Fraction of its keys that an overloaded server keeps; restored slowly, or load would oscillate. */
final class LoadShedder {
    /** Wait, as a fraction of the target, above which keys are shed; least fraction kept, to see recovery. */
    static final double MAX_WAIT = 0.14;

    static final double MIN_ADMITTED = 0.03;
    /** Rest at the least fraction, and time of the return of all keys after it, in shortest deadlines. */
    private static final double REST = 5;

    private static final double RECOVERY = 4;
    private double admittedAtCut = 1;
    private double cutAt = Double.NEGATIVE_INFINITY;

    double admitted(double now, double deadline) {
        double shed = (1 - admittedAtCut) * (1 - admittedAtCut);
        double recovering = (now - cutAt) / deadline - REST * shed * shed;
        return Math.min(1, admittedAtCut + Math.max(0, recovering) / RECOVERY);
    }

    /** {@code wait} is a fraction of the target. The previous cut must have had time to take effect. */
    void observe(double now, double wait, double deadline) {
        if (wait > MAX_WAIT && now - cutAt >= deadline) {
            admittedAtCut = Math.max(MIN_ADMITTED, admitted(now, deadline) * MAX_WAIT / wait);
            cutAt = now;
        }
    }
}
