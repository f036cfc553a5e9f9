package stagepier.tasks;

import java.time.Duration;

/**
 * A bounded FIFO queue to one task.
 *
 * @param <T> type of the items; immutable, because two threads share them
 */
public interface Mailbox<T> {
    /**
     * Adds an item. Never waits, so that the event loop may call it.
     *
     * @return false if the mailbox was full: the item was dropped and counted
     */
    boolean put(T item);

    /**
     * Waits for an item.
     *
     * @return null if none arrived in time
     * @throws InterruptedException if the tasks are being stopped
     */
    T take(Duration timeout) throws InterruptedException;

    /** Returns the number of items dropped since the mailbox was created. */
    long dropped();
}
