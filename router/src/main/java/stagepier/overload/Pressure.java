package stagepier.overload;

/**
 * How hard pressed the router is, by how late its own loop is. Rises at once and falls only after a while, so that it
 * does not flutter at a bound. Free of I/O and clock; all times in seconds.
 */
public final class Pressure {
    /** States, the calm one first. */
    public enum State {
        NORMAL,
        PRESSED,
        OVERLOADED
    }

    /** Connections that are accepted in a row while nothing presses. */
    public static final int DEFAULT_ACCEPT_BATCH = 16;
    /** Mean lateness of the loop from which on it is in that state. */
    private static final double[] FROM = {0, 0.01, 0.05};
    /** Part of that lateness under which it has to be, and for how long, to leave the state again. */
    private static final double LEAVES_UNDER = 0.5;

    private static final double LEAVES_AFTER = 1;
    /** Connections that are accepted in a row in each state: those who are here come first. */
    private static final int[] ACCEPTED = {DEFAULT_ACCEPT_BATCH, 8, 2};

    private State state = State.NORMAL;
    private double calmSince = Double.NaN;

    /** The loop's mean lateness now; returns whether the state has changed. */
    public boolean update(double now, double lateness) {
        State was = state;
        if (state != State.OVERLOADED && lateness >= FROM[state.ordinal() + 1]) {
            state = State.values()[state.ordinal() + 1];
            calmSince = Double.NaN;
        } else if (lateness >= LEAVES_UNDER * FROM[state.ordinal()]) {
            calmSince = Double.NaN;
        } else if (Double.isNaN(calmSince)) {
            calmSince = now;
        } else if (now - calmSince >= LEAVES_AFTER) {
            state = State.values()[state.ordinal() - 1];
            calmSince = Double.NaN;
        }
        return state != was;
    }

    public State state() {
        return state;
    }

    public int acceptBatch() {
        return ACCEPTED[state.ordinal()];
    }
}
