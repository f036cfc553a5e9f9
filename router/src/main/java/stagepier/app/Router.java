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

/** One running router: puts the parts together on one event loop, starts them and stops them. */
final class Router {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final int POLL_MS = 10;
    private static final int LISTEN_AGAIN_MS = 50;
    /** Files, selectors, the listening socket, discovery, and sockets that are accepted just before the listener is full. */
    static final int OWN_DESCRIPTORS = 48;

    private static final double SERVER_PART = 0.12;
    /** The most that links to cache servers may take. */
    private static final double SERVER_PART_MOST = 1 / 3.0;
    /** Links for each server that is known at the start, and beyond: a list may grow, and closed links linger. */
    private static final double LINKS_A_SERVER = 1.25;

    private static final int MORE_LINKS = 8;
    /** Servers that are provided for where no list is known. */
    private static final int LISTED_MOST = 200;
    /** Client links for which the heap has room while they hold little; what they hold beyond that has its own bound. */
    private static final int PLACES_MOST = 1024;

    private final Config config;
    private final Clock clock = new Clock();
    private final LoopDelay delay;
    private final Pressure pressure = new Pressure();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, WholeMillisecondWaits.ofSockets(this::looking));
    private final EventLoop loop = group.next();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final HostGroup hosts;
    private final ModuleHost host;
    private final ServerPools servers;
    private final ClientListener clients;
    private final DiscoveryWatch watch;
    /** Null where routers don't tell each other anything. */
    private final PeerSocket peers;

    private final Drain drain;
    /** Null where no console is named. */
    private final ConsoleListener console;
    /** Null where no console is named. */
    private final ConsoleOperations staff;
    /** Null where this router decides nothing together with others. */
    private final FleetCoordinator fleet;
    /** Where the configuration wants discovery to be; the watch is there unless that is held. */
    private InetSocketAddress wanted;
    /** Discovery was asked what there is now, and has said so or not. */
    private boolean asked;

    private boolean listening;

    Router(Config config) throws Config.InvalidConfigException {
        this.config = config;
        wanted = config.discovery();
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
                (int) (SERVER_PART * config.sockets()),
                serverLinks(config.sockets(), listed(config.known())),
                settings,
                config.settings().idleClose(),
                config.settings().streams());
        servers.readReports(config.settings().answerReport());
        host.connect(new RoutingPolicy(settings, config.seed(), host), servers);
        clients = new ClientListener(loop, clock, delay, clientPlaces(), host, this::stats, drain);
        WatchTimes times =
                settings.listOnRequest() ? WatchTimes.ofSharedService(drainGrace) : WatchTimes.ofAgent(drainGrace);
        watch = new DiscoveryWatch(
                loop, config.discovery(), times, hosts, this::changed, host::membersFailed, new Random(config.seed()));
        host.connectList(watch::refresh);
        peers = config.peers() == null ? null : new PeerSocket(loop, config.peers(), host::reported);
        if (peers != null) {
            host.connectPeers(
                    new PeerReports(settings, config.settings().names().zones().size(), config.seed()), peers::send);
        }
        drain.addListener((from, to) -> LOG.info("state {} -> {}", from, to));
        staff = config.console() == null ? null : new ConsoleOperations(clock, drain, hosts, this::changed, fleet);
        if (fleet != null) {
            fleet.tryCandidate(
                    new ShadowCoordinator.Own(loop, clock, config.settings(), config.sockets(), host, pressure, drain));
        }
        console = config.console() == null ? null : new ConsoleListener(loop, config.console(), staff);
    }

    private static double longestDeadline(Api.Settings settings) {
        return settings.classes().stream()
                .mapToDouble(Api.RequestClass::deadline)
                .max()
                .orElseThrow();
    }

    /** The usual way to look for input, which tells when it does. */
    private SelectStrategy looking() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            delay.onPoll(clock.now());
            return usual.calculateStrategy(selectNow, hasTasks);
        };
    }

    private void beat() {
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

    /** For tests that bring the loop into trouble. */
    EventLoop loop() {
        return loop;
    }

    private int clientPlaces() {
        return places(config.sockets(), listed(config.known()))
                - (fleet == null ? 0 : fleet.descriptors(config.sockets()));
    }

    /** Descriptors for clients: what is left when the program's own and those for cache servers are set aside. */
    static int places(int sockets, int servers) {
        return Math.min(PLACES_MOST, sockets - OWN_DESCRIPTORS - serverLinks(sockets, servers));
    }

    /** Descriptors for links to cache servers: one to each of the list, while that leaves clients most of them. */
    static int serverLinks(int sockets, int servers) {
        int needed = (int) (LINKS_A_SERVER * servers) + MORE_LINKS;
        return Math.max(
                (int) (SERVER_PART * sockets) + MORE_LINKS, Math.min(needed, (int) (SERVER_PART_MOST * sockets)));
    }

    /** How many cache servers a known list names. */
    private static int listed(JsonElement known) {
        JsonElement instances = known instanceof JsonObject list ? list.get("instances") : null;
        return instances instanceof JsonArray all ? all.size() : LISTED_MOST;
    }

    /** Completes once clients can be served. */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            if (console == null) {
                takeUpKnownList();
            } else {
                // In this order: bans before the first list, and that list before a call that names one of its servers.
                staff.start(loop);
                takeUpKnownList();
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

    private void takeUpKnownList() {
        try {
            if (config.known() != null) {
                changed(hosts.apply(config.known()));
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("the known list is of no use: {}", e.getMessage());
        }
    }

    /**
     * All is warm: goes on from the list as it was known last with the one that is. Guards against requests that
     * are decided by a known list which was old when this process began: clients come once discovery was asked.
     */
    private void serve() {
        if (fleet != null) {
            fleet.start(loop, hosts, config.settings().names().zones(), host -> changed(hosts.admit(host)));
        }
        watch.start(() -> {
            asked = true;
            listenOnce();
        });
        if (peers != null) {
            peers.start();
        }
        long beat = (long) (LoopDelay.HEARTBEAT_INTERVAL * 1e6);
        loop.scheduleWithFixedDelay(new GuardedTask("heartbeat", this::beat), beat, beat, TimeUnit.MICROSECONDS);
    }

    private void changed(HostGroup.Change change) {
        if (!change.complete() && change.hosts().isEmpty()) {
            // If the process stood still before this was read, there may be more to be told.
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
        // The module first: what a retired server ends must not be sent to another that is on its way out.
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
        if (!listening && asked && hosts.generation() >= 0) {
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
            up = config.passed() ? clients.listen(group, passed()) : clients.listen(group, config.listen());
        } catch (IOException e) {
            ready.completeExceptionally(e);
            return;
        } catch (ChannelException e) {
            LOG.warn("no socket to listen on yet: {}", e.getMessage());
            loop.schedule(this::listen, LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
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

    /** The listening socket that is descriptor 0. */
    private static ServerSocketChannel passed() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("GW_PASSED_SOCKET is set, but descriptor 0 is no listening socket");
    }

    /**
     * Takes over a configuration that was read again: the watch moves to its discovery. All else that it says holds
     * from the next start on. Harmless while the router starts or drains.
     */
    void reload(Config fresh) {
        if (fleet != null) {
            // Reads files: not on the event loop.
            fleet.reload();
        }
        loop.execute(() -> {
            LOG.info("configuration read again: discovery at {}", fresh.discovery());
            if (!fresh.listen().equals(config.listen()) || !fresh.settings().equals(config.settings())) {
                LOG.warn("the new configuration differs in more than discovery: that needs a restart");
            }
            if (fleet == null) {
                watch.moveTo(fresh.discovery());
            } else {
                move(fresh.discovery());
            }
        });
    }

    /** Moves the watch, unless the calendar holds that; held moves are made later, the newest only. */
    private void move(InetSocketAddress to) {
        if (to.equals(wanted)) {
            return;
        }
        wanted = to;
        if (fleet.offer(new Change(Change.Kind.MOVE_DISCOVERY, "", ""), () -> watch.moveTo(to))) {
            watch.moveTo(to);
        } else {
            LOG.info("discovery stays as it was until the calendar allows the move to {}", to);
        }
    }

    /** Goes on serving for a while, then finishes all that was taken. Completes when that is done. */
    CompletableFuture<Void> stop() {
        loop.execute(() -> {
            if (drain.state() != Drain.State.ENDING) {
                drain.end(clock.now(), config.passed());
                if (fleet != null) {
                    fleet.leave();
                }
                if (config.passed()) {
                    // Whoever has the socket as well serves already: the backlog is left to it.
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

    /** All counters, a line each, as {@code stats} answers them. On the event loop. */
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
            staff.count(to);
        }
    }

    private static long heapUsed() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** All counters in one line, taken on the event loop. */
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
