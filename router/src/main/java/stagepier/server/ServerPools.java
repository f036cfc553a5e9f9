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
    /**
     * An incomplete answer of which no byte arrives for this long is malformed; as a fraction of the shortest deadline.
     */
    private static final double STALL_FRACTION = 0.15;
    /** In seconds. Lower limit of that time: a server that stands still for a moment goes on after up to 0.2 s. */
    private static final double STALL_MIN = 0.25;
    /** In seconds. A silent link without pending executions is closed after this time. */
    static final double SILENT_CLOSE_AFTER = 5;
    /** In seconds. The transfer of a large value is aborted if no byte of it arrives for this long. */
    static final double FLOW_STALL_MAX = 5;
    /** Bytes that all links together may buffer of values in transfer, and the limits for each link. */
    private static final int FLOW_BYTES_MAX = 6 << 20;

    private static final int WINDOW_MIN = 4 * 1024;
    private static final int WINDOW_MAX = 64 * 1024;
    /**
     * Fraction of the servers' idle timeout after which the router closes an idle link first, so that no request meets
     * a close by the server.
     */
    private static final double IDLE_FRACTION = 0.8;

    private static final double WARN_INTERVAL = 10;
    /** Number of link descriptors kept in reserve for closed links, which hold their descriptor for a moment. */
    private static final int CLOSING_RESERVE = 8;
    /** Time until the event loop has polled again; only then is the descriptor of a closed link released. */
    private static final int DESCRIPTOR_RELEASE_MS = 1;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double PROBE_TIMEOUT = 0.3;
    /**
     * Bytes of large values that may be collected from cache servers at a time. Limits the use of the heap, which is
     * small.
     */
    private static final long LARGE_VALUE_BYTES_MAX = 8 << 20;

    static final byte[] PROBE = Protocol.line("mn");

    private final EventLoop loop;
    private final Clock clock;
    private final ModuleHost host;
    private final SendGuard sendGuard;
    private final LinkOpener opener;
    private final Future<?> sweepTask;
    private final double maxIdle;
    private final Map<Long, ServerPool> pools = new HashMap<>();
    private final int linkThreshold;
    private final int descriptors;
    private final int streams;
    /** Number of links closed so recently that their descriptors may still be held. */
    private int closingLinks;

    private final double shortestDeadline;
    private final RateLimitedWarning malformedAnswers =
            new RateLimitedWarning(LOG, "closed a connection to a cache server after malformed input", WARN_INTERVAL);
    private final LoopDelay delay;
    private long silentLinksClosed;
    private int activeFlows;
    private long flowsStarted;
    private long flowsFailed;
    private final MemoryBudget valueMemory = new MemoryBudget(LARGE_VALUE_BYTES_MAX);
    private LoadReportFormat reports = new LoadReportFormat(List.of());

    /**
     * @param linkThreshold number of links to all servers together from which on each server gets one at most
     * @param descriptors limit of descriptors for all links together
     * @param streams requests that a server processes at a time for one connection
     */
    public ServerPools(
            EventLoop loop,
            Clock clock,
            LoopDelay delay,
            ModuleHost host,
            Connector connector,
            int linkThreshold,
            int descriptors,
            Api.Settings settings,
            double idleClose,
            int streams) {
        this.streams = Math.max(1, streams);
        this.linkThreshold = linkThreshold;
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
        maxIdle = idleClose > 0 ? idleClose * IDLE_FRACTION : Double.POSITIVE_INFINITY;
        sendGuard = new SendGuard(host.invariants());
        sweepTask = loop.scheduleWithFixedDelay(
                new GuardedTask("sweep of server links", this::sweep), 1, 1, TimeUnit.SECONDS);
    }

    double now() {
        return clock.now();
    }

    double stallTimeout() {
        return Math.max(STALL_MIN, STALL_FRACTION * shortestDeadline);
    }

    double shortestDeadline() {
        return shortestDeadline;
    }

    void onSilentLinkClosed() {
        silentLinksClosed++;
    }

    LoopDelay delay() {
        return delay;
    }

    /** Sets the field names of the cache servers' load reports. Must be called before the first link is opened. */
    public void readReports(List<String> fields) {
        reports = new LoadReportFormat(fields);
    }

    LoadReportFormat reports() {
        return reports;
    }

    MemoryBudget valueMemory() {
        return valueMemory;
    }

    void onFlowStarted() {
        activeFlows++;
        flowsStarted++;
    }

    void onFlowEnded(boolean complete) {
        activeFlows--;
        flowsFailed += complete ? 0 : 1;
    }

    /**
     * Bytes of a value in transfer that a link may buffer now. The limit shrinks with the number of transfers, so that
     * their sum does not exhaust the heap.
     */
    int window() {
        return Math.max(WINDOW_MIN, Math.min(WINDOW_MAX, FLOW_BYTES_MAX / Math.max(1, activeFlows)));
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

    /** Adds or updates a server to which requests may be sent. */
    public void ready(long server, InetSocketAddress address, double startedAt) {
        pools.computeIfAbsent(server, id -> new ServerPool(this)).update(address, startedAt);
    }

    /** Stops sending to a server that drains or is removed. */
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
        pool.dispatch(execution);
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

    /** Returns the connector for TCP sockets. */
    public static Connector sockets(EventLoop loop, double timeout) {
        int timeoutMs = timeout > 0 ? (int) Math.ceil(timeout * 1e3) : CONNECT_TIMEOUT_MS;
        return (initializer, address) -> new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.connecting())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(initializer)
                .connect(address);
    }

    /** Stops the periodic sweep; for pools whose links have all ended. */
    public void close() {
        sweepTask.cancel(false);
    }

    private void sweep() {
        double now = now();
        pools.values().forEach(pool -> pool.sweep(now));
        pools.values().removeIf(pool -> pool.isRetired() && pool.size() == 0);
    }

    private int links() {
        return pools.values().stream().mapToInt(ServerPool::size).sum();
    }

    /**
     * Links per server while none of them is silent. Allows more than one where descriptors permit, since a slow answer
     * delays all answers behind it.
     */
    int usualLinks() {
        return LinkShare.usual(linkThreshold, pools.size());
    }

    /** Links per server at most, including silent ones. */
    int maxLinks() {
        return LinkShare.max(linkThreshold, pools.size());
    }

    /** Maximum number of requests in flight on one link. */
    int streams() {
        return streams;
    }

    /** Seconds of idle time after which a link must not be used again. */
    double maxIdle() {
        return maxIdle;
    }

    /** Notes that a link has ended. */
    void onClosed() {
        closingLinks++;
        loop.schedule(() -> closingLinks--, DESCRIPTOR_RELEASE_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether a descriptor is available for one more link, closing the link that has been idle longest if
     * necessary. With a server list longer than the number of descriptors, the links would otherwise use up the
     * descriptors that discovery and clients need to connect.
     */
    boolean makeRoom() {
        if (links() + closingLinks >= descriptors) {
            return false;
        }
        if (links() < descriptors - CLOSING_RESERVE) {
            return true;
        }
        Optional<ServerLink> oldest = pools.values().stream()
                .flatMap(ServerPool::idleLinks)
                .min(Comparator.comparingDouble(ServerLink::lastAnswerAt));
        oldest.ifPresent(ServerLink::drop);
        return oldest.isPresent();
    }

    /** Whether descriptors allow more than one link per server. */
    boolean hasSpareDescriptors() {
        return links() < linkThreshold;
    }

    void onMalformed(MalformedException e) {
        malformedAnswers.warn(now(), e.getMessage());
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("server_links", links());
        to.accept("server_links_opened", opener.opened());
        to.accept("server_links_failed", opener.failed());
        to.accept("server_input_malformed", malformedAnswers.count());
        to.accept("server_reports", reports.received());
        to.accept("server_reports_malformed", reports.malformed());
        to.accept("server_links_silent", silentLinksClosed);
        to.accept("server_large_values_waited", valueMemory.waits());
        to.accept("server_flows", activeFlows);
        to.accept("server_flows_begun", flowsStarted);
        to.accept("server_flows_broken", flowsFailed);
    }
}
