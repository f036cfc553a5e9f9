package stagepier.app;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;
import stagepier.RoutingPolicy;
import stagepier.bans.SharedBans;
import stagepier.client.ClientListener;
import stagepier.console.ConsoleListener;
import stagepier.discovery.DiscoveryWatch;
import stagepier.discovery.HostGroup;
import stagepier.discovery.WatchTimes;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.freeze.Change;
import stagepier.overload.LoopDelay;
import stagepier.overload.Pressure;
import stagepier.peers.PeerReports;
import stagepier.peers.PeerSocket;
import stagepier.server.ServerPools;
import stagepier.tasks.GuardedTask;

/** One running router: wires its components on one event loop, starts them and stops them. */
final class Router {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final int POLL_MS = 10;
    private static final int LISTEN_RETRY_MS = 50;
    /** Descriptors for files, selectors, the listening socket, discovery and sockets accepted just before the limit. */
    static final int OWN_DESCRIPTORS = 48;

    /** Fraction of the descriptors that links to cache servers may take however short the list is. */
    private static final double SERVER_LINK_FRACTION = 0.12;
    /** Maximum fraction of the descriptors for links to cache servers. */
    private static final double MAX_SERVER_LINK_FRACTION = 1 / 3.0;
    /** Links for each server known at the start; above 1 because the list may grow and closed links linger. */
    private static final double LINKS_PER_SERVER = 1.25;

    /** Links in addition to those for the servers; covers closed links whose descriptors linger. */
    private static final int SPARE_LINKS = 8;
    /** Number of servers that is assumed if no list is known. */
    private static final int DEFAULT_SERVERS = 200;
    /**
     * Maximum client links for which the heap has room while they buffer little; their buffers have a limit of their
     * own.
     */
    private static final int MAX_CLIENT_LINKS = 1024;

