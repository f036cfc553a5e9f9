package stagepier.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import stagepier.Api;
import stagepier.exchange.Exchange;
import stagepier.exchange.ManualClock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.memcache.CommandParser;
import stagepier.memcache.RingBuffer;
import stagepier.overload.LoopDelay;
import stagepier.settings.SettingsParser;

/** The pools of a router on a real event loop, with a module controlled by the test and a manual clock. */
final class PoolFixture implements Closeable {
    static final int WAIT_MS = 5000;
    /** Seconds after which a cache server closes an idle connection. */
    static final double IDLE = 60;
    /** Seconds for which cache servers drop duplicates of requests of class p. */
    static final double WINDOW = 0.5;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"p","Deadline":5,"GoalTime":1,"Repeat":"deduplicated","Group":"all","DedupWindow":0.5,
            "Worth":1}],"Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,
            "IdleClose":60},"Obligations":{"DrainGrace":1}}""";

    /** How an attempt ended, and the load report that came with its answer. */
    record AttemptEnd(long request, int attempt, Api.Outcome outcome, List<Float> report) {}

    /** A cache server on loopback that is operated by the test. */
    static final class Cache implements Closeable {
        private final ServerSocket listening = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

        Cache() throws IOException {
            listening.setSoTimeout(WAIT_MS);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort());
        }

        CacheConnection accept() throws IOException {
            return new CacheConnection(listening.accept());
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    /** The cache server's side of one connection. */
    static final class CacheConnection {
        final Socket socket;
        private final BufferedReader in;

        CacheConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(WAIT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }

        /** The id of the next request, or null if the router has closed the connection. */
        String nextId() throws IOException {
            String line = in.readLine();
            if (line != null && line.startsWith("ms ")) {
                in.readLine();
            }
            return line == null ? null : line.replaceAll(".* O([^ ]*).*", "$1");
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void answer(String id) throws IOException {
            write("HD O" + id + "\r\n");
        }
    }

    final EventLoop loop;
    final ManualClock clock = new ManualClock();
    final LoopDelay delay = new LoopDelay();
    final ModuleHost host;
    final ServerPools pools;
    private final BlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
    private final HoldableConnector connector;
    private Runnable listContinuation;
    /** Runs during the next decision of the module. */
    private Runnable beforeSend = () -> {};

    private long server;
    private double startWithin = Double.POSITIVE_INFINITY;

    /** Creates one with real sockets. */
    PoolFixture(int linkThreshold, int descriptors) {
        this(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next(), null, linkThreshold, descriptors);
    }

    /** @param other opens the connections; null for real sockets */
    PoolFixture(EventLoop loop, Connector other, int linkThreshold, int descriptors) {
        this.loop = loop;
        SettingsParser.Parsed settings = SettingsParser.parse(SETTINGS);
        host = new ModuleHost(loop, clock, delay, settings);
        connector = new HoldableConnector(loop, 0);
        pools = new ServerPools(
                loop,
                clock,
                delay,
                host,
                other == null ? connector : other,
                linkThreshold,
                descriptors,
                settings.settings(),
                IDLE,
                settings.streams());
        host.connect(new Module(), pools);
    }

    /** Holds new connections until they are released. */
    void holdConnections() {
        connector.hold();
    }

    void releaseConnections() {
        connector.release();
    }

    /**
     * Simulates a process that stands still now. The server list, which is requested again when the stall is detected,
     * arrives when the test calls {@link #deliverList}. On the event loop.
     */
    void simulateStall() {
        delay.onPoll(clock.now());
        advance(0.6);
        host.connectList(then -> {
            listContinuation = then;
            host.connectList(Runnable::run);
        });
    }

    /** Waits until the event loop has polled for input and run the tasks that were due then. */
    void awaitPoll() throws Exception {
        loop.schedule(() -> {}, 2, TimeUnit.MILLISECONDS).get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void awaitListRequested() throws Exception {
        for (long end = System.nanoTime() + WAIT_MS * 1_000_000L;
                onLoop(() -> listContinuation == null);
                Thread.onSpinWait()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the server list was not requested");
            }
        }
    }

    void beforeSend(Runnable what) {
        beforeSend = what;
    }

    /** Delivers the server list. On the event loop. */
    Runnable deliverList() {
        listContinuation.run();
        return listContinuation;
    }

    <T> T onLoop(Callable<T> work) throws Exception {
        return loop.submit(work).get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void advance(double seconds) {
        clock.pass(seconds);
    }

    void ready(long id, InetSocketAddress address) throws Exception {
        onLoop(() -> {
            pools.ready(id, address, 0);
            return null;
        });
    }

    /** Submits a write for that cache server. On the event loop. */
    Exchange submit(String id, long to, double within) {
        server = to;
        startWithin = within;
        try {
            RingBuffer ring = new RingBuffer();
            ring.put(("ms k 1 O" + id + " Pc=p,d=5000\r\nx\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return host.take((x, reply) -> {}, CommandParser.next(ring), Double.POSITIVE_INFINITY);
        } catch (stagepier.memcache.MalformedException e) {
            throw new AssertionError(e);
        }
    }

    Exchange submit(String id) throws Exception {
        return onLoop(() -> submit(id, 1, Double.POSITIVE_INFINITY));
    }

    Api.Outcome nextOutcome() throws InterruptedException {
        return nextEnd().outcome();
    }

    AttemptEnd nextEnd() throws InterruptedException {
        AttemptEnd end = ends.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        if (end == null) {
            throw new AssertionError("no attempt ended in time");
        }
        return end;
    }

    /** All attempts that ended since the last call. */
    List<AttemptEnd> takeEnds() {
        List<AttemptEnd> all = new ArrayList<>();
        ends.drainTo(all);
        return all;
    }

    /** Number of outcomes not taken yet. */
    int pendingEnds() {
        return ends.size();
    }

    long counter(String name) throws Exception {
        return onLoop(() -> {
            AtomicLong found = new AtomicLong(-1);
            pools.count((key, value) -> found.set(key.equals(name) ? value : found.get()));
            return found.get();
        });
    }

    /** Sends one request on a new link and answers it, so that the link is idle afterwards. */
    CacheConnection idleConnection(Cache cache, String id) throws Exception {
        submit(id);
        CacheConnection c = cache.accept();
        c.answer(c.nextId());
        if (nextOutcome() != Api.Outcome.OK) {
            throw new AssertionError("request was not answered");
        }
        advance(0.01);
        return c;
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Sends each request once, to the server chosen by the test, and fails the request if that attempt does. */
    private final class Module extends NoOpEvents {
        @Override
        public void onRequest(double now, Api.Request request) {
            beforeSend.run();
            beforeSend = () -> {};
            host.send(request.id(), server, 0, startWithin);
        }

        @Override
        public void onOutcome(
                double now,
                long request,
                int attempt,
                long on,
                Api.Outcome outcome,
                double elapsed,
                boolean finished,
                Api.Lookup lookup,
                float[] report) {
            List<Float> values = new ArrayList<>();
            for (float value : report) {
                values.add(value);
            }
            ends.add(new AttemptEnd(request, attempt, outcome, values));
            if (!finished) {
                host.fail(request);
            }
        }
    }
}
