package stagepier.tasks;

import java.time.Clock;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks as daemon threads of this process. */
public final class LiveTasks implements Tasks {
    private static final Logger LOG = LoggerFactory.getLogger(LiveTasks.class);
    private static final long STOP_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(2);
    /** Small, because tasks only call, wait and read JSON of a few levels. */
    private static final long STACK_BYTES = 256 * 1024;

    private final Clock wall;
    private final Set<Thread> running = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    public LiveTasks(Clock wall) {
        this.wall = wall;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Clock wall() {
        return wall;
    }

    @Override
    public void sleep(Duration time) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, time.toNanos()));
    }

    @Override
    public void start(String name, Body body) {
        Thread thread = new Thread(null, () -> run(name, body), name, STACK_BYTES);
        thread.setDaemon(true);
        running.add(thread);
        if (stopped) {
            running.remove(thread);
            return;
        }
        thread.start();
    }

    private void run(String name, Body body) {
        try {
            body.run();
        } catch (InterruptedException e) {
            if (!stopped) {
                LOG.error("task {} was interrupted although the tasks are not being stopped", name);
            }
        } catch (RuntimeException e) {
            LOG.error("task {} ended by an uncaught exception", name, e);
        } finally {
            running.remove(Thread.currentThread());
        }
    }

    @Override
    public <T> Mailbox<T> mailbox(int bound) {
        return new LiveMailbox<>(bound);
    }

    @Override
    public void stop() {
        stopped = true;
        long deadline = System.nanoTime() + STOP_TIMEOUT_NS;
        for (Thread thread : running) {
            thread.interrupt();
        }
        for (Thread thread : running) {
            try {
                if (thread != Thread.currentThread() && thread.isAlive()) {
                    TimeUnit.NANOSECONDS.timedJoin(thread, Math.max(1, deadline - System.nanoTime()));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            if (thread != Thread.currentThread() && thread.isAlive()) {
                LOG.warn("task {} did not end within 2 s", thread.getName());
            }
        }
    }
}
