package stagepier.lab.standin;

/** Seconds since the run began, on the monotonic clock; the same for all parts of a run. */
public final class LabClock {
    private final long from = System.nanoTime();

    /** Monotonic nanoseconds of the machine at second 0. */
    public long zero() {
        return from;
    }

    public double now() {
        return (System.nanoTime() - from) / 1e9;
    }
}
