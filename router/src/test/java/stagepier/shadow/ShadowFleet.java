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

/** A fleet of shadow services in virtual time, in which tests set the counts of each router's event loop. */
final class ShadowFleet implements AutoCloseable {
    static final Duration LEASE = Duration.ofSeconds(3);

    /** One process of a router. */
    final class Router {
        final String name;
        final long incarnation;
        final VirtualWorld.Node node;
        final ShadowService service;
        final Counts counts = new Counts();
        /** Whether its view has a majority; set by tests. */
        boolean majority = true;
        /** All snapshots handed over, against which merged counts are checked. */
        final List<Counts.Snapshot> published = new ArrayList<>();

        Router(String name, Duration wallOff) {
            this.name = name;
            incarnation = ++incarnations;
            node = world.node(name, wallOff);
            FleetRpc calls = net.calls(node);
            service = new ShadowService(new ShadowService.Parts(
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
            service.start();
            calls.start();
        }

        private FleetView view() {
            List<FleetView.Member> members = new ArrayList<>();
            for (String n : names) {
                Router r = routers.get(n);
                long version = r == null || r.service == null ? 0 : r.service.version();
                members.add(
                        new FleetView.Member(n, 1, FleetView.State.ALIVE, new FleetView.Facts("", "", 1, 0, version)));
            }
            return new FleetView(name, 7, majority, members);
        }

        /** Adds to a counter and hands over a snapshot, as the event loop does. */
        void count(String what, int n) {
            counts.add(what, n);
            Counts.Snapshot s = counts.snapshot(service.state().id());
            if (service.counted(s)) {
                published.add(s);
            }
        }

        /** Returns whether its event loop would send copies now. */
        boolean mayCopy() {
            ShadowPlan o = service.orders();
            return !node.isDead() && o != null && o.isActiveAt(node.nanoTime());
        }
    }

    final VirtualWorld world;
    final SimulatedNetwork net;
    final List<String> names = new ArrayList<>();
    final Map<String, Router> routers = new LinkedHashMap<>();
    final List<String> history = new ArrayList<>();
    /** All processes that were ever started. */
    final List<Router> all = new ArrayList<>();

    Calendar calendar = Calendar.NONE;
    /** The sequence of agreed texts, and the routers that do not learn of new ones. */
    final List<String> agreed = new ArrayList<>();

    final Set<String> unreachable = new HashSet<>();
    private final Map<String, Integer> learned = new TreeMap<>();
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
                if (!unreachable.contains(name)) {
                    learned.put(name, agreed.size());
                }
                int n = learned.getOrDefault(name, 0);
                return n == 0 ? Optional.empty() : Optional.of(new Accepted(n, agreed.get(n - 1)));
            }
        };
    }

    /** Returns a calendar that is open until a time of the simulation. */
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

    /** Runs until all routers have the candidate and may send copies. */
    void awaitActive(CandidateMap map) {
        router(0).service.adopt(map);
        if (!world.runUntil(
                () -> live().stream().allMatch(r -> r.service.version() == map.version() && r.mayCopy()),
                Duration.ofSeconds(60))) {
            throw new AssertionError("no copies allowed on "
                    + live().stream().filter(r -> !r.mayCopy()).map(r -> r.name).toList());
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
