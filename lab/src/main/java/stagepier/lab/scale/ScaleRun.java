package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.model.Randoms;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.standin.LabClock;
import stagepier.lab.traffic.HttpTraffic;

/**
 * One size of the fleet with one seed: router processes beside hollow routers, and what the processes used in two
 * measured spans, before any client has come and under load.
 */
final class ScaleRun {
    /** Seconds by which the load outlasts the measured span: a router without time is slow to tell its counters. */
    private static final int LOAD_OUTLASTS = 15;

    /** Readings of a span; the first at its beginning, the last at its end. */
    private static final int READINGS = 6;

    private static final int CHANGES = 3;
    private static final double MILLIS = 1e3;

    private final ScalePlan plan;
    private final int routers;
    private final long seed;
    private final LabClock clock = new LabClock();

    ScaleRun(ScalePlan plan, int routers, long seed) {
        this.plan = plan;
        this.routers = routers;
        this.seed = seed;
    }

    /**
     * Plays it and ends all that it started.
     *
     * @param command starts one router
     * @param folder  for configurations and logs; must be there
     */
    ScaleOutcome measure(List<String> command, Path folder) throws IOException, InterruptedException {
        Scenario scenario = StatedLoad.scenario(plan.real(), plan.warmUp() + plan.seconds() + LOAD_OUTLASTS);
        try (ReportFanOut fanOut = new ReportFanOut(clock, plan.real(), routers, ReportListener.NONE);
                RealRouters real = new RealRouters(clock, scenario, seed)) {
            real.start(fanOut.addresses(), command, folder);
            fanOut.start(new ReportSchedule(hollow(real.servers())));
            TimeUnit.SECONDS.sleep(plan.warmUp());
            ReportPace paceBefore = fanOut.pace();
            List<RouterSpan> idle = spans(real, fanOut);
            real.load();
            TimeUnit.SECONDS.sleep(plan.warmUp());
            List<RouterSpan> loaded = spans(real, fanOut);
            ReportPace pace = fanOut.pace().since(paceBefore);
            boolean loadKept = real.isLoadKept();
            return new ScaleOutcome(plan.reports(), routers, seed, idle, loaded, changeInForce(real), pace, loadKept);
        }
    }

    /** Of several changes, one after the other, the slowest. */
    private double changeInForce(RealRouters real) throws InterruptedException {
        double slowest = 0;
        for (int change = 0; change < CHANGES; change++) {
            slowest = Math.max(slowest, real.changeInForce());
        }
        return slowest;
    }

    private List<SimulatedRouter> hollow(int[] servers) {
        return hollow(plan.reports(), plan.real(), routers, servers, new Randoms(seed), clock.now());
    }

    /** Those of a fleet of so many routers that are no processes. */
    static List<SimulatedRouter> hollow(
            ReportPacing reports, int real, int routers, int[] servers, Randoms randoms, double from) {
        List<SimulatedRouter> hollow = new ArrayList<>();
        for (int number = real; number < routers; number++) {
            hollow.add(new SimulatedRouter(
                    number,
                    0,
                    LoadReportModel.of(reports, StatedLoad.SHORTEST_DEADLINE, routers),
                    StatedLoad.meanInFlight(),
                    servers,
                    randoms.of("hollow-" + number),
                    from));
        }
        return hollow;
    }

    /** A span of each process from now on. */
    private List<RouterSpan> spans(RealRouters real, ReportFanOut fanOut) throws IOException, InterruptedException {
        List<List<RouterReading>> byProcess = new ArrayList<>();
        real.processes().forEach(process -> byProcess.add(new ArrayList<>()));
        for (int reading = 0; reading < READINGS; reading++) {
            if (reading > 0) {
                TimeUnit.MILLISECONDS.sleep((long) (MILLIS * plan.seconds() / (READINGS - 1)));
            }
            for (int number = 0; number < byProcess.size(); number++) {
                byProcess.get(number).add(reading(real, fanOut, number));
            }
        }
        return byProcess.stream().map(RouterSpan::new).toList();
    }

    private RouterReading reading(RealRouters real, ReportFanOut fanOut, int number)
            throws IOException, InterruptedException {
        RouterProcess process = real.processes().get(number);
        ReportTraffic reports = fanOut.traffic(number);
        HttpTraffic discovery = real.discovery(number);
        double at = clock.now();
        ProcessUse use = ProcessUse.of(process.pid());
        return new RouterReading(at, reports, discovery, use, process.counters());
    }
}
