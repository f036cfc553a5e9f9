package stagepier.freeze;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.History;
import stagepier.fleet.SimulatedNetwork;
import stagepier.fleet.VirtualWorld;

/**
 * A fleet with a calendar in virtual time: routers that are killed, paused and restarted, and files that survive
 * restarts.
 */
final class VirtualFleet implements AutoCloseable {
    static final Duration SKEW = Duration.ofSeconds(2);
    private static final Change CHANGE = new Change(Change.Kind.ADD_SERVER, "s-1", "a");

    /** Creates the acceptor of a router; tests replace it with a faulty one. */
    interface AcceptorFactory {
        Acceptor make(String self, long incarnation, LongSupplier wallMs, History history);
    }

    /** A history event of one router. */
    record Event(double at, String router, int process, String what, Map<String, Object> values) {
        String text(String name) {
            return String.valueOf(values.get(name));
        }

        Version version() {
            String[] parts = text("version").split("\\.");
            return new Version(Long.parseLong(parts[0]), Integer.parseInt(parts[1]));
        }
    }

    /** The answer of a router at one time whether a voluntary change may be applied. */
    record Query(double at, Instant trueTime, String router, Calendar.Permit permit) {}

    /** One router and its successive processes. */
    final class Router {
        final String name;
        Windows file;
        Duration wallOffset = Duration.ZERO;
        VirtualWorld.Node node;
        FreezeService service;
        int process;

        Router(String name, Windows file) {
            this.name = name;
            this.file = file;
        }

        void start() {
            process++;
            int startedProcess = process;
            node = world.node(name, wallOffset);
            var calls = net.calls(node);
            History history = (event, values) -> write(this, startedProcess, event, values);
            VirtualWorld.Node startedNode = node;
            FleetConfig config = new FleetConfig(
                    Path.of("fleet.toml"),
                    "hash",
                    name,
                    addresses.get(name),
                    addresses,
                    Path.of("calendar.toml"),
                    lease,
                    SKEW,
                    null);
            long seed = world.random().nextLong();
            service = new FreezeService(
                    node,
                    calls,
                    config,
                    history,
                    seed,
                    () -> file,
                    acceptors.make(
                            name,
                            Incarnations.first(node.wall(), seed),
                            () -> startedNode.wall().millis(),
                            history));
            service.start();
            calls.start();
        }

        boolean isUp() {
            return node != null && !node.isDead();
        }

        void kill() {
            if (isUp()) {
                node.kill();
            }
        }

        void propose(Windows windows) {
            file = windows;
            if (isUp()) {
                service.reload();
            }
        }

        Calendar.Permit permit() {
            return service.calendar()
                    .ask(CHANGE, node.wall().instant(), node.nanoTime())
                    .permit();
        }

        Version learned() {
            return service.learned();
        }
    }

    Duration lease = Duration.ofSeconds(3);
    final VirtualWorld world;
    final SimulatedNetwork net;
    final List<Router> routers = new ArrayList<>();
    final List<Event> events = new ArrayList<>();
    final List<Query> queries = new ArrayList<>();
    final Map<String, Windows> windowsByHash = new LinkedHashMap<>();
    /** The distinct hashes of all routers' files, by time. */
    final TreeMap<Double, List<String>> files = new TreeMap<>();

    private final TreeMap<String, InetSocketAddress> addresses = new TreeMap<>();
    private final AcceptorFactory acceptors;
    private Runnable afterEvent = () -> {};

    VirtualFleet(long seed, int n, Windows file, AcceptorFactory acceptors) {
        this.acceptors = acceptors;
        world = new VirtualWorld(seed);
        net = new SimulatedNetwork(world);
        IntStream.range(0, n)
                .forEach(i -> addresses.put("r%03d".formatted(i), new InetSocketAddress("127.0.0.1", 1000 + i)));
        addresses.keySet().forEach(name -> routers.add(new Router(name, track(file))));
    }

    VirtualFleet(long seed, int n, Windows file) {
        this(seed, n, file, Acceptor::new);
    }

    Windows track(Windows windows) {
        windowsByHash.put(Windows.hash(windows.text()), windows);
        return windows;
    }

    void startAll() {
        routers.forEach(Router::start);
    }

    /** Returns the time that all clocks should show. */
    Instant trueTime() {
        return world.node("clock", Duration.ZERO).wall().instant();
    }

    /** Sets a listener that runs after each event, so that faults can depend on events. */
    void afterEachEvent(Runnable listener) {
        afterEvent = listener;
    }

    Event last() {
        return events.get(events.size() - 1);
    }

    private void write(Router router, int process, String what, Object... values) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < values.length; i += 2) {
            map.put((String) values[i], values[i + 1]);
        }
        events.add(new Event(world.seconds(), router.name, process, what, map));
        files.put(
                world.seconds(),
                routers.stream()
                        .map(r -> Windows.hash(r.file.text()))
                        .distinct()
                        .toList());
        afterEvent.run();
    }

    /** Queries all routers at the given interval from now on whether a change may be applied. */
    void queryEvery(Duration interval) {
        world.after(interval, () -> {
            for (Router r : routers) {
                if (r.isUp()) {
                    queries.add(new Query(world.seconds(), trueTime(), r.name, r.permit()));
                }
            }
            queryEvery(interval);
        });
    }

    boolean allAgree() {
        return routers.stream().allMatch(r -> r.isUp() && r.permit() != Calendar.Permit.UNKNOWN)
                && routers.stream().map(Router::learned).distinct().count() == 1;
    }

    /** Returns the history, one event per line, and the final status of each router. */
    String transcript() {
        StringBuilder transcript = new StringBuilder();
        events.forEach(e -> transcript.append(
                "%.3f %s/%d %s %s%n".formatted(e.at(), e.router(), e.process(), e.what(), e.values())));
        routers.stream()
                .filter(Router::isUp)
                .forEach(r -> transcript
                        .append(r.name)
                        .append(' ')
                        .append(r.service.status())
                        .append('\n'));
        return transcript.toString();
    }

    Router any(Random random) {
        return routers.get(random.nextInt(routers.size()));
    }

    @Override
    public void close() {
        world.close();
    }
}
