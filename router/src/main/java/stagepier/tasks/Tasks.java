package stagepier.tasks;

import java.time.Clock;
import java.time.Duration;

/**
 * Time and tasks, passed in as a dependency. Work outside the event loop is written as sequential code, one task for
 * each activity, and waits only through this interface. In production a task is a thread. In simulation tests one task
 * runs at a time, time stands still while it does, and the order is drawn from a seed.
 */
public interface Tasks {
    /** The code of a task, which ends when it returns or when one of its waits throws. */
    @FunctionalInterface
    interface Body {
        void run() throws InterruptedException;
    }

    /** Returns monotonic time in nanoseconds, as {@link System#nanoTime()}: only differences are meaningful. */
    long nanoTime();

    /** Returns the wall clock, which an administrator may set and which may jump. */
    Clock wall();

    /**
     * Waits for a duration.
     *
     * @throws InterruptedException if the tasks are being stopped
     */
    void sleep(Duration time) throws InterruptedException;

    /**
     * Starts a task. An exception is logged and ends this task only. After {@link #stop()} no task starts.
     *
     * @param name for logs and thread dumps
     */
    void start(String name, Body body);

    /**
     * Creates a mailbox through which tasks and the event loop pass items to a task.
     *
     * @param bound capacity; further items are dropped and counted
     */
    <T> Mailbox<T> mailbox(int bound);

    /** Interrupts every wait. Every task ends within 2 s, or is abandoned with a log line. */
    void stop();
}
