package stagepier.overload;

/**
 * The load state of the router, derived from the delay of its event loop. Rises immediately and falls only after a
 * period of calm, so that it does not oscillate around a threshold. Performs no I/O and reads no clock; all times are
 * in seconds.
 */
public final class Pressure {
    /** The states, in the order of increasing load. */
    public enum State {
        NORMAL,
        PRESSED,
        OVERLOADED
    }

    /** Number of connections that are accepted in a row in the normal state. */
    public static final int DEFAULT_ACCEPT_BATCH = 16;
    /** Mean delay of the loop, in seconds, from which on the state is entered. */
    private static final double[] THRESHOLDS = {0, 0.01, 0.05};
    /**
     * A state is left after the delay has been below this fraction of its threshold for {@link #EXIT_AFTER} seconds.
     */
    private static final double EXIT_FRACTION = 0.5;

    private static final double EXIT_AFTER = 1;
    /** Number of connections accepted in a row, by state: under load, connected clients have priority. */
    private static final int[] ACCEPT_BATCH = {DEFAULT_ACCEPT_BATCH, 8, 2};

    private State state = State.NORMAL;
    private double calmSince = Double.NaN;

    /** Updates the state from the mean delay of the loop; returns whether the state has changed. */
    public boolean update(double now, double lateness) {
        State previous = state;
        if (state != State.OVERLOADED && lateness >= THRESHOLDS[state.ordinal() + 1]) {
            state = State.values()[state.ordinal() + 1];
            calmSince = Double.NaN;
        } else if (lateness >= EXIT_FRACTION * THRESHOLDS[state.ordinal()]) {
            calmSince = Double.NaN;
        } else if (Double.isNaN(calmSince)) {
            calmSince = now;
        } else if (now - calmSince >= EXIT_AFTER) {
            state = State.values()[state.ordinal() - 1];
            calmSince = Double.NaN;
        }
        return state != previous;
    }

    public State state() {
        return state;
    }

    public int acceptBatch() {
        return ACCEPT_BATCH[state.ordinal()];
    }
}
