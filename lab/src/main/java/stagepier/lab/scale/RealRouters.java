package stagepier.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.measure.Series.RequestOutcome;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.Randoms;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.standin.Clients;
import stagepier.lab.standin.Fleet;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.PeerAddresses;
import stagepier.lab.standin.Recorder;
import stagepier.lab.traffic.HttpTraffic;
import stagepier.lab.traffic.HttpTrafficCounter;

/**
 * Router processes under the stated load, with stand-ins for all that they speak to but other routers; ends all that
 * it started.
 */
final class RealRouters implements AutoCloseable {
    /** Ids of stand-ins are a letter, a dash and a number in hexadecimal figures. */
    private static final int DIGITS_FROM = 2;

    private static final int HEXADECIMAL = 16;
    private static final int EVENT_LOOPS = 2;
    /** The generator was too slow where it was later than this at the 99th percentile; microseconds. */
    private static final long LAG_MOST = 20_000;

    private static final int PERCENTILE = 99;
    /** A router's counter of the version of its list. */
    private static final String GENERATION = "discovery_generation";
    /** A change that is not in force after so many seconds is not waited for. */
    private static final double CHANGE_WITHIN = 10;

    private static final int LOOK_AGAIN_MS = 2;
    /** A router that is told to end is killed after so long. */
    private static final int ENDS_WITHIN_S = 5;

    private final LabClock clock;
    private final Scenario scenario;
    private final Randoms randoms;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final EventLoop clientLoop;
    private final Fleet fleet;
    /** Of each router and its agent of discovery; on the event loop of the stand-ins. */
    private final List<HttpTrafficCounter> discovery = new ArrayList<>();

    private final EventLoop worldLoop;
    private final Recorder recorder = new Recorder();
    private final List<RouterProcess> processes = new ArrayList<>();
    /** Whatever ends this process, no router outlives it. */
    private final Thread atExit = new Thread(() -> processes.forEach(RouterProcess::close), "end-routers");

    private Clients clients;

    RealRouters(LabClock clock, Scenario scenario, long seed) {
        this.clock = clock;
        this.scenario = scenario;
        randoms = new Randoms(seed);
        worldLoop = group.next();
        clientLoop = group.next();
        for (int number = 0; number < scenario.routers(); number++) {
            discovery.add(new HttpTrafficCounter());
        }
        fleet = new Fleet(worldLoop, clock, recorder, scenario, randoms, discovery::get);
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /**
     * Starts the stand-ins and the processes, and waits until all can serve.
     *
     * @param command starts one router
     * @param folder  for configurations and logs; must be there
     */
    void start(PeerAddresses addresses, List<String> command, Path folder) throws IOException, InterruptedException {
        fleet.start(addresses);
        startProcesses(command, folder);
    }

    /** The same for routers that tell each other nothing. */
    void startSilent(List<String> command, Path folder) throws IOException, InterruptedException {
        fleet.start(new int[0]);
        startProcesses(command, folder);
    }

    private void startProcesses(List<String> command, Path folder) throws IOException, InterruptedException {
        for (int number = 0; number < scenario.routers(); number++) {
            RouterProcess process = new RouterProcess(number, command, Map.of(), folder, false);
            processes.add(process);
            process.start(fleet.config(number, process.port(), seedOf(number)));
        }
        for (RouterProcess process : processes) {
            process.awaitReady();
        }
    }

    /** Ends a process in order and starts it anew, as it is to find the world now; waits until it can serve. */
    void restart(int number) throws IOException, InterruptedException {
        RouterProcess process = processes.get(number);
        process.end(ENDS_WITHIN_S);
        process.start(fleet.config(number, process.port(), seedOf(number)));
        process.awaitReady();
    }

    private long seedOf(int number) {
        return randoms.of("router-" + number).nextLong();
    }

    /** Starts the load. */
    void load() {
        clients = new Clients(
                clientLoop,
                clock,
                recorder,
                scenario,
                Arrivals.draw(randoms, scenario.demand(), scenario.kinds()),
                processes.stream().mapToInt(RouterProcess::port).toArray());
        clients.start(() -> {});
    }

    /** Numbers of the cache servers, as load reports name them. */
    int[] servers() throws InterruptedException {
        int[] numbers = new int[scenario.nodes()];
        for (int node = 0; node < numbers.length; node++) {
            numbers[node] = Integer.parseUnsignedInt(fleet.id(node).substring(DIGITS_FROM), HEXADECIMAL);
        }
        return numbers;
    }

    /** What a router and its agent of discovery have exchanged so far. */
    HttpTraffic discovery(int router) throws InterruptedException {
        return worldLoop.submit(discovery.get(router)::soFar).await().getNow();
    }

    /**
     * A cache server is said to drain, and soon to be up again.
     *
     * @return seconds from the change at discovery until the last process had it in force; infinite where one had it not in time
     */
    double changeInForce() throws InterruptedException {
        Fleet.Announcement drained = fleet.announce(0, true);
        boolean everywhere = awaitInForce(drained);
        double seconds = clock.now() - drained.at();
        awaitInForce(fleet.announce(0, false));
        return everywhere ? seconds : Double.POSITIVE_INFINITY;
    }

    /** Whether all processes had that change within the time for it. */
    private boolean awaitInForce(Fleet.Announcement change) throws InterruptedException {
        for (int number = 0; number < processes.size(); number++) {
            while (processes.get(number).counters().getOrDefault(GENERATION, 0L)
                    < change.generations().get(number)) {
                if (clock.now() - change.at() > CHANGE_WITHIN) {
                    return false;
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_AGAIN_MS);
            }
        }
        return true;
    }

    List<RouterProcess> processes() {
        return List.copyOf(processes);
    }

    /** Requests that have been answered with a value so far. */
    long answered() throws InterruptedException {
        return clientLoop
                .submit(() -> clients.series().total(RequestOutcome.IN_TIME)
                        + clients.series().total(RequestOutcome.LATE))
                .await()
                .getNow();
    }

    /** Requests that have ended for their clients so far, however they did. */
    long ended() throws InterruptedException {
        return clientLoop.submit(() -> clients.series().offered()).await().getNow();
    }

    /** Whether the load was sent as planned so far. */
    boolean isLoadKept() throws InterruptedException {
        return clientLoop
                .submit(() -> clients.starved() == 0 && clients.lag().getValueAtPercentile(PERCENTILE) <= LAG_MOST)
                .await()
                .getNow();
    }

    @Override
    public void close() {
        processes.forEach(RouterProcess::close);
        group.shutdownGracefully(0, EVENT_LOOPS, TimeUnit.SECONDS).syncUninterruptibly();
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // The process is ending already, and the hook runs.
            return;
        }
    }
}
