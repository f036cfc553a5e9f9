package stagepier.exchange;

/**
 * The router's time source, in seconds: monotonic, and anchored once to Unix time because server lists give start times
 * in Unix time. Tests replace it by a manual clock.
 */
public class Clock {
    private final double anchor = System.currentTimeMillis() / 1e3;
    private final long startNanos = System.nanoTime();

    public double now() {
        return anchor + (System.nanoTime() - startNanos) / 1e9;
    }
}
