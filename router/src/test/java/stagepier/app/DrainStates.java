package stagepier.app;

import stagepier.drain.Drain;

/** Drain states for tests in which the state does not change. */
final class DrainStates {
    private DrainStates() {}

    /** Returns the state of a serving process. */
    static Drain serving() {
        Drain drain = new Drain();
        drain.started();
        return drain;
    }
}
