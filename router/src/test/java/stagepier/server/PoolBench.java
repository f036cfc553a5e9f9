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

/** The pools of a router on a real event loop, with a module that does what a test says and a clock that a test moves on. */
final class PoolBench implements Closeable {
    static final int WAIT_MS = 5000;
    /** Seconds after which a cache server closes an idle connection. */
    static final double IDLE = 60;
    /** Seconds for which repeats of class p are dropped. */
    static final double WINDOW = 0.5;

    private static final String SETTINGS = """
            {"Classes":[{"Name":"p","Deadline":5,"GoalTime":1,"Repeat":"deduplicated","Group":"all","DedupWindow":0.5,
            "Worth":1}],"Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":2,
            "IdleClose":60},"Obligations":{"DrainGrace":1}}""";

    /** How an attempt ended, and the load report that came with its answer. */
    record End(long request, int attempt, Api.Outcome outcome, List<Float> report) {}

    /** A cache server on loopback; the test is its mind. */
    static final class Cache implements Closeable {
        private final ServerSocket listening = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

        Cache() throws IOException {
            listening.setSoTimeout(WAIT_MS);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort());
        }

        Conversation accept() throws IOException {
            return new Conversation(listening.accept());
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    /** One connection, seen from the cache server. */
    static final class Conversation {
        final Socket socket;
        private final BufferedReader in;

        Conversation(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(WAIT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }

        /** The id of the next request, or null where the router has closed the connection. */
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
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final HoldableConnector connector;
    private Runnable goOn;
    /** What happens in the middle of the module's next decision. */
    private Runnable beforeSend = () -> {};

    private long server;
    private double startWithin = Double.POSITIVE_INFINITY;

    /** One on sockets. */
    PoolBench(int linksMost, int descriptors) {
        this(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next(), null, linksMost, descriptors);
    }

    /** @param other brings up connections; null for one to sockets */
    PoolBench(EventLoop loop, Connector other, int linksMost, int descriptors) {
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
                linksMost,
                descriptors,
                settings.settings(),
                IDLE,
                settings.streams());
        host.connect(new Module(), pools);
    }

    /** Connections come up no sooner than they are let. */
    void holdConnections() {
        connector.hold();
    }

    void letConnections() {
        connector.release();
    }

    /** The process stands still now; the list, asked for anew when that is seen, comes when the test says so. On the event loop. */
    void standStill() {
        delay.onPoll(clock.now());
        pass(0.6);
        host.connectList(then -> {
            goOn = then;
            host.connectList(Runnable::run);
        });
    }

    /** Until the event loop has looked for input, and whatever is due then is done. */
    void turn() throws Exception {
        loop.schedule(() -> {}, 2, TimeUnit.MILLISECONDS).get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void awaitListAsked() throws Exception {
        for (long end = System.nanoTime() + WAIT_MS * 1_000_000L; on(() -> goOn == null); Thread.onSpinWait()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("nobody asked for the list");
            }
        }
    }

    void beforeSend(Runnable what) {
        beforeSend = what;
    }

    /** The list has come. On the event loop. */
    Runnable listCame() {
        goOn.run();
        return goOn;
    }

    <T> T on(Callable<T> work) throws Exception {
        return loop.submit(work).get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void pass(double seconds) {
        clock.pass(seconds);
    }

    void ready(long id, InetSocketAddress address) throws Exception {
        on(() -> {
            pools.ready(id, address, 0);
            return null;
        });
    }

    /** A write for that cache server. On the event loop. */
    Exchange ask(String id, long to, double within) {
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

    Exchange ask(String id) throws Exception {
        return on(() -> ask(id, 1, Double.POSITIVE_INFINITY));
    }

    Api.Outcome nextOutcome() throws InterruptedException {
        return nextEnd().outcome();
    }

    End nextEnd() throws InterruptedException {
        End end = ends.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        if (end == null) {
            throw new AssertionError("no attempt ended");
        }
        return end;
    }

    /** All that ended since this was asked last. */
    List<End> ended() {
        List<End> all = new ArrayList<>();
        ends.drainTo(all);
        return all;
    }

    /** Outcomes that nobody has taken. */
    int endsLeft() {
        return ends.size();
    }

    long counter(String name) throws Exception {
        return on(() -> {
            AtomicLong found = new AtomicLong(-1);
            pools.count((key, value) -> found.set(key.equals(name) ? value : found.get()));
            return found.get();
        });
    }

    /** Asks once on a link of its own and sees it answered: the link rests from then on. */
    Conversation rested(Cache cache, String id) throws Exception {
        ask(id);
        Conversation c = cache.accept();
        c.answer(c.nextId());
        if (nextOutcome() != Api.Outcome.OK) {
            throw new AssertionError("not answered");
        }
        pass(0.01);
        return c;
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Sends each request once to the server that the test named, and gives up after that. */
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
            ends.add(new End(request, attempt, outcome, values));
            if (!finished) {
                host.fail(request);
            }
        }
    }
}
