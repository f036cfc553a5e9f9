package stagepier.tasks;

import java.time.Clock;
import java.time.Duration;

/**
 * Time and tasks, passed in: what runs beside the event loop is written straight down, one task for each thing that goes on,
 * and waits by the means here only. In service a task is a thread; in tests of thousands of histories one task runs at a
 * time, time stands still while it does, and the order is drawn from a seed.
 */
public interface Tasks {
    /** What a task does; ends when it returns, or when a wait of its throws. */
    @FunctionalInterface
    interface Body {
        void run() throws InterruptedException;
    }

    /** Monotonic time in nanoseconds, as {@link System#nanoTime()}: only differences mean anything. */
    long nanoTime();

    /** The wall clock, which staff or an administrator may set, and which may jump. */
    Clock wall();

    /** @throws InterruptedException the tasks are being stopped */
    void sleep(Duration time) throws InterruptedException;

    /**
     * Starts a task. What it throws is logged and ends this task alone. After {@link #stop()} nothing starts.
     *
     * @param name for logs and thread dumps
     */
    void start(String name, Body body);

    /**
     * A box through which tasks, and the event loop, hand things to a task.
     *
     * @param bound things that lie in it at the most; what is put in beyond that is dropped and counted
     */
    <T> Mailbox<T> mailbox(int bound);

    /** Interrupts every wait; every task has ended, or is given up with a log line, within 2 s. */
    void stop();
}
