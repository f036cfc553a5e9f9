package stagepier.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stagepier.tasks.GuardedTask;

/** What waits until the list of servers is known to be up to date, and for how long at the most. Owns its one timer. */
final class FreshListWaiters {
    private final EventLoop loop;
    private final int mostMs;
    private final Runnable lastLook;
    private final List<Runnable> waiting = new ArrayList<>();
    /** Null while nothing waits. */
    private Future<?> timer;

    /**
     * @param mostMs   milliseconds after which all that waits is run, whatever the list is
     * @param lastLook reads what has come of the list by that moment, which may be the fresh one
     */
    FreshListWaiters(EventLoop loop, int mostMs, Runnable lastLook) {
        this.loop = loop;
        this.mostMs = mostMs;
        this.lastLook = lastLook;
    }

    void add(Runnable then) {
        waiting.add(then);
        if (timer == null) {
            timer = loop.schedule(this::timeIsUp, mostMs, TimeUnit.MILLISECONDS);
        }
    }

    private void timeIsUp() {
        lastLook.run();
        release();
    }

    /** Runs all that waits; a fault in one keeps no other waiting. */
    void release() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        List<Runnable> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(one -> new GuardedTask("work that waited for the list", one).run());
    }
}
