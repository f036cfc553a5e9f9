package stagepier.lab.scale.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import stagepier.lab.standin.LabClock;

/** How late an event loop comes to what it has to do: a task every few milliseconds notes its lateness. */
final class EventLoopLagProbe {
    private static final double EVERY = 0.005;
    private static final long HIGHEST_US = 60_000_000;

    private final EventLoop loop;
    private final LabClock clock;
    private final Histogram lateness = new Histogram(HIGHEST_US, 3);
    private double planned;
    private boolean isOver;

    EventLoopLagProbe(EventLoop loop, LabClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    void start() {
        loop.execute(() -> {
            planned = clock.now();
            look();
        });
    }

    private void look() {
        if (isOver) {
            return;
        }
        double late = Math.max(0, clock.now() - planned);
        lateness.recordValue(Math.min(HIGHEST_US, (long) (late * 1e6)));
        planned = Math.max(planned + EVERY, clock.now());
        loop.schedule(this::look, (long) (Math.max(0, planned - clock.now()) * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Ends it; returns what it saw, in microseconds. */
    Histogram stop() throws InterruptedException {
        loop.submit(() -> isOver = true).await();
        return lateness;
    }
}
