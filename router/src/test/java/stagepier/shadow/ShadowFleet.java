package stagepier.shadow;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import stagepier.Api;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.FleetView;
import stagepier.fleet.SimulatedNetwork;
import stagepier.fleet.VirtualWorld;
import stagepier.freeze.Calendar;
import stagepier.freeze.Change;

/** A fleet of the shadow's tasks in virtual time, with the counts of each router's event loop at hand. */
final class ShadowFleet implements AutoCloseable {
    static final Duration LEASE = Duration.ofSeconds(3);

    /** A process of a router, from its start to its end. */
    final class Router {
        final String name;
        final long incarnation;
        final VirtualWorld.Node node;
        final ShadowService part;
        final Counts counts = new Counts();
        /** What it holds of the fleet, as its own view would tell it late. */
        boolean majority = true;
        /** What was handed over last, by which merged counts are checked. */
        final List<Counts.Snapshot> told = new ArrayList<>();

        Router(String name, Duration wallOff) {
            this.name = name;
            incarnation = ++incarnations;
            node = world.node(name, wallOff);
            FleetRpc calls = net.calls(node);
            part = new ShadowService(new ShadowService.Parts(
                    node,
                    calls,
                    config(name),
                    incarnation,
                    this::view,
                    () -> calendar,
                    agreement(name),
                    () -> servers,
                    false,
                    List.of("a", "b"),
                    List.of("m1"),
                    (event, values) ->
                            history.add(world.seconds() + " " + name + " " + event + " " + List.of(values))));
            part.start();
            calls.start();
        }

        private FleetView view() {
            List<FleetView.Member> members = new ArrayList<>();
            for (String n : names) {
                Router r = routers.get(n);
                long version = r == null || r.part == null ? 0 : r.part.version();
                members.add(
                        new FleetView.Member(n, 1, FleetView.State.ALIVE, new FleetView.Facts("", "", 1, 0, version)));
            }
            return new FleetView(name, 7, majority, members);
        }

        /** Counts as the event loop does, and hands it over. */
        void count(String what, int n) {
            counts.add(what, n);
            Counts.Snapshot s = counts.snapshot(part.state().id());
            if (part.counted(s)) {
                told.add(s);
            }
        }

        /** Whether its event loop would send copies now. */
        boolean copies() {
            ShadowPlan o = part.orders();
            return !node.isDead() && o != null && o.holdAt(node.nanoTime());
        }
    }

    final VirtualWorld world;
    final SimulatedNetwork net;
    final List<String> names = new ArrayList<>();
    final Map<String, Router> routers = new LinkedHashMap<>();
    final List<String> history = new ArrayList<>();
    /** All that ever counted. */
    final List<Router> all = new ArrayList<>();

    Calendar calendar = Calendar.NONE;
    /** The one sequence of what was agreed, and who cannot hear of it. */
    final List<String> agreed = new ArrayList<>();

    final Set<String> deaf = new HashSet<>();
    private final Map<String, Integer> learnt = new TreeMap<>();
    private final List<Api.Member> servers = new ArrayList<>();
    private long incarnations;

    ShadowFleet(long seed, int size) {
        world = new VirtualWorld(seed);
        net = new SimulatedNetwork(world);
        for (int i = 0; i < size; i++) {
            names.add(String.format("n%03d", i));
        }
        for (int i = 1; i <= 8; i++) {
            servers.add(new Api.Member(i, i % 2, 0, 0, Api.MemberState.READY, 1, 0));
        }
        names.forEach(n -> start(n, Duration.ZERO));
    }

    Router start(String name, Duration wallOff) {
        Router r = new Router(name, wallOff);
        routers.put(name, r);
        all.add(r);
        return r;
    }

    List<Router> live() {
        return routers.values().stream().filter(r -> !r.node.isDead()).toList();
    }

    Router router(int i) {
        return routers.get(names.get(i));
    }

    private FleetConfig config(String self) {
        TreeMap<String, InetSocketAddress> members = new TreeMap<>();
        names.forEach(n -> members.put(n, new InetSocketAddress("127.0.0.1", 1)));
        return new FleetConfig(null, "", self, members.get(self), members, null, LEASE, Duration.ofSeconds(2), null);
    }

    private Agreement agreement(String name) {
        return new Agreement() {
            @Override
            public boolean propose(String topic, String text, Duration most) {
                agreed.add(text);
                return true;
            }

            @Override
            public Optional<Accepted> latest(String topic) {
                if (!deaf.contains(name)) {
                    learnt.put(name, agreed.size());
                }
                int n = learnt.getOrDefault(name, 0);
                return n == 0 ? Optional.empty() : Optional.of(new Accepted(n, agreed.get(n - 1)));
            }
        };
    }

    /** A calendar that is open until a moment of the world. */
    Calendar openUntil(double seconds) {
        return new Calendar() {
            @Override
            public long version() {
                return 1;
            }

            @Override
            public Answer ask(Change change, java.time.Instant wall, long nanoTime) {
                return world.seconds() < seconds ? new Answer(Permit.OPEN, "") : new Answer(Permit.FROZEN, "match");
            }
        };
    }

    static CandidateMap map(long version) {
        try {
            return CandidateFile.parse("test", CandidateFileTest.GOOD.replace("version = 3", "version = " + version))
                    .map();
        } catch (CandidateException e) {
            throw new AssertionError(e);
        }
    }

    /** All have one candidate and may copy. */
    void settle(CandidateMap map) {
        router(0).part.take(map);
        if (!world.runUntil(
                () -> live().stream().allMatch(r -> r.part.version() == map.version() && r.copies()),
                Duration.ofSeconds(60))) {
            throw new AssertionError("no shadow at "
                    + live().stream().filter(r -> !r.copies()).map(r -> r.name).toList());
        }
    }

    void run(double seconds) {
        world.run(Duration.ofNanos((long) (seconds * 1e9)));
    }

    @Override
    public void close() {
        world.close();
    }
}
