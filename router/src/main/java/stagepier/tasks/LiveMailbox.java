package stagepier.tasks;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A box without locks, so that the event loop never waits for a task that is being descheduled. Many may put, one task takes.
 */
final class LiveMailbox<T> implements Mailbox<T> {
    private final int bound;
    private final Queue<T> things = new ConcurrentLinkedQueue<>();
    /** Places taken: taken before a thing is put in, given back after it was taken out, so never too few. */
    private final AtomicInteger held = new AtomicInteger();

    private final AtomicLong dropped = new AtomicLong();
    private volatile Thread taker;

    LiveMailbox(int bound) {
        this.bound = bound;
    }

    @Override
    public boolean put(T thing) {
        int n;
        do {
            n = held.get();
            if (n >= bound) {
                dropped.incrementAndGet();
                return false;
            }
        } while (!held.compareAndSet(n, n + 1));
        things.add(thing);
        LockSupport.unpark(taker);
        return true;
    }

    @Override
    public T take(Duration most) throws InterruptedException {
        long until = System.nanoTime() + most.toNanos();
        // Named before the queue is looked at: whoever puts after that look finds whom to wake.
        taker = Thread.currentThread();
        try {
            for (; ; ) {
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
                T thing = things.poll();
                if (thing != null) {
                    held.decrementAndGet();
                    return thing;
                }
                long left = until - System.nanoTime();
                if (left <= 0) {
                    return null;
                }
                LockSupport.parkNanos(this, left);
            }
        } finally {
            taker = null;
        }
    }

    @Override
    public long dropped() {
        return dropped.get();
    }
}
