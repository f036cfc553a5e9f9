package stagepier.tasks;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A periodic step that continues after an exception. An event loop does not report the exception of a scheduled task,
 * and never runs a task with a fixed delay again after one.
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

    /** Runs the step and logs any exception. */
    @Override
    public void run() {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("task step failed, the task continues: {}", name, e);
        }
    }
}
