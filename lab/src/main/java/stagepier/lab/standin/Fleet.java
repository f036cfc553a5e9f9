package stagepier.lab.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import stagepier.lab.model.Arrivals;
import stagepier.lab.model.KeySource;
import stagepier.lab.model.NodeModel;
import stagepier.lab.model.OriginModel;
import stagepier.lab.model.Randoms;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.Scenario;

/** All cache nodes, the origin and discovery, on one event loop; knows who has to be told of what, and when. */
public final class Fleet {
    /** What a running fleet looks like, for people to see. */
    public record StatusSnapshot(List<String> nodes, long held, long fetches, long connections) {}

    /**
     * A change of the list.
     *
     * @param at          when all agents had it, in seconds
     * @param generations version of the list with it, by router
     */
    public record Announcement(double at, List<Integer> generations) {}

    /** Draws of keys, for each place of a node's memory, that fill it before the run. */
    private static final int PREFILLED = 3;

    private final SharedState world;
    private final Scenario scenario;
    private final Randoms randoms;
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private final IntFunction<DiscoveryFront.Observer> observers;
    private final Nemesis nemesis;
    /** Between each router and its agent of discovery; empty where the scenario has no faults between processes. */
    private final List<StreamRelay> toAgents = new ArrayList<>();
    /** Null where routers tell each other nothing. */
    private DatagramRelay peers;
    /** Null where all routers of the fleet are processes of this run. */
    private PeerAddresses wider;
    /** Null where routers do not decide together. */
    private FleetLinks links;
    /** By node and router; empty where no fault lies between them. */
    private final List<List<StreamRelay>> toNodes = new ArrayList<>();

    public Fleet(EventLoop loop, LabClock clock, Recorder recorder, Scenario scenario, Randoms randoms) {
        this(loop, clock, recorder, scenario, randoms, router -> DiscoveryFront.Observer.NONE);
    }

    /** @param observers by router: is told, on the event loop, what that router and its agent of discovery exchange */
    public Fleet(
            EventLoop loop,
            LabClock clock,
            Recorder recorder,
            Scenario scenario,
            Randoms randoms,
            IntFunction<DiscoveryFront.Observer> observers) {
        this.observers = observers;
        this.scenario = scenario;
        this.randoms = randoms;
        nemesis = new Nemesis(randoms, scenario.linkFaults());
        world = new SharedState(loop, clock, recorder, scenario, randoms);
    }

    /**
     * Brings up all sockets. Waits; not on the event loop.
     *
     * @param peerPorts where each router is to listen for others, if they tell each other anything
     */
    public void start(int[] peerPorts) throws InterruptedException {
        startStandIns();
        if (scenario.peers()) {
            peers = new DatagramRelay(world, nemesis, peerPorts);
            peers.listen();
        }
        publishAll();
    }

    /**
     * The same for the router processes of a fleet that is wider than these; somebody else passes on what routers tell
     * each other.
     */
    public void start(PeerAddresses addresses) throws InterruptedException {
        wider = addresses;
        startStandIns();
        publishAll();
    }

    private void startStandIns() throws InterruptedException {
        for (int i = 0; i < scenario.nodes(); i++) {
            // Half of the machines are slower, as in a fleet that grew.
            NodeModel.Traits t = scenario.node();
            double speed = t.speed() * (i % 2 == 0 ? 1 : 0.75);
            NodeModel model = new NodeModel(
                    new NodeModel.Traits(
                            t.cores(),
                            speed,
                            t.held(),
                            t.connections(),
                            t.handshake(),
                            t.coldShare(),
                            t.warmUp(),
                            t.fallMultiple(),
                            t.fallSpan(),
                            t.down(),
                            t.memory()),
                    Double.NEGATIVE_INFINITY);
            CacheNode node = new CacheNode(world, i, model, randoms.of("node-" + i), scenario.routers());
            node.listen();
            world.nodes().add(node);
        }
        relayNodes();
        prefill();
        for (int r = 0; r < scenario.routers(); r++) {
            DiscoveryAgent agent = new DiscoveryAgent(world, nemesis, r, observers.apply(r));
            agent.listen();
            agents.add(agent);
            if (!scenario.linkFaults().isEmpty()) {
                StreamRelay relay = new StreamRelay(world, nemesis, Link.DISCOVERY, r, Link.AGENT, agent.port());
                relay.listen();
                toAgents.add(relay);
            }
        }
    }

