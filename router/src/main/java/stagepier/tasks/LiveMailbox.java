package stagepier.tasks;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A lock-free mailbox, so that the event loop never waits for a task that is descheduled. Many producers, one consumer.
 */
final class LiveMailbox<T> implements Mailbox<T> {
    private final int capacity;
    private final Queue<T> items = new ConcurrentLinkedQueue<>();
    /**
     * Slots in use: taken before an item is added and released after it was removed, so the number is never too low.
     */
    private final AtomicInteger usedSlots = new AtomicInteger();

    private final AtomicLong dropped = new AtomicLong();
    private volatile Thread waitingThread;

    LiveMailbox(int capacity) {
        this.capacity = capacity;
    }

    @Override
    public boolean put(T item) {
        int n;
        do {
            n = usedSlots.get();
            if (n >= capacity) {
                dropped.incrementAndGet();
                return false;
            }
        } while (!usedSlots.compareAndSet(n, n + 1));
        items.add(item);
        LockSupport.unpark(waitingThread);
        return true;
    }

    @Override
    public T take(Duration timeout) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        // Set before the queue is polled, so that a producer that adds an item after the poll finds the thread to
        // unpark.
        waitingThread = Thread.currentThread();
        try {
            for (; ; ) {
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
                T item = items.poll();
                if (item != null) {
                    usedSlots.decrementAndGet();
                    return item;
                }
                long left = deadline - System.nanoTime();
                if (left <= 0) {
                    return null;
                }
                LockSupport.parkNanos(this, left);
            }
        } finally {
            waitingThread = null;
        }
    }

    @Override
    public long dropped() {
        return dropped.get();
    }
}
