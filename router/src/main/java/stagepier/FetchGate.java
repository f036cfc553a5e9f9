package stagepier;

/** Part of the fetches that go to the origin: falls with each that fails or is late, and recovers. */
final class FetchGate {
    private static final double RECOVERS = 0.04;
    private static final double YIELDS = 0.3;
    private static final double LEAST = 0.02;
    /** Part from which it counts as open: below it, no second copies are made, for each is likely a fetch. */
    private static final double OPEN_FROM = 0.9;

    double admitted = 1;
    private double at;

    boolean isOpen() {
        return admitted >= OPEN_FROM;
    }

    /** Opens with time, too: nearly shut, it sees too few fetches to learn that the trouble is over. */
    void pass(double now, double opensIn) {
        admitted = Math.min(1, admitted + (now - at) / opensIn);
        at = now;
    }

    /** {@code fault} tells how far a failure is the origin's rather than the server's. */
    void record(boolean inTime, double fault) {
        double lowered = Math.max(LEAST, admitted * (1 - YIELDS * fault));
        admitted = inTime ? Math.min(1, admitted + RECOVERS) : lowered;
    }
}