    private void publishAll() throws InterruptedException {
        onLoop(() -> {
            for (CacheNode node : world.nodes()) {
                for (int r = 0; r < agents.size(); r++) {
                    agents.get(r).publish(entry(node, r, "up", 0));
                }
            }
            return null;
        });
    }

    /**
     * Brings up what lies between routers that decide together. Waits; not on the event loop.
     *
     * @param ports where each router listens for calls of the others
     */
    public void link(int[] ports) throws InterruptedException {
        links = new FleetLinks(world, nemesis, ports);
        links.listen();
    }

    /** The port at which a router calls another one; for itself, at which it listens. */
    public int door(int caller, int called) {
        return links.door(caller, called);
    }

    /** Whether calls of a router reach another one at a moment; of a run that is over. */
    public boolean hears(int to, int from, double at) {
        return !nemesis.treatment(Link.FLEET, from, to, at).isSilence();
    }

    /** Bytes that each router sent to others, by the second. */
    public Map<Integer, List<Long>> traffic() throws InterruptedException {
        return onLoop(() -> links == null ? Map.of() : links.traffic());
    }

    private void relayNodes() throws InterruptedException {
        boolean needed = scenario.linkFaults().stream().anyMatch(f -> f.links().contains(Link.NODES));
        for (CacheNode node : needed ? world.nodes() : List.<CacheNode>of()) {
            List<StreamRelay> of = new ArrayList<>();
            for (int r = 0; r < scenario.routers(); r++) {
                StreamRelay relay = new StreamRelay(
                        world, nemesis, Link.NODES, r, Link.node(node.number()), node.port(r), new ToNode(r));
                relay.listen();
                of.add(relay);
            }
            toNodes.add(of);
        }
    }

    /** Keeps when what a router sends went off. */
    private final class ToNode implements StreamRelay.Passed {
        private final int router;

        ToNode(int router) {
            this.router = router;
        }

        @Override
        public void bytes(int from, int bytes) {
            // Only when and on which connection is asked for.
        }

        @Override
        public void bytes(int from, int port, int bytes, double at) {
            if (from == router) {
                world.sent().sent(port, bytes, at);
            }
        }

        @Override
        public void opened(int port) {
            world.sent().opened(port);
        }
    }

    private int nodePort(CacheNode node, int router) {
        return toNodes.isEmpty()
                ? node.port(router)
                : toNodes.get(node.number()).get(router).port();
    }

    /** Nodes that have been running for long hold what was asked for lately. */
    private void prefill() {
        Arrivals.Demand d = scenario.demand();
        KeySource keys = new KeySource(randoms.of("kept"), d.keys(), d.zipf(), 0);
        for (int i = 0; i < PREFILLED * scenario.node().memory(); i++) {
            long key = keys.next(0);
            world.nodes().forEach(n -> n.model().keep(key, 0));
        }
    }

    private HostList.Entry entry(CacheNode node, int router, String lifecycle, long startedAtMs) {
        return new HostList.Entry(
                node.id(),
                node.number(),
                "127.0.0.1:" + nodePort(node, router),
                "z" + node.number() % scenario.zones(),
                lifecycle,
                startedAtMs);
    }

