package stagepier;

/** Fraction of origin fetches admitted: falls with each one that fails or is late, rises with successes. */
final class FetchGate {
    private static final double RECOVERY_STEP = 0.04;
    private static final double DECREASE = 0.3;
    private static final double MIN_ADMITTED = 0.02;
    /** Fraction from which the gate counts as open; below, no copies are made, as each is likely a fetch. */
    private static final double OPEN_THRESHOLD = 0.9;

    double admitted = 1;
    private double updatedAt;

    boolean isOpen() {
        return admitted >= OPEN_THRESHOLD;
    }

    /** Also opens with time: when nearly shut, too few fetches pass to show that the origin has recovered. */
    void recover(double now, double recoveryTime) {
        admitted = Math.min(1, admitted + (now - updatedAt) / recoveryTime);
        updatedAt = now;
    }

    /** {@code originShare} is the part of a failure attributed to the origin rather than to the server. */
    void record(boolean inTime, double originShare) {
        double lowered = Math.max(MIN_ADMITTED, admitted * (1 - DECREASE * originShare));
        admitted = inTime ? Math.min(1, admitted + RECOVERY_STEP) : lowered;
    }
}
