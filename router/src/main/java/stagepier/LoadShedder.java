package stagepier;

/** Part of its keys that a crowded server keeps: back slowly, or all leave and return together. */
final class LoadShedder {
    /** Part of the aim from where waiting is a crowd; least part kept, for some must tell how it fares. */
    static final double FROM = 0.14;

    static final double LEAST = 0.03;
    /** Shortest deadlines for which one that keeps the least rests, and in which all keys come back then. */
    private static final double RESTS = 5;

    private static final double RETURNS = 4;
    private double kept = 1;
    private double at = Double.NEGATIVE_INFINITY;

    double admitted(double now, double deadline) {
        double cut = (1 - kept) * (1 - kept);
        double rested = (now - at) / deadline - RESTS * cut * cut;
        return Math.min(1, kept + Math.max(0, rested) / RETURNS);
    }

    /** {@code wait} in parts of the aim. What was cut last must have had time to show. */
    void observe(double now, double wait, double deadline) {
        if (wait > FROM && now - at >= deadline) {
            kept = Math.max(LEAST, admitted(now, deadline) * FROM / wait);
            at = now;
        }
    }
}
