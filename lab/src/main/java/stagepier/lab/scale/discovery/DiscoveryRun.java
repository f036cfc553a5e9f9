package stagepier.lab.scale.discovery;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;
import stagepier.lab.standin.DiscoveryFront;
import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.LoopScheduler;
import stagepier.lab.traffic.HttpTraffic;
import stagepier.lab.traffic.HttpTrafficCounter;
import stagepier.lab.traffic.TcpBytes;

/**
 * One run at one size: a real stand-in of discovery under the watches of a whole fleet, in calm, at changes, and after
 * two outages, of which the second ends with a service that has lost its history and sends whole lists.
 */
public final class DiscoveryRun implements AutoCloseable {
    /**
     * What it has shown.
     *
     * @param samples of a valid run; empty of one that was not
     * @param invalid why the run shows nothing; empty where it does
     */
    public record Outcome(List<Sample> samples, List<String> invalid) {}

    private static final int WATCHER_LOOPS = 4;
    /** Between one watcher's start and the next: a service that is asked keeps up with it, so that the calm is one. */
    private static final double START_APART = 0.002;
    /** All have had the first answer of their connection by then, and are spread over their waits. */
    private static final double SETTLE_SECONDS = 3.2;
    /** Two waits of a watch, on average. */
    private static final double CALM_SECONDS = 5.5;

    private static final int CHANGES = 3;
    private static final double BETWEEN_CHANGES = 0.3;
    /** A watch that waits has noticed an outage after 4 s at the latest. */
    private static final double OUTAGE_SECONDS = 4;
    /** Then follows what the outage costs once all have noticed. */
    private static final double ALL_NOTICED_SECONDS = 1;

    private static final double CHANGE_WAIT_SECONDS = 10;
    private static final double RETURN_WAIT_SECONDS = 15;
    /** A run is not valid where its event loops came later than this to what they had to do, at p99 or ever. */
    private static final long LATE_P99_US = 20_000;

    private static final long LATE_EVER_US = 150_000;

