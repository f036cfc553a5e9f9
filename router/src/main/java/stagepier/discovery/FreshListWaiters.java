package stagepier.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stagepier.tasks.GuardedTask;

/** Callbacks that wait until the server list is known to be up to date, for a bounded time. Owns its one timer. */
final class FreshListWaiters {
    private final EventLoop loop;
    private final int maxWaitMs;
    private final Runnable finalRead;
    private final List<Runnable> waiting = new ArrayList<>();
    /** Null while nothing waits. */
    private Future<?> timer;

    /**
     * @param maxWaitMs milliseconds after which all callbacks run, whatever the list is
     * @param finalRead reads what has arrived of the list by that moment, which may be the fresh one
     */
    FreshListWaiters(EventLoop loop, int maxWaitMs, Runnable finalRead) {
        this.loop = loop;
        this.maxWaitMs = maxWaitMs;
        this.finalRead = finalRead;
    }

    void add(Runnable callback) {
        waiting.add(callback);
        if (timer == null) {
            timer = loop.schedule(this::onTimeout, maxWaitMs, TimeUnit.MILLISECONDS);
        }
    }

    private void onTimeout() {
        finalRead.run();
        release();
    }

    /** Runs all waiting callbacks; an exception in one does not affect the others. */
    void release() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        List<Runnable> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(waiter -> new GuardedTask("task waiting for a fresh server list", waiter).run());
    }
}
