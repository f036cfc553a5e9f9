package stagepier.tasks;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A step of work that is repeated for as long as the process runs, and that a fault in one step does not end. An event loop keeps an
 * exception of a scheduled task to itself, and runs one that is scheduled with a fixed delay never again.
 */
public final class GuardedTask implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(GuardedTask.class);

    private final String name;
    private final Runnable step;

    /**
     * @param name for the log: what is not done if this fails
     * @param step what is done each time
     */
    public GuardedTask(String name, Runnable step) {
        this.name = name;
        this.step = step;
    }

    /** Does the step; a fault in it is logged. */
    @Override
    public void run() {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("failed, and goes on: {}", name, e);
        }
    }
}
