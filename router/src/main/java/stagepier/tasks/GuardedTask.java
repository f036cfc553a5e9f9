package stagepier.tasks;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.logging.FaultLog;

/**
 * A periodic step that continues after an exception or an error, such as a lack of memory. An event loop does not report
 * what a scheduled task throws, and never runs a task with a fixed delay again after that.
 */
public final class GuardedTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(GuardedTask.class);

    private final String name;
    private final Runnable step;

    /**
     * @param name for the log: what is not done if this fails
     * @param step the action of each run
     */
    public GuardedTask(String name, Runnable step) {
        this.name = name;
        this.step = step;
    }

    /** Runs the step and logs what it throws. */
    @Override
    public void run() {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            FaultLog.error(LOG, "task step failed, the task continues: " + name, e);
        }
    }
}