    private final DiscoverySetting setting;
    private final LabClock clock = new LabClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1 + WATCHER_LOOPS, NioIoHandler.newFactory());
    private final EventLoop serviceLoop = group.next();
    private final List<EventLoop> watcherLoops = new ArrayList<>();
    private final HttpTrafficCounter counter = new HttpTrafficCounter();
    private final DiscoveryService service;
    private final DiscoveryFront front;
    private final List<Sample> samples = new ArrayList<>();
    private final List<String> invalid = new ArrayList<>();
    private WatcherGroup watchers;

    public DiscoveryRun(DiscoverySetting setting) {
        this.setting = setting;
        service = new DiscoveryService(new LoopScheduler(serviceLoop, clock), setting.manners());
        front = new DiscoveryFront(serviceLoop, service, counter);
        for (int i = 0; i < WATCHER_LOOPS; i++) {
            watcherLoops.add(group.next());
        }
    }

    /** @throws IOException where the machine has no room for it */
    public Outcome run() throws IOException, InterruptedException {
        ResourceCheck.check(setting.watches());
        front.listen();
        onService(() -> {
            HostNames.publishAll(service, setting.servers());
            return null;
        });
        watchers = new WatcherGroup(watcherLoops, clock, front.port(), setting);
        watchers.start(START_APART);
        sleep(START_APART * setting.watches() + SETTLE_SECONDS);
        List<EventLoopLagProbe> probes = startProbes();
        calm();
        changes();
        outage(ReturnFigures.OF_CHANGES, false);
        sleep(SETTLE_SECONDS);
        outage(ReturnFigures.OF_WHOLE_LISTS, true);
        judgePace(probes);
        watchers.stop();
        return new Outcome(invalid.isEmpty() ? List.copyOf(samples) : List.of(), List.copyOf(invalid));
    }

    private void calm() throws InterruptedException {
        long failuresBefore = watchers.failures();
        double from = clock.now();
        HttpTraffic before = traffic();
        sleep(CALM_SECONDS);
        HttpTraffic calm = traffic().since(before);
        double part = (clock.now() - from) * setting.watches();
        add(Figure.BYTES_IN, TcpBytes.toRouters(calm) / part);
        add(Figure.BYTES_OUT, TcpBytes.toService(calm) / part);
        add(Figure.MESSAGES_IN, (calm.answers() + calm.refusals()) / part);
        add(Figure.MESSAGES_OUT, calm.requests() / part);
        add(Figure.CALM_FAILURES, (watchers.failures() - failuresBefore) / part);
    }

    /** Servers that begin to drain, one after the other; the mean of their bytes, and the slowest. */
    private void changes() throws InterruptedException {
        long bytes = 0;
        double slowest = 0;
        for (int i = 0; i < CHANGES; i++) {
            HttpTraffic before = traffic();
            double at = publishDrain();
            WatcherGroup.Reached reached = watchers.await(CHANGE_WAIT_SECONDS);
            if (reached.missing() > 0) {
                add(Figure.CHANGE_NOT_CURRENT, reached.missing());
                return;
            }
            slowest = Math.max(slowest, reached.lastAt() - at);
            bytes += TcpBytes.toRouters(traffic().since(before).newsOnly());
            sleep(BETWEEN_CHANGES);
        }
        add(Figure.CHANGE_BYTES, bytes / (double) CHANGES);
        add(Figure.CHANGE_IN_FORCE, slowest);
        add(Figure.CHANGE_NOT_CURRENT, 0);
    }

    private double publishDrain() throws InterruptedException {
        return onService(() -> {
            watchers.expect(service.list().generation() + 1);
            double now = clock.now();
            service.publish(HostNames.draining(service.list().generation() % setting.servers()));
            return now;
        });
    }

    private void outage(ReturnFigures of, boolean whole) throws InterruptedException {
        onService(() -> {
            service.down(true);
            return null;
        });
        sleep(OUTAGE_SECONDS);
        publishDrain();
        HttpTraffic noticed = traffic();
        double from = clock.now();
        sleep(ALL_NOTICED_SECONDS);
        if (!whole) {
            add(
                    Figure.OUTAGE_CONNECTIONS,
                    traffic().since(noticed).connections() / (clock.now() - from) / setting.watches());
        }
        HttpTraffic before = traffic();
        double at = onService(() -> {
            if (whole) {
                service.list().forgetHistory();
            }
            double now = clock.now();
            service.down(false);
            return now;
        });
        WatcherGroup.Reached reached = watchers.await(RETURN_WAIT_SECONDS);
        HttpTraffic cost = traffic().since(before);
        add(of.bytes(), TcpBytes.toRouters(cost));
        add(of.calls(), cost.requests());
        add(of.connections(), cost.connections());
        add(of.notCurrent(), reached.missing());
        if (reached.missing() == 0) {
            add(of.inForce(), reached.lastAt() - at);
        }
    }

    private List<EventLoopLagProbe> startProbes() {
        List<EventLoopLagProbe> probes = new ArrayList<>();
        probes.add(new EventLoopLagProbe(serviceLoop, clock));
        watcherLoops.forEach(l -> probes.add(new EventLoopLagProbe(l, clock)));
        probes.forEach(EventLoopLagProbe::start);
        return probes;
    }

    private void judgePace(List<EventLoopLagProbe> probes) throws InterruptedException {
        Histogram all = new Histogram(probes.get(0).stop());
        for (EventLoopLagProbe probe : probes.subList(1, probes.size())) {
            all.add(probe.stop());
        }
        if (all.getValueAtPercentile(99) > LATE_P99_US || all.getMaxValue() > LATE_EVER_US) {
            invalid.add("%d watches, seed %d: event loops were %.1f ms late at p99 and %.1f ms at the most"
                    .formatted(
                            setting.watches(),
                            setting.seed(),
                            all.getValueAtPercentile(99) / 1e3,
                            all.getMaxValue() / 1e3));
        }
        if (watchers.slow() > 0) {
            invalid.add("%d watches, seed %d: %d answers were not whole in their time, which hollow watchers pass over"
                    .formatted(setting.watches(), setting.seed(), watchers.slow()));
        }
    }

    private void add(Figure figure, double value) {
        samples.add(new Sample(Conversation.DISCOVERY, figure, setting.watches(), setting.seed(), value));
    }

    private HttpTraffic traffic() throws InterruptedException {
        return onService(counter::soFar);
    }

    private <T> T onService(Callable<T> what) throws InterruptedException {
        try {
            return serviceLoop.submit(what).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the stand-in's event loop failed: " + e.getCause(), e);
        }
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    @Override
    public void close() {
        front.close();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
