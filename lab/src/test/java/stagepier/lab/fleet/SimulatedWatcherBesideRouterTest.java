package stagepier.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stagepier.lab.model.Randoms;
import stagepier.lab.scale.discovery.NettyConnector;
import stagepier.lab.scale.discovery.SimulatedWatcher;
import stagepier.lab.scale.discovery.WatchTimes;
import stagepier.lab.scenario.ScenarioReader;
import stagepier.lab.standin.DiscoveryBehaviour;
import stagepier.lab.standin.DiscoveryFront;
import stagepier.lab.standin.DiscoveryService;
import stagepier.lab.standin.Fleet;
import stagepier.lab.standin.HostList;
import stagepier.lab.standin.LabClock;
import stagepier.lab.standin.LoopScheduler;
import stagepier.lab.standin.Recorder;

/**
 * A real router's calls to discovery beside those of hollow watchers, as stand-ins of their own see them through calm,
 * a change, an outage and the return: the same kinds of requests, of the same bytes, as often.
 */
@Timeout(45)
class SimulatedWatcherBesideRouterTest {
    private static final int SERVERS = 12;
    private static final int HOLLOW = 12;
    private static final String SCENARIO = "[fleet]\nnodes = 2\nrouters = 1\n";

    /** What a request asks, as its target says. */
    private enum Kind {
        WHOLE_LIST,
        WHAT_THERE_IS_NOW,
        CHANGES
    }

    /** How lists come to routers, and what a watch is like there. */
    private enum Mode {
        PUSHED("push", DiscoveryBehaviour.PUSHED, WatchTimes.OF_AGENT),
        ASKED("ask", new DiscoveryBehaviour(true, 0.0005, 0.00002, 1, 4000, false), WatchTimes.OF_SHARED_SERVICE);

        /** The word of the settings. */
        private final String setting;

        private final DiscoveryBehaviour manners;
        private final WatchTimes times;

        Mode(String setting, DiscoveryBehaviour manners, WatchTimes times) {
            this.setting = setting;
            this.manners = manners;
            this.times = times;
        }
    }

    /** A span of the script. */
    private enum Phase {
        START,
        CALM,
        CHANGE,
        OUTAGE,
        RETURN
    }

    private record Request(Phase phase, Kind kind, int targetBytes, int bytes, int holdMs) {}

    /** A stand-in, and what one watcher asked of it. */
    private final class Seen implements DiscoveryFront.Observer {
        private final DiscoveryService service;
        private final DiscoveryFront front;
        private final List<Request> requests = new ArrayList<>();
        private int connections;

        private Seen(DiscoveryBehaviour manners) throws InterruptedException {
            service = new DiscoveryService(new LoopScheduler(loop, clock), manners);
            front = new DiscoveryFront(loop, service, this);
            front.listen();
        }

        @Override
        public void opened() {
            connections++;
        }

        @Override
        public void requested(String target, int bytes) {
            int hold = target.contains("hold_ms=") ? Integer.parseInt(target.replaceAll(".*hold_ms=", "")) : -1;
            Kind kind = hold < 0 ? Kind.WHOLE_LIST : hold <= 1 ? Kind.WHAT_THERE_IS_NOW : Kind.CHANGES;
            requests.add(new Request(phase, kind, target.length(), bytes, hold));
        }

        private long count(Phase in, Kind of) {
            return requests.stream()
                    .filter(r -> r.phase() == in && r.kind() == of)
                    .count();
        }

