package stagepier.lab.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import stagepier.lab.check.Verdict;
import stagepier.lab.ledger.Event;
import stagepier.lab.ledger.Ledger;
import stagepier.lab.ledger.Violation;
import stagepier.lab.measure.Series;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.PlannedRequest;
import stagepier.lab.model.Randoms;
import stagepier.lab.report.RunResult;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.FleetScenario;
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
    public record Progress(double seconds, Series series, Fleet.StatusSnapshot glance) {}

    /** Later than this at the 99th percentile, the generator was too slow for what it had to send. */
    private static final long LAG_MOST_US = 20_000;

    private static final int ENDS_WITHIN_S = 12;
    /** Seconds after SUSPEND at which a node is restarted by hand, and that this takes. */
    private static final double RESTARTED_AFTER = 1.5;

    private static final double RESTART_TAKES = 0.5;
    /** Seconds for which new clients still come to a router that says no, and after which all have to be gone. */
    private static final double FRONT_NOTICES = 0.3;

    private static final double GONE_WITHIN = 4;
    /** Seconds after SIGCONT for which a router is not yet held to its answers. */
    private static final double THAW_TAKES = 0.3;

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
    private final FleetFiles files;
    private final EvidenceCollector judgement;
    private Fleet fleet;
    private Clients clients;

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
        files = new FleetFiles(scenario, folder);
        judgement = new EvidenceCollector(scenario, folder);
        // Whatever ends this process, no router outlives it.
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    private void killAll() {
        routers.forEach(RouterProcess::close);
    }

    /** Runs it all. {@code watcher} is told about once a second, on a thread of the experiment's. */
    public RunResult run(Consumer<Progress> watcher) throws IOException, InterruptedException {
        fleet = new Fleet(worldLoop, clock, recorder, scenario, randoms);
        fleet.start(Ports.freeForDatagrams(scenario.routers()));
        if (scenario.together() != null) {
            fleet.link(Ports.lasting(scenario.routers()));
        }
        for (int r = 0; r < scenario.routers(); r++) {
            RouterProcess router = process(r);
            routers.add(router);
            router.start(fleet.config(r, router.port(), seed * 31 + r));
        }
        List<Double> ready = new ArrayList<>();
        for (RouterProcess router : routers) {
            ready.add(router.awaitReady());
        }
        List<PlannedRequest> plan = Arrivals.draw(randoms, scenario.demand(), scenario.kinds());
        clients = new Clients(
                clientLoop,
                clock,
                recorder,
                scenario,
                plan,
                routers.stream().mapToInt(RouterProcess::port).toArray());
        List<Double> cpuBefore = routers.stream().map(RouterProcess::cpuSeconds).toList();
        CountDownLatch over = new CountDownLatch(1);
        clients.start(over::countDown);
        scenario.faults().forEach(f -> later(f.at(), () -> befall(f)));
        double from = clock.now();
        fleet.withNemesis(n -> n.starts(from));
        proposeLater(Instant.now());
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
        List<Map<String, Long>> counters =
                routers.stream().map(RouterProcess::counters).toList();
        Map<OriginModel.Cause, Long> fetches = new EnumMap<>(OriginModel.Cause.class);
        for (OriginModel.Cause cause : OriginModel.Cause.values()) {
            fetches.put(cause, fleet.fetches(cause));
        }
        List<Long> totals = fleet.totals();
        Map<Integer, List<Long>> traffic = fleet.traffic();
        endRouters();
        fleet.stop();
        Series series = clients.series();
        recorder.all().forEach(e -> {
            if (e instanceof Event.Arrived a && a.runs() && a.request() >= 0) {
                series.executed(Math.max(0, a.at() - clients.startedAt()));
            }
        });
        List<Violation> breaches = new Ledger(scenario.kinds(), Scenario.DRAIN_GRACE).judge(recorder.all(), until);
        List<Verdict> verdicts = scenario.together() == null
                ? List.of()
                : judgement.verdicts(clock.zero(), from, until, fleet::hears, recorder.all(), breaches, traffic);
        boolean valid = ended && clients.starved() == 0 && clients.lag().getValueAtPercentile(99) <= LAG_MOST_US;
        return new RunResult(
                scenario,
                seed,
                series,
                breaches,
                valid,
                clients.lag(),
                ready,
                cpu,
                resident,
                counters,
                totals,
                fetches,
                verdicts);
    }

    private RouterProcess process(int r) throws IOException {
        if (scenario.together() == null) {
            return new RouterProcess(r, command, Map.of(), folder, scenario.hasStaff());
        }
        return new RouterProcess(
                r,
                HistoryCommand.of(command, r, folder, scenario.together().clockOffset(r)),
                files.write(r, fleet),
                folder,
                scenario.hasStaff());
    }

    private void proposeLater(Instant startOfLoad) {
        for (FleetScenario.Proposal p : scenario.together() == null
                ? List.<FleetScenario.Proposal>of()
                : scenario.together().proposals()) {
            later(p.at(), () -> p.routers().forEach(r -> propose(p, r, startOfLoad)));
        }
        for (FleetScenario.Candidate c : scenario.together() == null
                ? List.<FleetScenario.Candidate>of()
                : scenario.together().candidates()) {
            later(c.at(), () -> c.routers().forEach(r -> reread(c, r)));
        }
    }

    private void reread(FleetScenario.Candidate candidate, int r) {
        try {
            files.candidate(r, candidate.text());
            routers.get(r).reload();
        } catch (IOException e) {
            stray(r, "a candidate cannot be given: " + e.getMessage());
        }
    }

    private void propose(FleetScenario.Proposal proposal, int r, Instant startOfLoad) {
        try {
            files.propose(r, proposal.windows(), startOfLoad);
            judgement.proposed(clock.now(), r);
            routers.get(r).reload();
        } catch (IOException e) {
            stray(r, "a calendar cannot be proposed: " + e.getMessage());
        }
    }

    private void look(Clients clients, double from, long[] fetchesBefore, Consumer<Progress> watcher) {
        try {
            Fleet.StatusSnapshot glance = fleet.glance();
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
        if (fault.kind() == Fault.Kind.SUSPEND) {
            Fleet.chosen(fault, scenario.nodes(), randoms).forEach(node -> script.execute(() -> suspend(fault, node)));
            return;
        }
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
                case ROUTER_PAUSE -> pause(fault, r);
                case ROUTER_STALL -> {
                    recorder.add(new Event.Stalled(clock.now(), r, true));
                    router.stall(true);
                    later(fault.lasts(), () -> thaw(r));
                }
                case ROUTER_UPGRADE -> {
                    String wrong = router.upgrade(fleet.config(r, router.port(), seed * 31 + r + 2000));
                    if (wrong != null) {
                        stray(r, wrong);
                    }
                }
                case ROUTER_KILL -> {
                    recorder.add(new Event.Router(clock.now(), r, false));
                    router.kill();
                    later(fault.lasts(), () -> startAgain(r));
                }
                default -> {
                    // Clients still come for a while after the word; what it takes then it has to answer.
                    if (!router.end(ENDS_WITHIN_S)) {
                        stray(r, "it did not end in order when told to");
                    }
                    recorder.add(new Event.Router(clock.now(), r, false));
                    startAgain(r);
                }
            }
        } catch (IOException e) {
            stray(r, "fault " + fault.kind() + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that is no answer at all, and wrong. */
    private void stray(int r, String what) {
        recorder.add(new Event.UnexpectedLine(clock.now(), r, "(" + what + ")"));
    }

    private void later(double seconds, Runnable what) {
        script.schedule(what, (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }

    private void thaw(int r) {
        try {
            routers.get(r).stall(false);
            // What lay there unread has to be read first.
            later(THAW_TAKES, () -> recorder.add(new Event.Stalled(clock.now(), r, false)));
        } catch (IOException e) {
            stray(r, "it cannot be told to go on: " + e.getMessage());
        }
    }

    // ---- what staff do ------------------------------------------------------------------------------------
    /** Out at every router, restarted meanwhile, and back, cold. */
    private void suspend(Fault fault, int node) {
        callAll("SUSPEND", node, true);
        later(RESTARTED_AFTER, () -> fleet.restart(node, RESTART_TAKES));
        later(Math.max(fault.lasts(), RESTARTED_AFTER + RESTART_TAKES), () -> callAll("RESTORE", node, false));
    }

    private void callAll(String word, int node, boolean out) {
        try {
            String id = fleet.id(node);
            for (int r = 0; r < routers.size(); r++) {
                if (routers.get(r).says(word + " " + id)) {
                    recorder.add(new Event.OperatorChange(clock.now(), r, node, out));
                } else {
                    stray(r, word + " " + id + " was not answered with yes in 1 s");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a router's clients away, to the next one, looks whether they are gone after 4 s, and lets them come again. */
    private void pause(Fault fault, int r) {
        if (!routers.get(r).says("PAUSE")) {
            stray(r, "PAUSE was not answered with yes in 1 s");
        }
        later(FRONT_NOTICES, () -> clients.move(r, (r + 1) % routers.size()));
        later(GONE_WITHIN, () -> {
            try {
                int held = clients.open(r);
                if (held > 0 || routers.get(r).isAlive(1000)) {
                    stray(r, held + " connections of clients held, or yes said, 4 s after PAUSE");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        later(Math.max(fault.lasts(), GONE_WITHIN + 1), () -> {
            if (!routers.get(r).says("RESUME") || !routers.get(r).isAlive(1000)) {
                stray(r, "RESUME was not answered with yes, or no yes after it");
            }
            clients.move(r, r);
        });
    }

    private void startAgain(int r) {
        RouterProcess router = routers.get(r);
        try {
            router.start(fleet.config(r, router.port(), seed * 31 + r + 1000));
            router.awaitReady();
            recorder.add(new Event.Router(clock.now(), r, true));
        } catch (IOException e) {
            stray(r, "it did not start again: " + e.getMessage());
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
