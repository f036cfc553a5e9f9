package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.Api;
import stagepier.RoutingPolicy;
import stagepier.discovery.HostGroup;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.Reply;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.FleetView;
import stagepier.fleet.Message;
import stagepier.freeze.Calendar;
import stagepier.memcache.CommandParser;
import stagepier.memcache.RingBuffer;
import stagepier.overload.LoopDelay;
import stagepier.overload.Pressure;
import stagepier.server.ServerPools;
import stagepier.settings.SettingsParser;
import stagepier.tasks.LiveTasks;

/** Runs the shadow map over sockets and threads, with one router and two cache servers. */
@Timeout(60)
class ShadowCoordinatorTest {
    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":5,"Repeat":"idempotent"}],"Areas":["a"],"Flavors":["m"],
            "Limits":{"MaxAttempts":3}}""";
    private static final String CANDIDATE = """
            version = 1
            slice = 10000
            classes = ["read"]
            [budget]
            copies_per_second = 400
            fetches_per_second = 400
            [[servers]]
            name = "s-00000002"
            """;

    @TempDir
    private Path folder;

    private final Set<String> served = ConcurrentHashMap.newKeySet();
    /** Number of answers without a value, by kind. */
    private final Map<Reply.Kind, Integer> unserved = new ConcurrentHashMap<>();

    private static final FleetRpc UNREACHABLE = new FleetRpc() {
        @Override
        public void answer(String part, Handler answerer) {}

        @Override
        public void start() {}

        @Override
        public Message call(String member, Message message, Duration most) throws NoReplyException {
            throw new NoReplyException("no other member");
        }
    };

    @Test
    void copiesGoToCandidateOwnerAndStopDuringDrain() throws Exception {
        Path file = Files.writeString(folder.resolve("candidate.toml"), CANDIDATE);
        InetSocketAddress self = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        FleetConfig config = new FleetConfig(
                file,
                "",
                "n0",
                self,
                new TreeMap<>(java.util.Map.of("n0", self)),
                null,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                file);
        FleetView view = new FleetView("n0", 1, true, List.of());
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        LiveTasks tasks = new LiveTasks(java.time.Clock.systemUTC());
        try (StandInCache one = new StandInCache();
                StandInCache two = new StandInCache()) {
            EventLoop loop = group.next();
            Clock clock = new Clock();
            SettingsParser.Parsed settings = SettingsParser.parse(SETTINGS);
            ModuleHost host = new ModuleHost(loop, clock, new LoopDelay(), settings);
            Drain drain = new Drain();
            drain.started();
            ServerPools pools = new ServerPools(
                    loop,
                    clock,
                    new LoopDelay(),
                    host,
                    ServerPools.sockets(loop, 1),
                    50,
                    50,
                    settings.settings(),
                    0,
                    settings.streams());
            host.connect(new RoutingPolicy(settings.settings(), 1, host), pools);
            ShadowCoordinator shadow = runOnLoop(
                    loop,
                    () -> new ShadowCoordinator(
                            new ShadowCoordinator.FleetContext(
                                    tasks,
                                    UNREACHABLE,
                                    config,
                                    1,
                                    () -> view,
                                    () -> Calendar.NONE,
                                    null,
                                    (event, values) -> {}),
                            new ShadowCoordinator.RouterContext(
                                    loop, clock, settings, 400, host, new Pressure(), drain)));
            runOnLoop(loop, () -> {
                List<HostGroup.Host> hosts = List.of(host("s-00000001", 1, one), host("s-00000002", 2, two));
                hosts.forEach(h -> pools.ready(h.member().id(), h.address(), 0));
                host.members(true, hosts.stream().map(HostGroup.Host::member).toList());
                shadow.changed(new HostGroup.Change(true, hosts, List.of()));
                shadow.start();
                return null;
            });
            shadow.service().start();
            await(() -> shadow.version() == 1);
            int requests = 0;
            for (long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
                    count(shadow, "same") < 20;
                    requests++) {
                assertTrue(
                        System.nanoTime() < deadline,
                        () -> shadow.service().status().toString());
                ask(loop, host, requests);
            }
            assertTrue(
                    shadow.service().status().stream()
                            .anyMatch(l -> l.startsWith("shadow: candidate 1-") && l.contains(" on, ")),
                    () -> shadow.service().status().toString());
            assertEquals(requests, served.size(), () -> "requests without a value: " + unserved);
            assertTrue(one.answered() + two.answered() > requests, "no copies were sent");
            runOnLoop(loop, () -> {
                drain.pause(clock.now());
                return null;
            });
            await(() -> links(loop, shadow) == 0);
            runOnLoop(loop, () -> {
                shadow.stop();
                return null;
            });
        } finally {
            tasks.stop();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static HostGroup.Host host(String name, long id, StandInCache cache) {
        return new HostGroup.Host(
                name,
                new Api.Member(id, 0, 0, 0, Api.MemberState.READY, 1, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), cache.port()));
    }

    /** Returns the sum of a counter over the status lines. */
    private static long count(ShadowCoordinator shadow, String counter) {
        return shadow.service().status().stream()
                .filter(l -> l.startsWith("shadow counts:"))
                .flatMap(l -> List.of(l.split(" ")).stream())
                .filter(w -> w.startsWith(counter + "="))
                .mapToLong(w -> Long.parseLong(w.substring(counter.length() + 1)))
                .sum();
    }

    private void ask(EventLoop loop, ModuleHost host, int i) throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        runOnLoop(loop, () -> {
            RingBuffer ring = new RingBuffer();
            ring.put(("mg " + String.format("%016x", 1 + i % 50) + " v Or" + i + " Pc=read,d=4000\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            host.take(
                    (x, reply) -> {
                        if (new String(reply.body(), StandardCharsets.ISO_8859_1).equals("hi")) {
                            served.add(x.command().id());
                        } else {
                            unserved.merge(reply.kind(), 1, Integer::sum);
                        }
                        answered.countDown();
                    },
                    CommandParser.next(ring),
                    Double.POSITIVE_INFINITY);
            return null;
        });
        assertTrue(answered.await(5, TimeUnit.SECONDS));
    }

    private static int links(EventLoop loop, ShadowCoordinator shadow) {
        int[] links = new int[1];
        try {
            runOnLoop(loop, () -> {
                shadow.count((name, n) -> links[0] = (int) n);
                return null;
            });
        } catch (Exception e) {
            throw new AssertionError(e);
        }
        return links[0];
    }

    private static void await(BooleanSupplier what) throws InterruptedException {
        for (int i = 0; !what.getAsBoolean(); i++) {
            assertTrue(i < 2000, "condition not met in time");
            Thread.sleep(5);
        }
    }

    private static <T> T runOnLoop(EventLoop loop, java.util.concurrent.Callable<T> what) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(what.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(10, TimeUnit.SECONDS);
    }
}
