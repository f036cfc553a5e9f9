package stagepier.lab.standin;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** The time of an event loop. */
public final class LoopScheduler implements Scheduler {
    private final EventLoop loop;
    private final LabClock clock;

    public LoopScheduler(EventLoop loop, LabClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public void at(double when, Runnable task) {
        loop.schedule(task, (long) (Math.max(0, when - clock.now()) * 1e6), TimeUnit.MICROSECONDS);
    }
}
