package stagepier.lab.standin;

/** Time, and tasks for later, for parts that know no clock: an event loop's in a run, virtual in tests. One thread. */
public interface Scheduler {
    /** Seconds since some moment. */
    double now();

    /** Runs a task at that second, or as soon as possible where it is over. Tasks of one moment run in order. */
    void at(double when, Runnable task);
}