    /** The configuration of a router as it is to find it now. */
    public String config(int router, int listenPort, long seed) throws InterruptedException {
        return onLoop(() -> {
            JsonObject o = new JsonObject();
            o.addProperty("name", "n" + router);
            o.addProperty("listen", "127.0.0.1:" + listenPort);
            o.addProperty(
                    "discovery",
                    "127.0.0.1:"
                            + (toAgents.isEmpty()
                                    ? agents.get(router).port()
                                    : toAgents.get(router).port()));
            if (wider != null) {
                o.addProperty("peer_listen", wider.listen().get(router));
                o.addProperty("peers_all", wider.all().get(router));
                JsonArray every = new JsonArray();
                wider.routers().forEach(every::add);
                o.add("peers", every);
            } else if (peers != null) {
                o.addProperty("peer_listen", "127.0.0.1:" + peers.port(router));
                o.addProperty("peers_all", "127.0.0.1:" + peers.toAll(router));
                JsonArray others = new JsonArray();
                for (int other = 0; other < scenario.routers(); other++) {
                    others.add("127.0.0.1:" + peers.door(router, other));
                }
                o.add("peers", others);
            }
            o.addProperty("seed", "%016x".formatted(seed));
            JsonObject limits = new JsonObject();
            limits.addProperty("sockets", scenario.sockets());
            o.add("limits", limits);
            o.add("known", agents.get(router).known());
            o.add("settings", RouterSettings.json(scenario, stated(), router));
            return o.toString();
        });
    }

    /** Routers of the fleet, by the settings. */
    private int stated() {
        return wider != null ? wider.routers().size() : scenario.stated();
    }

    /** What lies between processes; on the event loop of the stand-ins. */
    public void withNemesis(java.util.function.Consumer<Nemesis> what) {
        world.loop().execute(() -> what.accept(nemesis));
    }

    /** Datagrams that routers sent, and copies that reached a router. */
    public List<Long> datagrams() throws InterruptedException {
        return onLoop(() -> peers == null ? List.of(0L, 0L) : List.of(peers.sent(), peers.delivered()));
    }

    // ---- faults -------------------------------------------------------------------------------------------
    /** Brings about a fault of cache nodes or discovery now, and its end when that is due. */
    public void befall(Fault fault) {
        world.loop().execute(() -> {
            if (fault.kind() == Fault.Kind.DISCOVERY_DOWN) {
                agents.forEach(a -> a.down(true));
                world.at(world.clock().now() + fault.lasts(), () -> agents.forEach(a -> a.down(false)));
                return;
            }
            for (int i : chosen(fault, scenario.nodes(), randoms)) {
                befall(fault, world.nodes().get(i));
            }
        });
    }

    /** Those whom a fault befalls: the ones it names, or as many as its part says, always the same for a seed. */
    public static Set<Integer> chosen(Fault fault, int of, Randoms randoms) {
        Set<Integer> chosen = new HashSet<>(fault.nodes());
        int want = (int) Math.round(fault.part() * of);
        UniformRandomProvider random = randoms.of("fault-" + fault.kind().name().toLowerCase(Locale.ROOT) + fault.at());
        while (chosen.size() < Math.min(of, Math.max(want, fault.part() > 0 ? 1 : 0))) {
            chosen.add(random.nextInt(of));
        }
        return chosen;
    }

    /** The id under which discovery lists a node now. */
    public String id(int node) throws InterruptedException {
        return onLoop(() -> world.nodes().get(node).id());
    }

    /** The process of a node is ended and started again, cold, and discovery tells of both. */
    public void restart(int node, double downFor) {
        world.loop().execute(() -> {
            CacheNode n = world.nodes().get(node);
            n.crash();
            tell(n, scenario.notice(), "removed");
            world.at(world.clock().now() + downFor, () -> backAgain(n));
        });
    }

    private void befall(Fault fault, CacheNode node) {
        double now = world.clock().now();
        double over = now + fault.lasts();
        switch (fault.kind()) {
            case CRASH -> {
                node.crash();
                tell(node, scenario.notice(), "removed");
                world.at(over, () -> backAgain(node));
            }
            case VANISH -> {
                node.vanish();
                tell(node, scenario.silentNotice(), "removed");
                world.at(over, () -> backAgain(node));
            }
            case HANG -> {
                node.hang(true);
                world.at(over, () -> node.hang(false));
            }
            case SLOW -> {
                node.model().slow(fault.factor());
                world.at(over, () -> node.model().slow(1));
            }
            case FULL -> {
                node.full(true);
                world.at(over, () -> node.full(false));
            }
            case RESET, HALF, SPOIL -> {
                node.spoil(fault.kind(), fault.factor());
                world.at(over, () -> node.spoil(null, 0));
            }
            case COPY_SPOIL, COPY_SLOW -> {
                node.copies(
                        fault.kind() == Fault.Kind.COPY_SPOIL,
                        fault.kind() == Fault.Kind.COPY_SLOW ? fault.factor() : 0);
                world.at(over, () -> node.copies(false, 0));
            }
            case MUTE -> node.mute(fault.factor());
            case DRAIN -> drain(node, over, node.id());
            case REPLACE -> drain(node, over, "s-%08x".formatted(0x900000 + node.number() * 0x101 + (int) now));
            default -> throw new IllegalArgumentException(fault.kind() + " is no fault of a cache node");
        }
    }