        /** Bytes of a request beyond its target, by kind. */
        private Map<Kind, Set<Integer>> heads() {
            return requests.stream()
                    .collect(Collectors.groupingBy(
                            Request::kind,
                            TreeMap::new,
                            Collectors.mapping(
                                    r -> r.bytes() - r.targetBytes(), Collectors.toCollection(TreeSet::new))));
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LabClock clock = new LabClock();
    private final List<Seen> all = new ArrayList<>();
    private Phase phase = Phase.START;
    private RouterProcess router;
    private Fleet fleet;

    @TempDir
    private Path folder;

    @BeforeEach
    void startFleet() throws Exception {
        fleet = new Fleet(loop, clock, new Recorder(), ScenarioReader.parse("test", SCENARIO), new Randoms(1));
        fleet.start(new int[0]);
        router = new RouterProcess(
                0,
                RouterProcess.command(Path.of("../router/target/stagepier.jar").toAbsolutePath()),
                Map.of(),
                folder,
                false);
    }

    @AfterEach
    void endAll() throws InterruptedException {
        router.close();
        fleet.stop();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get();
    }

    private void enter(Phase next, double seconds, Callable<Object> beginning) throws Exception {
        onLoop(() -> {
            phase = next;
            return beginning.call();
        });
        Thread.sleep((long) (seconds * 1e3));
    }

    private Seen standIn(Mode mode) throws Exception {
        Seen seen = new Seen(mode.manners);
        all.add(seen);
        onLoop(() -> {
            for (int i = 0; i < SERVERS; i++) {
                seen.service.publish(entry(i, "up"));
            }
            return null;
        });
        return seen;
    }

    private static HostList.Entry entry(int i, String lifecycle) {
        return new HostList.Entry("s-%08x".formatted(i), i, "127.0.0.1:1", "z0", lifecycle, 0);
    }

    private void startRouter(Mode mode, Seen seen) throws Exception {
        JsonObject config =
                JsonParser.parseString(fleet.config(0, router.port(), 1)).getAsJsonObject();
        config.addProperty("discovery", "127.0.0.1:" + seen.front.port());
        config.getAsJsonObject("settings").addProperty("Discovery", mode.setting);
        config.add("known", onLoop(() -> seen.service.list().json()));
        router.start(config.toString());
        router.awaitReady();
    }

    private void startHollow(Mode mode, Seen seen, int number) throws Exception {
        onLoop(() -> {
            var random = new Randoms(1).of("watcher-" + number);
            new SimulatedWatcher(
                            new LoopScheduler(loop, clock),
                            NettyConnector.to(loop, seen.front.port()),
                            mode.times,
                            random::nextInt,
                            new SimulatedWatcher.Events() {},
                            SERVERS)
                    .start();
            return null;
        });
    }

    @ParameterizedTest
    @EnumSource
    void aHollowWatcherMakesTheCallsOfARealOne(Mode mode) throws Exception {
        Seen real = standIn(mode);
        startRouter(mode, real);
        List<Seen> hollow = new ArrayList<>();
        for (int i = 0; i < HOLLOW; i++) {
            Seen seen = standIn(mode);
            hollow.add(seen);
            startHollow(mode, seen, i);
        }
        enter(Phase.CALM, 6, () -> null);
        enter(Phase.CHANGE, 0.5, () -> {
            all.forEach(s -> s.service.publish(entry(0, "draining")));
            return null;
        });
        enter(Phase.OUTAGE, 5, () -> {
            all.forEach(s -> s.service.down(true));
            return null;
        });
        enter(Phase.RETURN, 1, () -> {
            all.forEach(s -> s.service.publish(entry(1, "draining")));
            all.forEach(s -> s.service.down(false));
            return null;
        });
        onLoop(() -> {
            compare(mode.times, real, hollow);
            return null;
        });
    }

    private static void compare(WatchTimes times, Seen real, List<Seen> hollow) {
        for (Seen one : hollow) {
            assertEquals(real.heads(), one.heads(), "bytes of requests beyond their target, by kind");
        }
        for (Seen one : hollow) {
            holdsWithinBounds(times, one.requests);
        }
        holdsWithinBounds(times, real.requests);
        for (Phase phase : List.of(Phase.CALM, Phase.CHANGE, Phase.OUTAGE, Phase.RETURN)) {
            for (Kind kind : Kind.values()) {
                List<Long> counts =
                        hollow.stream().map(s -> s.count(phase, kind)).sorted().toList();
                long there = real.count(phase, kind);
                // Chance moves a call of a watcher from one span to the next, and waits between tries are drawn.
                assertTrue(
                        there >= counts.get(0) - 1 && there <= counts.get(HOLLOW - 1) + 1,
                        phase + " " + kind + ": " + there + " of a real router, of hollow ones " + counts);
            }
        }
        long total = real.requests.size();
        double mean = hollow.stream().mapToInt(s -> s.requests.size()).average().orElse(0);
        assertTrue(Math.abs(total - mean) <= 0.35 * mean, total + " requests in all, hollow ones " + mean);
        double opened = hollow.stream().mapToInt(s -> s.connections).average().orElse(0);
        assertTrue(
                Math.abs(real.connections - opened) <= 0.35 * opened + 1,
                real.connections + " connections, hollow ones " + opened);
    }

    private static void holdsWithinBounds(WatchTimes t, Collection<Request> requests) {
        requests.stream()
                .filter(r -> r.kind() == Kind.CHANGES)
                .forEach(r ->
                        assertTrue(r.holdMs() <= t.hold() && r.holdMs() > t.hold() - t.holdSpread(), r.toString()));
    }
}
