package stagepier;

/** Part of the fetches that go to the origin: falls with each that fails or is late, and recovers. */
final class FetchGate {
    private static final double RECOVERS = 0.04;
    private static final double YIELDS = 0.3;
    private static final double LEAST = 0.02;
    double admitted = 1;
    private double at;

    /** Opens with time, too: nearly shut, it sees too few fetches to learn that the trouble is over. */
    void pass(double now, double opensIn) {
        admitted = Math.min(1, admitted + (now - at) / opensIn);
        at = now;
    }

    /** {@code fault} tells how far a failure is the origin's rather than the server's. */
    void record(boolean inTime, double fault) {
        admitted = inTime ? Math.min(1, admitted + RECOVERS)
                : Math.max(LEAST, admitted * (1 - YIELDS * fault));
    }
}
