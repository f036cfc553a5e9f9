package stagepier.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;
import stagepier.exchange.Clock;
import stagepier.exchange.Exchange;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.ServerTransport;
import stagepier.link.Sockets;
import stagepier.logging.RateLimitedWarning;
import stagepier.memcache.LoadReportFormat;
import stagepier.memcache.MalformedException;
import stagepier.memcache.Protocol;
import stagepier.overload.LinkShare;
import stagepier.overload.LoopDelay;
import stagepier.overload.MemoryBudget;
import stagepier.tasks.GuardedTask;

/** The server side: a pool of links for each cache server of the list. */
public final class ServerPools implements ServerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(ServerPools.class);
    /** An answer of which nothing more comes for so long is spoilt; in parts of the shortest deadline. */
    private static final double STALL_MOST = 0.15;
    /** A silent link on which nobody waits any more is closed after so long. */
    static final double DEAD_AFTER = 5;
    /** A large value of which nothing more comes for so long is broken off; in seconds. */
    static final double FLOW_STALL_MOST = 5;
    /** Until so long after the time of its request it is waited for; from half a second on the client counts it as lost. */
    static final double FLOW_LATE_MOST = 0.4;
    /** From then on, in the longest rests that its server has made in it so far. */
    static final double FLOW_RESTS = 4;
    /** Bytes of values that flow which links may hold together, and what each may hold at the least and at the most. */
    private static final int FLOWS_MOST = 6 << 20;

    private static final int WINDOW_LEAST = 4 * 1024;
    private static final int WINDOW_MOST = 64 * 1024;
    /** Part of the time after which servers close idle links: closed here first, no request meets a close. */
    private static final double IDLE_PART = 0.8;

    private static final double WARN_EVERY = 10;
    /** Of the descriptors for links, how many are kept for those that are closed to make room: a closed one lingers. */
    private static final int TURNOVER = 8;
    /** Until then the event loop has looked for input, and only that gives the descriptor of a closed link back. */
    private static final int LINGERS_MS = 1;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double PROBE_TIMEOUT = 0.3;
    /** Bytes of large values that may be on their way from cache servers at a time. Guards the heap, which is small. */
    private static final long LARGE_VALUES_MOST = 8 << 20;

    static final byte[] PROBE = Protocol.line("mn");

    private final EventLoop loop;
    private final Clock clock;
    private final ModuleHost host;
    private final SendGuard sendGuard;
    private final LinkOpener opener;
    private final Future<?> sweeps;
    private final double idleMost;
    private final Map<Long, ServerPool> pools = new HashMap<>();
    private final int linksMost;
    private final int descriptors;
    private final int streams;
    /** Links closed so short ago that their descriptors may still be held. */
    private int closing;

    private final double shortestDeadline;
    private final RateLimitedWarning spoilt =
            new RateLimitedWarning(LOG, "a cache server's answer was spoilt", WARN_EVERY);
    private final LoopDelay delay;
    private long silenced;
    private int flows;
    private long flowsBegun;
    private long flowsBroken;
    private final MemoryBudget room = new MemoryBudget(LARGE_VALUES_MOST);
    private LoadReportFormat reports = new LoadReportFormat(List.of());

    /**
     * @param linksMost   links to all servers together from which on each server gets one at the most
     * @param descriptors that all links may hold together, whatever waits for one
     * @param streams     requests that a server has in work at a time for one connection
     */
    public ServerPools(
            EventLoop loop,
            Clock clock,
            LoopDelay delay,
            ModuleHost host,
            Connector connector,
            int linksMost,
            int descriptors,
            Api.Settings settings,
            double idleClose,
            int streams) {
        this.streams = Math.max(1, streams);
        this.linksMost = linksMost;
        this.descriptors = descriptors;
        shortestDeadline = settings.classes().stream()
                .mapToDouble(Api.RequestClass::deadline)
                .min()
                .orElseThrow();
        this.loop = loop;
        this.clock = clock;
        this.delay = delay;
        this.host = host;
        double connectTimeout = settings.limits().connectTimeout();
        opener = new LinkOpener(loop, clock, connector, connectTimeout > 0 ? connectTimeout : CONNECT_TIMEOUT_MS / 1e3);
        idleMost = idleClose > 0 ? idleClose * IDLE_PART : Double.POSITIVE_INFINITY;
        sendGuard = new SendGuard(host.invariants());
        sweeps = loop.scheduleWithFixedDelay(
                new GuardedTask("sweep of server links", this::sweep), 1, 1, TimeUnit.SECONDS);
    }

    double now() {
        return clock.now();
    }

    double stallMost() {
        return STALL_MOST * shortestDeadline;
    }

    double shortestDeadline() {
        return shortestDeadline;
    }

    void silenced() {
        silenced++;
    }

    LoopDelay delay() {
        return delay;
    }

    /** Names of the values in the load reports of cache servers. Before the first link is opened. */
    public void readReports(List<String> fields) {
        reports = new LoadReportFormat(fields);
    }

    LoadReportFormat reports() {
        return reports;
    }

    MemoryBudget room() {
        return room;
    }

    void flowBegins() {
        flows++;
        flowsBegun++;
    }

    void flowEnds(boolean whole) {
        flows--;
        flowsBroken += whole ? 0 : 1;
    }

    /** Bytes of a value that flows which a link may hold now: the more flow, the less each. Guards the heap. */
    int window() {
        return Math.max(WINDOW_LEAST, Math.min(WINDOW_MOST, FLOWS_MOST / Math.max(1, flows)));
    }

    EventLoop loop() {
        return loop;
    }

    ModuleHost host() {
        return host;
    }

    SendGuard sendGuard() {
        return sendGuard;
    }

    /** A server that may be sent to. */
    public void ready(long server, InetSocketAddress address, double startedAt) {
        pools.computeIfAbsent(server, id -> new ServerPool(this)).update(address, startedAt);
    }

    /** A server that drains or is gone. */
    public void retire(long server) {
        ServerPool pool = pools.get(server);
        if (pool != null) {
            pool.retire();
        }
    }

    @Override
    public Transmission send(Exchange exchange, int attempt, long server, double timeout) {
        return send(exchange, attempt, server, timeout, Double.POSITIVE_INFINITY);
    }

    @Override
    public Transmission send(Exchange exchange, int attempt, long server, double timeout, double latestStart) {
        Execution execution = new Execution(this, exchange, attempt, server, timeout, latestStart);
        start(execution, server);
        return execution;
    }

    @Override
    public void probe(long server) {
        start(new Execution(this, null, 0, server, PROBE_TIMEOUT, Double.POSITIVE_INFINITY), server);
    }

    private void start(Execution execution, long server) {
        ServerPool pool = pools.get(server);
        if (pool == null) {
            execution.end(Api.Outcome.CONNECT_FAILED);
            return;
        }
        execution.startTimer();
        pool.take(execution);
    }

    @Override
    public void closeIdle(long server) {
        ServerPool pool = pools.get(server);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    LinkOpener opener() {
        return opener;
    }

    /** The connector for sockets. */
    public static Connector sockets(EventLoop loop, double timeout) {
        int timeoutMs = timeout > 0 ? (int) Math.ceil(timeout * 1e3) : CONNECT_TIMEOUT_MS;
        return (setUp, address) -> new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.connecting())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(setUp)
                .connect(address);
    }

    /** Stops looking after links; for pools whose links have all ended. */
    public void close() {
        sweeps.cancel(false);
    }

    private void sweep() {
        double now = now();
        pools.values().forEach(pool -> pool.sweep(now));
        pools.values().removeIf(pool -> pool.isRetired() && pool.size() == 0);
    }

    private int links() {
        return pools.values().stream().mapToInt(ServerPool::size).sum();
    }

    /** Links a server while all have an answer to give; more where descriptors allow, for a slow answer holds up all behind it. */
    int linksUsual() {
        return LinkShare.usual(linksMost, pools.size());
    }

    /** The same with silent ones. */
    int linksMost() {
        return LinkShare.most(linksMost, pools.size());
    }

    /** Requests that may be out on one link. */
    int streams() {
        return streams;
    }

    /** Seconds of rest from which on a link may not be used again. */
    double idleMost() {
        return idleMost;
    }

    /** A link has ended. */
    void closed() {
        closing++;
        loop.schedule(() -> closing--, LINGERS_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether there is a descriptor for one more link; the idle link that was heard longest ago gives up its own. Guards
     * against a list longer than the descriptors reach: without one, discovery and clients can't connect either.
     */
    boolean makesRoom() {
        if (links() + closing >= descriptors) {
            return false;
        }
        if (links() < descriptors - TURNOVER) {
            return true;
        }
        Optional<ServerLink> oldest =
                pools.values().stream().flatMap(ServerPool::idle).min(Comparator.comparingDouble(ServerLink::heardAt));
        oldest.ifPresent(ServerLink::drop);
        return oldest.isPresent();
    }

    /** Whether there are descriptors for more than one link a server. */
    boolean hasSpare() {
        return links() < linksMost;
    }

    void malformed(MalformedException e) {
        spoilt.warn(now(), e.getMessage());
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("server_links", links());
        to.accept("server_links_opened", opener.opened());
        to.accept("server_links_failed", opener.failed());
        to.accept("server_input_malformed", spoilt.count());
        to.accept("server_reports", reports.received());
        to.accept("server_reports_malformed", reports.malformed());
        to.accept("server_links_silent", silenced);
        to.accept("server_large_values_waited", room.waits());
        to.accept("server_flows", flows);
        to.accept("server_flows_begun", flowsBegun);
        to.accept("server_flows_broken", flowsBroken);
    }
}
