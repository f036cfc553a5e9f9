package stagepier.exchange;

/** A clock that only advances when a test moves it, so that no result depends on the speed of the machine. */
public final class ManualClock extends Clock {
    private volatile double now = 1e9;

    @Override
    public double now() {
        return now;
    }

    /** Advances the clock by the given number of seconds. */
    public void pass(double seconds) {
        now += seconds;
    }
}
