package stagepier.lab.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import stagepier.lab.ledger.Breach;
import stagepier.lab.ledger.Event;
import stagepier.lab.ledger.Ledger;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.Planned;
import stagepier.lab.model.Randoms;
import stagepier.lab.measure.Series;
import stagepier.lab.report.RunResult;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.standin.Clients;
import stagepier.lab.standin.Fleet;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.Recorder;

/**
 * One run of a scenario: starts the fleet and real router processes, sends the load, brings about the faults, and ends
 * all that it started, however it ends itself.
 */
public final class Experiment implements AutoCloseable {
    /** What can be seen while it runs. */
    public record Progress(double seconds, Series series, Fleet.Glance glance) {
    }

    /** Later than this at the 99th percentile, the generator was too slow for what it had to send. */
    private static final long LAG_MOST_US = 20_000;
    private static final int ENDS_WITHIN_S = 12;

    private final Scenario scenario;
    private final long seed;
    private final Randoms randoms;
    private final List<String> command;
    private final Path folder;
    private final LabClock clock = new LabClock();
    private final Recorder recorder = new Recorder();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop worldLoop = group.next();
    private final EventLoop clientLoop = group.next();
    private final ScheduledExecutorService script = new ScheduledThreadPoolExecutor(2);
    private final List<RouterProcess> routers = new ArrayList<>();
    private final Thread atExit = new Thread(this::killAll, "end-routers");
    private Fleet fleet;

    /**
     * @param command starts one router, which finds its configuration by GW_CONFIG
     * @param folder for configurations and logs; must be there
     */
    public Experiment(Scenario scenario, long seed, List<String> command, Path folder) {
        this.scenario = scenario;
        this.seed = seed;
        this.command = command;
        this.folder = folder;
        randoms = new Randoms(seed);
        // Whatever ends this process, no router outlives it.
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    private void killAll() {
        routers.forEach(RouterProcess::kill);
    }

    /** Runs it all. {@code watcher} is told about once a second, on a thread of the experiment's. */
    public RunResult run(Consumer<Progress> watcher) throws IOException, InterruptedException {
        fleet = new Fleet(worldLoop, clock, recorder, scenario, randoms);
        fleet.start();
        for (int r = 0; r < scenario.routers(); r++) {
            RouterProcess router = new RouterProcess(r, command, folder);
            routers.add(router);
            router.start(fleet.config(r, router.port(), seed * 31 + r));
        }
        List<Double> ready = new ArrayList<>();
        for (RouterProcess router : routers) {
            ready.add(router.awaitReady());
        }
        List<Planned> plan = Arrivals.draw(randoms, scenario.demand(), scenario.kinds());
        Clients clients = new Clients(clientLoop, clock, recorder, scenario, plan,
                routers.stream().mapToInt(RouterProcess::port).toArray());
        List<Double> cpuBefore = routers.stream().map(RouterProcess::cpuSeconds).toList();
        CountDownLatch over = new CountDownLatch(1);
        clients.start(over::countDown);
        scenario.faults().forEach(f -> script.schedule(() -> befall(f), (long) (f.at() * 1e6), TimeUnit.MICROSECONDS));
        double from = clock.now();
        long[] fetchesBefore = {0};
        script.scheduleAtFixedRate(() -> look(clients, from, fetchesBefore, watcher), 1, 1, TimeUnit.SECONDS);
        boolean ended = over.await((long) scenario.demand().seconds() + 60, TimeUnit.SECONDS);
        double until = clock.now();
        script.shutdownNow();
        List<Double> cpu = new ArrayList<>();
        for (int r = 0; r < routers.size(); r++) {
            cpu.add(routers.get(r).cpuSeconds() - cpuBefore.get(r));
        }
        List<Double> resident = routers.stream().map(RouterProcess::residentMb).toList();
        List<Map<String, Long>> counters = routers.stream().map(RouterProcess::counters).toList();
        Map<OriginModel.Cause, Long> fetches = new EnumMap<>(OriginModel.Cause.class);
        for (OriginModel.Cause cause : OriginModel.Cause.values()) {
            fetches.put(cause, fleet.fetches(cause));
        }
        List<Long> totals = fleet.totals();
        endRouters();
        fleet.stop();
        Series series = clients.series();
        recorder.all().forEach(e -> {
            if (e instanceof Event.Arrived a && a.runs()) {
                series.executed(Math.max(0, a.at() - clients.startedAt()));
            }
        });
        List<Breach> breaches = new Ledger(scenario.kinds(), Scenario.DRAIN_GRACE).judge(recorder.all(), until);
        boolean valid = ended && clients.starved() == 0 && clients.lag().getValueAtPercentile(99) <= LAG_MOST_US;
        return new RunResult(scenario, seed, series, breaches, valid, clients.lag(), ready, cpu, resident, counters,
                totals, fetches);
    }

    private void look(Clients clients, double from, long[] fetchesBefore, Consumer<Progress> watcher) {
        try {
            Fleet.Glance glance = fleet.glance();
            long fetched = glance.fetches() - fetchesBefore[0];
            fetchesBefore[0] = glance.fetches();
            double seconds = clock.now() - from;
            clientLoop.execute(() -> {
                clients.series().world((int) seconds - 1, fetched, glance.held());
                watcher.accept(new Progress(seconds, clients.series(), glance));
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void befall(Fault fault) {
        if (!fault.kind().isOfRouters()) {
            fleet.befall(fault);
            return;
        }
        for (int r : Fleet.chosen(fault, scenario.routers(), randoms)) {
            script.execute(() -> befall(fault, r));
        }
    }

    private void befall(Fault fault, int r) {
        RouterProcess router = routers.get(r);
        try {
            switch (fault.kind()) {
                case ROUTER_RELOAD -> {
                    router.config(fleet.config(r, router.port(), seed * 31 + r));
                    router.reload();
                }
                case ROUTER_KILL -> {
                    recorder.add(new Event.Router(clock.now(), r, false));
                    router.kill();
                    script.schedule(() -> startAgain(r), (long) (fault.lasts() * 1e6), TimeUnit.MICROSECONDS);
                }
                default -> {
                    // Clients still come for a while after the word; what it takes then it has to answer.
                    if (!router.end(ENDS_WITHIN_S)) {
                        recorder.add(new Event.Stray(clock.now(), r, "(it did not end in order when told to)"));
                    }
                    recorder.add(new Event.Router(clock.now(), r, false));
                    startAgain(r);
                }
            }
        } catch (IOException e) {
            recorder.add(new Event.Stray(clock.now(), r, "(fault " + fault.kind() + " failed: " + e.getMessage() + ")"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startAgain(int r) {
        RouterProcess router = routers.get(r);
        try {
            router.start(fleet.config(r, router.port(), seed * 31 + r + 1000));
            router.awaitReady();
            recorder.add(new Event.Router(clock.now(), r, true));
        } catch (IOException e) {
            recorder.add(new Event.Stray(clock.now(), r, "(it did not start again: " + e.getMessage() + ")"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endRouters() throws InterruptedException {
        for (RouterProcess router : routers) {
            router.kill();
        }
        for (RouterProcess router : routers) {
            router.end(ENDS_WITHIN_S);
        }
    }

    @Override
    public void close() {
        script.shutdownNow();
        killAll();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // The process is ending already, and the hook runs.
            return;
        }
    }
}
