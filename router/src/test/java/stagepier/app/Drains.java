package stagepier.app;

import stagepier.drain.Drain;

/** States of a process, for tests in which it does not change. */
final class Drains {
    private Drains() {}

    /** Of one that serves. */
    static Drain serving() {
        Drain drain = new Drain();
        drain.started();
        return drain;
    }
}