    private final Config config;
    private final Clock clock = new Clock();
    private final LoopDelay delay;
    private final Pressure pressure = new Pressure();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, WholeMillisecondWaits.socketHandlers(this::selectStrategy));
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final HostGroup hosts;
    private final ModuleHost host;
    private final ServerPools servers;
    private final ClientListener clients;
    private final DiscoveryWatch watch;
    /** Null if the routers exchange no reports. */
    private final PeerSocket peers;

    private final Drain drain;
    /** Null if no console is configured. */
    private final ConsoleListener console;
    /** Null if no console is configured. */
    private final ConsoleOperations operations;
    /** Null if this router is not part of a fleet. */
    private final FleetCoordinator fleet;
    /**
     * The address of discovery in the latest configuration; the watch differs from it while the calendar holds the
     * move.
     */
    private InetSocketAddress configuredDiscovery;
    /** Whether the first call to discovery is over, with or without an answer. */
    private boolean discoveryAsked;

    private boolean listening;

    Router(Config config) throws Config.InvalidConfigException {
        this.config = config;
        configuredDiscovery = config.discovery();
        fleet = config.fleet().isEmpty() ? null : FleetCoordinator.read(config.fleet(), config.name(), config.seed());
        Api.Settings settings = config.settings().settings();
        double drainGrace = settings.protection().drainGrace();
        delay = new LoopDelay(drainGrace);
        drain = new Drain(longestDeadline(settings));
        hosts = new HostGroup(config.settings().names(), clock);
        host = new ModuleHost(loop, clock, delay, config.settings());
        servers = new ServerPools(
                loop,
                clock,
                delay,
                host,
                ServerPools.sockets(loop, settings.limits().connectTimeout()),
                (int) (SERVER_LINK_FRACTION * config.sockets()),
                serverLinks(config.sockets(), listedServers(config.known())),
                settings,
                config.settings().idleClose(),
                config.settings().streams());
        servers.readReports(config.settings().answerReport());
        host.connect(new RoutingPolicy(settings, config.seed(), host), servers);
        clients = new ClientListener(loop, clock, delay, maxClientLinks(), host, this::stats, drain);
        WatchTimes times =
                settings.listOnRequest() ? WatchTimes.ofSharedService(drainGrace) : WatchTimes.ofAgent(drainGrace);
        watch = new DiscoveryWatch(
                loop, config.discovery(), times, hosts, this::changed, host::membersFailed, new Random(config.seed()));
        host.connectList(this::refreshServers);
        peers = config.peers() == null ? null : new PeerSocket(loop, config.peers(), host::reported);
        if (peers != null) {
            host.connectPeers(
                    new PeerReports(settings, config.settings().names().zones().size(), config.seed()), peers::send);
        }
        drain.addListener((from, to) -> LOG.info("state {} -> {}", from, to));
        SharedBans bans = config.shared() == null ? null : new SharedBans(config.shared());
        operations = config.console() == null
                ? null
                : new ConsoleOperations(clock, drain, hosts, this::changed, fleet, bans);
        if (fleet != null) {
            fleet.setUpShadow(new ShadowCoordinator.RouterContext(
                    loop, clock, config.settings(), config.sockets(), host, pressure, drain));
        }
        console = config.console() == null ? null : new ConsoleListener(loop, config.console(), operations);
    }

    private static double longestDeadline(Api.Settings settings) {
        return settings.classes().stream()
                .mapToDouble(Api.RequestClass::deadline)
                .max()
                .orElseThrow();
    }

    /** Returns the default select strategy, extended to report each poll to the measurement of the loop delay. */
    private SelectStrategy selectStrategy() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            delay.onPoll(clock.now());
            return usual.calculateStrategy(selectNow, hasTasks);
        };
    }

    private void heartbeat() {
        double now = clock.now();
        delay.onHeartbeat(now);
        if (peers != null) {
            peers.readBatch();
        }
        if (pressure.update(now, delay.mean())) {
            LOG.atInfo()
                    .addKeyValue("state", pressure.state())
                    .addKeyValue("late_ms", Math.round(delay.mean() * 1e3))
                    .log("pressure");
            clients.setAcceptBatch(pressure.acceptBatch());
        }
    }

    /** Returns the event loop, for tests that stall it. */
    EventLoop loop() {
        return loop;
    }

    private int maxClientLinks() {
        return clientLinks(config.sockets(), listedServers(config.known()))
                - (fleet == null ? 0 : fleet.reservedDescriptors(config.sockets()));
    }

    /** Returns the maximum number of client links: the descriptors that neither the process nor server links need. */
    static int clientLinks(int sockets, int servers) {
        return Math.min(MAX_CLIENT_LINKS, sockets - OWN_DESCRIPTORS - serverLinks(sockets, servers));
    }

    /** Returns the descriptors for links to cache servers: at least one per listed server, up to a third of all. */
    static int serverLinks(int sockets, int servers) {
        int needed = (int) (LINKS_PER_SERVER * servers) + SPARE_LINKS;
        return Math.max((int) (SERVER_LINK_FRACTION * sockets) + SPARE_LINKS, Math.min(needed, (int)
                (MAX_SERVER_LINK_FRACTION * sockets)));
    }

    /** Returns the number of cache servers in the known list. */
    private static int listedServers(JsonElement known) {
        JsonElement instances = known instanceof JsonObject list ? list.get("instances") : null;
        return instances instanceof JsonArray all ? all.size() : DEFAULT_SERVERS;
    }

    /** Starts the router. The future completes once clients can be served. */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            if (console == null) {
                applyKnownList();
            } else {
                // The order matters: bans come before the first list, and the list before console commands that name a
                // server.
                operations.start(loop);
                applyKnownList();
                console.start();
            }
        });
        long from = System.nanoTime();
        WarmUp.run(loop, config.settings(), served -> {
            LOG.debug("warmed up in {} ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
            if (console == null) {
                serve();
            } else {
                SocketWarmUp.run(loop, config.console(), this::serve);
            }
        });
        return ready;
    }

    private void applyKnownList() {
        try {
            if (config.known() != null) {
                changed(hosts.apply(config.known()));
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("ignoring the known list of cache servers in the configuration: {}", e.getMessage());
        }
    }

    /**
     * Starts the watch of discovery after the warm-up. Clients are accepted only after the first call to discovery, so
     * that no request is routed by a known list that was already outdated when this process started.
     */
    private void serve() {
        if (fleet != null) {
            fleet.start(loop, hosts, config.settings().names().zones(), host -> changed(hosts.admit(host)));
        }
        watch.start(() -> {
            discoveryAsked = true;
            listenOnce();
        });
        if (peers != null) {
            peers.start();
        }
        long intervalUs = (long) (LoopDelay.HEARTBEAT_INTERVAL * 1e6);
        loop.scheduleWithFixedDelay(
                new GuardedTask("heartbeat", this::heartbeat), intervalUs, intervalUs, TimeUnit.MICROSECONDS);
    }

    /** After this process stalled: reads the bans of other processes, then refreshes the list and runs the callback. */
    private void refreshServers(Runnable callback) {
        if (operations != null) {
            new GuardedTask("read bans after a stall", operations::readBans).run();
        }
        watch.refresh(callback);
    }

    private void changed(HostGroup.Change change) {
        if (!change.complete() && change.hosts().isEmpty()) {
            // If the process was suspended before this was read, further changes may be pending.
            host.mustWaitForList(() -> {});
            return;
        }
        List<Api.Member> members = new ArrayList<>();
        for (HostGroup.Host h : change.hosts()) {
            members.add(h.member());
            if (h.member().state() == Api.MemberState.READY) {
                servers.ready(h.member().id(), h.address(), h.member().startedAt());
            }
        }
        // The module is updated first: requests that a retired server fails must not go to another server that is
        // leaving.
        host.members(change.complete(), members);
        if (fleet != null) {
            fleet.changed(change);
        }
        for (HostGroup.Host h : change.hosts()) {
            if (h.member().state() != Api.MemberState.READY) {
                servers.retire(h.member().id());
            }
        }
        change.left().forEach(h -> servers.retire(h.member().id()));
        listenOnce();
    }

    private void listenOnce() {
        if (!listening && discoveryAsked && hosts.generation() >= 0) {
            listening = true;
            listen();
        }
    }

    private void listen() {
        if (drain.state() == Drain.State.ENDING) {
            return;
        }
        ChannelFuture up;
        try {
            up = config.passed() ? clients.listen(group, passedSocket()) : clients.listen(group, config.listen());
        } catch (IOException e) {
            ready.completeExceptionally(e);
            return;
        } catch (ChannelException e) {
            LOG.warn("cannot open the listening socket, retrying: {}", e.getMessage());
            loop.schedule(this::listen, LISTEN_RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        up.addListener(done -> {
            if (done.isSuccess()) {
                drain.started();
                ready.complete(null);
            } else {
                ready.completeExceptionally(done.cause());
            }
        });
    }

    /** Returns the listening socket that is inherited as descriptor 0. */
    private static ServerSocketChannel passedSocket() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("GW_PASSED_SOCKET is set, but descriptor 0 is no listening socket");
    }

    /**
     * Applies a reloaded configuration: moves the watch to its discovery address. All other changes need a restart. May
     * be called while the router starts or drains.
     */
    void reload(Config fresh) {
        if (fleet != null) {
            // Reads files, so it must not run on the event loop.
            fleet.reload();
        }
        loop.execute(() -> {
            LOG.info("configuration reloaded: discovery at {}", fresh.discovery());
            if (!fresh.listen().equals(config.listen()) || !fresh.settings().equals(config.settings())) {
                LOG.warn(
                        "the new configuration changes more than the discovery address; the other changes need a restart");
            }
            if (fleet == null) {
                watch.moveTo(fresh.discovery());
            } else {
                moveWatch(fresh.discovery());
            }
        });
    }

    /** Moves the watch, or holds the move while the calendar forbids it; only the newest held move is made later. */
    private void moveWatch(InetSocketAddress to) {
        if (to.equals(configuredDiscovery)) {
            return;
        }
        configuredDiscovery = to;
        if (fleet.offer(new Change(Change.Kind.MOVE_DISCOVERY, "", ""), () -> watch.moveTo(to))) {
            watch.moveTo(to);
        } else {
            LOG.info("keeping the current discovery until the freeze calendar allows the move to {}", to);
        }
    }

    /**
     * Drains: serves for the grace period, then finishes the accepted requests. The future completes after the last
     * one.
     */
    CompletableFuture<Void> stop() {
        loop.execute(() -> {
            if (drain.state() != Drain.State.ENDING) {
                drain.end(clock.now(), config.passed());
                if (fleet != null) {
                    fleet.leave();
                }
                if (config.passed()) {
                    // Another process that shares the socket already serves, and accepts the connections in the
                    // backlog.
                    clients.stopAccepting();
                    stopPeers();
                }
                awaitLast();
            }
        });
        return stopped;
    }

    private void awaitLast() {
        if (drain.phase(clock.now()) == Drain.Phase.LAST) {
            awaitEnd();
        } else {
            loop.schedule(this::awaitLast, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void stopPeers() {
        if (peers != null) {
            peers.stop();
        }
    }

    private void awaitEnd() {
        if (clients.isOver() && host.unanswered() == 0) {
            watch.stop();
            stopPeers();
            if (fleet != null) {
                fleet.stop();
            }
            LOG.info("{}", countersLine());
            stopped.complete(null);
        } else {
            loop.schedule(this::awaitEnd, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns all counters, one per line, as the answer to {@code stats}. Runs on the event loop. */
    private String stats() {
        StringBuilder text = new StringBuilder();
        count((name, value) ->
                text.append("STAT ").append(name).append(' ').append(value).append("\r\n"));
        return text.append("END").toString();
    }

    private void count(java.util.function.ObjLongConsumer<String> to) {
        to.accept("pressure", pressure.state().ordinal());
        to.accept("heap_used_bytes", heapUsed());
        clients.count(to);
        host.count(to);
        servers.count(to);
        watch.count(to);
        if (peers != null) {
            peers.count(to);
        }
        if (fleet != null) {
            fleet.count(to);
        }
        if (console != null) {
            console.count(to);
            operations.count(to);
        }
    }

    private static long heapUsed() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns all counters in one line, read on the event loop. */
    CompletableFuture<String> counters() {
        CompletableFuture<String> line = new CompletableFuture<>();
        loop.execute(() -> line.complete(countersLine()));
        return line;
    }

    private String countersLine() {
        StringBuilder text = new StringBuilder("counters:");
        count((name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
