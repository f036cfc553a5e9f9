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

/** A fleet with a calendar in virtual time: routers that are killed, stopped and restarted, and files that outlive them. */
final class VirtualFleet implements AutoCloseable {
    static final Duration SKEW = Duration.ofSeconds(2);
    private static final Change CHANGE = new Change(Change.Kind.ADD_SERVER, "s-1", "a");

    /** Makes what a router remembers; tests plant a wrong one. */
    interface Memory {
        Acceptor make(String self, long incarnation, LongSupplier wallMs, History history);
    }

    /** What one router wrote at one time. */
    record Event(double at, String router, int life, String what, Map<String, Object> values) {
        String text(String name) {
            return String.valueOf(values.get(name));
        }

        Version version() {
            String[] parts = text("version").split("\\.");
            return new Version(Long.parseLong(parts[0]), Integer.parseInt(parts[1]));
        }
    }

    /** Something that answers at one time whether a voluntary change may be taken up. */
    record Asked(double at, Instant trueTime, String router, Calendar.Permit permit) {}

    /** One router and its processes, one after the other. */
    final class Router {
        final String name;
        Windows file;
        Duration wallOff = Duration.ZERO;
        VirtualWorld.Node node;
        FreezeService part;
        int life;

        Router(String name, Windows file) {
            this.name = name;
            this.file = file;
        }

        void start() {
            life++;
            int mine = life;
            node = world.node(name, wallOff);
            var calls = net.calls(node);
            History history = (what, values) -> write(this, mine, what, values);
            VirtualWorld.Node at = node;
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
            part = new FreezeService(
                    node,
                    calls,
                    config,
                    history,
                    seed,
                    () -> file,
                    memory.make(
                            name,
                            Incarnations.first(node.wall(), seed),
                            () -> at.wall().millis(),
                            history));
            part.start();
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
                part.reload();
            }
        }

        Calendar.Permit permit() {
            return part.calendar()
                    .ask(CHANGE, node.wall().instant(), node.nanoTime())
                    .permit();
        }

        Version learned() {
            return part.learned();
        }
    }

    Duration lease = Duration.ofSeconds(3);
    final VirtualWorld world;
    final SimulatedNetwork net;
    final List<Router> routers = new ArrayList<>();
    final List<Event> events = new ArrayList<>();
    final List<Asked> asked = new ArrayList<>();
    final Map<String, Windows> texts = new LinkedHashMap<>();
    /** What the files of all routers said, each hash once, by the time. */
    final TreeMap<Double, List<String>> files = new TreeMap<>();

    private final TreeMap<String, InetSocketAddress> addresses = new TreeMap<>();
    private final Memory memory;
    private Runnable watch = () -> {};

    VirtualFleet(long seed, int n, Windows file, Memory memory) {
        this.memory = memory;
        world = new VirtualWorld(seed);
        net = new SimulatedNetwork(world);
        IntStream.range(0, n)
                .forEach(i -> addresses.put("r%03d".formatted(i), new InetSocketAddress("127.0.0.1", 1000 + i)));
        addresses.keySet().forEach(name -> routers.add(new Router(name, known(file))));
    }

    VirtualFleet(long seed, int n, Windows file) {
        this(seed, n, file, Acceptor::new);
    }

    Windows known(Windows windows) {
        texts.put(Windows.hash(windows.text()), windows);
        return windows;
    }

    void startAll() {
        routers.forEach(Router::start);
    }

    /** The time that all clocks are meant to show. */
    Instant trueTime() {
        return world.node("clock", Duration.ZERO).wall().instant();
    }

    /** Done after each event, to choose faults by what happens. */
    void watch(Runnable afterEach) {
        watch = afterEach;
    }

    Event last() {
        return events.get(events.size() - 1);
    }

    private void write(Router router, int life, String what, Object... values) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < values.length; i += 2) {
            map.put((String) values[i], values[i + 1]);
        }
        events.add(new Event(world.seconds(), router.name, life, what, map));
        files.put(
                world.seconds(),
                routers.stream()
                        .map(r -> Windows.hash(r.file.text()))
                        .distinct()
                        .toList());
        watch.run();
    }

    /** From here on all routers are asked now and then whether a change may be taken up. */
    void askEach(Duration time) {
        world.after(time, () -> {
            for (Router r : routers) {
                if (r.isUp()) {
                    asked.add(new Asked(world.seconds(), trueTime(), r.name, r.permit()));
                }
            }
            askEach(time);
        });
    }

    boolean agree() {
        return routers.stream().allMatch(r -> r.isUp() && r.permit() != Calendar.Permit.UNKNOWN)
                && routers.stream().map(Router::learned).distinct().count() == 1;
    }

    /** What happened, a line each, and how it ended. */
    String story() {
        StringBuilder story = new StringBuilder();
        events.forEach(
                e -> story.append("%.3f %s/%d %s %s%n".formatted(e.at(), e.router(), e.life(), e.what(), e.values())));
        routers.stream()
                .filter(Router::isUp)
                .forEach(r ->
                        story.append(r.name).append(' ').append(r.part.status()).append('\n'));
        return story.toString();
    }

    Router any(Random random) {
        return routers.get(random.nextInt(routers.size()));
    }

    @Override
    public void close() {
        world.close();
    }
}
