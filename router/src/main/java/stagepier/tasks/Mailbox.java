package stagepier.tasks;

import java.time.Duration;

/**
 * Hands things over to a task, in order.
 *
 * @param <T> what is handed over; immutable, for two threads hold it
 */
public interface Mailbox<T> {
    /**
     * Never waits, so that the event loop may call it.
     *
     * @return false where it was full: the thing was dropped and counted
     */
    boolean put(T thing);

    /**
     * Waits for a thing.
     *
     * @return null where none came in time
     * @throws InterruptedException the tasks are being stopped
     */
    T take(Duration most) throws InterruptedException;

    /** Things dropped since it was made. */
    long dropped();
}