    /** Drains, ends once routers had their time, and is there again, maybe as another, when the fault is over. */
    private void drain(CacheNode node, double over, String newId) {
        tell(node, scenario.notice(), "draining");
        double gone = Math.min(over, world.clock().now() + scenario.notice() + 3);
        world.at(gone, () -> {
            node.crash();
            tell(node, 0.2, "removed");
        });
        world.at(Math.max(over, gone + 0.5), () -> {
            node.comeBackAs(newId);
            tell(node, scenario.notice(), "up");
        });
    }

    private void backAgain(CacheNode node) {
        node.comeBack();
        tell(node, scenario.notice(), "up");
    }

    /** Every router's agent hears of it, each a little later than the other. */
    private void tell(CacheNode node, double after, String lifecycle) {
        long startedAtMs = lifecycle.equals("up") ? System.currentTimeMillis() : 0;
        double now = world.clock().now();
        for (int r = 0; r < agents.size(); r++) {
            DiscoveryAgent agent = agents.get(r);
            HostList.Entry entry = entry(node, r, lifecycle, startedAtMs);
            world.at(now + after + 0.03 * r, () -> agent.publish(entry));
        }
    }

    /**
     * The list says of a node that it drains, or that it is up again; all agents have it at once, and nothing else happens
     * to the node.
     */
    public Announcement announce(int node, boolean draining) throws InterruptedException {
        return onLoop(() -> {
            double now = world.clock().now();
            for (int router = 0; router < agents.size(); router++) {
                String lifecycle = draining ? "draining" : "up";
                agents.get(router).publish(entry(world.nodes().get(node), router, lifecycle, 0));
            }
            return new Announcement(
                    now, agents.stream().map(DiscoveryAgent::generation).toList());
        });
    }

    // ---- what it looks like -------------------------------------------------------------------------------
    public StatusSnapshot glance() throws InterruptedException {
        return onLoop(() -> {
            List<String> states = new ArrayList<>();
            double now = world.clock().now();
            for (CacheNode n : world.nodes()) {
                states.add(
                        !n.isRunning()
                                ? "down"
                                : n.isFull() ? "full" : n.model().isCold(now) ? "cold" : "up");
            }
            return new StatusSnapshot(
                    states,
                    world.nodes().stream().mapToLong(n -> n.model().held()).sum(),
                    world.origin().sent(),
                    world.nodes().stream().mapToLong(CacheNode::connections).sum());
        });
    }

    /** Connections opened to all nodes, the most that one held at a time, and requests turned away. */
    public List<Long> totals() throws InterruptedException {
        return onLoop(() -> List.of(
                world.nodes().stream().mapToLong(CacheNode::opened).sum(),
                world.nodes().stream()
                        .mapToLong(CacheNode::connectionsPeak)
                        .max()
                        .orElse(0),
                world.nodes().stream().mapToLong(CacheNode::turnedAway).sum()));
    }

    /** Fetches that the origin was sent, by cause. */
    public long fetches(OriginModel.Cause cause) throws InterruptedException {
        return onLoop(() -> world.origin().sent(cause));
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> what) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        world.loop().execute(() -> {
            try {
                result.complete(what.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(10, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("the stand-ins' event loop failed: " + e.getCause(), e);
        }
    }

    public void stop() throws InterruptedException {
        onLoop(() -> {
            world.nodes().forEach(CacheNode::close);
            agents.forEach(DiscoveryAgent::close);
            toAgents.forEach(StreamRelay::close);
            toNodes.forEach(of -> of.forEach(StreamRelay::close));
            if (peers != null) {
                peers.close();
            }
            if (links != null) {
                links.close();
            }
            return null;
        });
    }
}
