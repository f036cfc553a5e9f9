package stagepier.exchange;

/** The one clock: monotonic, anchored once to Unix time, since lists tell starts in Unix time. In seconds. Tests have one of their own. */
public class Clock {
    private final double anchor = System.currentTimeMillis() / 1e3;
    private final long from = System.nanoTime();

    public double now() {
        return anchor + (System.nanoTime() - from) / 1e9;
    }
}
