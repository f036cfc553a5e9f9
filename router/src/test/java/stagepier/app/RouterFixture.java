package stagepier.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import stagepier.Api;
import stagepier.client.ClientListener;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.exchange.NoOpEvents;
import stagepier.overload.LoopDelay;
import stagepier.server.HoldableConnector;
import stagepier.server.ServerPools;
import stagepier.settings.SettingsParser;

/**
 * The components of a router on sockets of one event loop, with a routing module and server links that a test controls,
 * so that the test can enforce an order of events.
 */
final class RouterFixture implements Closeable {
    static final long SERVER = 1;
    private static final String SETTINGS = """
            {"Classes":[{"Name":"read","Deadline":4,"GoalTime":2,"Repeat":"idempotent","Worth":1},
            {"Name":"put","Deadline":4,"GoalTime":2,"Repeat":"deduplicated","Group":"all","DedupWindow":9,"Worth":1}],
            "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":3,
            "IdleClose":60,"MayDuplicate":true,"StreamsPerConn":%d},"Obligations":{"DrainGrace":1}}""";

    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final Clock clock = new Clock();
    final LoopDelay delay = new LoopDelay();
    final ServerSocket cache;
    final ModuleHost host;
    final ServerPools servers;
    /** Requests that the module received, in order. */
    final List<Long> asked = new ArrayList<>();
    /** Action of the module when it receives a list of servers. */
    Runnable onList = () -> {};

    private final ClientListener clients;
    private final HoldableConnector connector;
    private final int port;

    /**
     * @param held        whether server links are established only when a test allows it
     * @param bufferBytes buffer size of the sockets to the cache server; 0 for the default
     */
    RouterFixture(boolean held, int bufferBytes) throws Exception {
        this(held, bufferBytes, 100);
    }

    /** @param streams concurrent requests of one connection that the cache server accepts */
    RouterFixture(boolean held, int bufferBytes, int streams) throws Exception {
        cache = new ServerSocket();
        if (bufferBytes > 0) {
            cache.setReceiveBufferSize(bufferBytes);
        }
        cache.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        cache.setSoTimeout(RouterProcess.WAIT_MS);
        SettingsParser.Parsed parsed = SettingsParser.parse(SETTINGS.formatted(streams));
        host = new ModuleHost(loop, clock, delay, parsed);
        connector = new HoldableConnector(loop, bufferBytes);
        if (held) {
            connector.hold();
        }
        servers = new ServerPools(
                loop,
                clock,
                delay,
                host,
                connector,
                0,
                Integer.MAX_VALUE,
                parsed.settings(),
                parsed.idleClose(),
                parsed.streams());
        host.connect(new Module(), servers);
        clients = new ClientListener(loop, clock, delay, 300, host, () -> "END", DrainStates.serving());
        onLoop(() -> {
            servers.ready(SERVER, new InetSocketAddress(InetAddress.getLoopbackAddress(), cache.getLocalPort()), 0);
            return null;
        });
        port = ((InetSocketAddress) clients.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    /** Sends each request once to the only server and fails it if the execution fails. */
    private final class Module extends NoOpEvents {
        @Override
        public void onRequest(double now, Api.Request r) {
            asked.add(r.id());
            host.send(r.id(), SERVER, 0);
        }

        @Override
        public void onOutcome(
                double now,
                long request,
                int attempt,
                long server,
                Api.Outcome outcome,
                double elapsed,
                boolean finished,
                Api.Lookup lookup,
                float[] report) {
            if (!finished) {
                host.fail(request);
            }
        }

        @Override
        public void onMembers(double now, boolean complete, List<Api.Member> members) {
            onList.run();
        }
    }

    <T> T onLoop(Callable<T> work) throws Exception {
        return loop.submit(work).get(RouterProcess.WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns a counter of the host. */
    long count(String name) throws Exception {
        long[] found = {-1};
        onLoop(() -> {
            host.count((n, value) -> found[0] = n.equals(name) ? value : found[0]);
            return null;
        });
        return found[0];
    }

    void awaitCount(String name, long value) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RouterProcess.WAIT_MS);
        while (count(name) != value) {
            assertInTime(until, name + " is " + count(name) + ", not " + value);
            Thread.sleep(2);
        }
    }

    void awaitServerLinks(long links) throws Exception {
        long[] found = {-1};
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RouterProcess.WAIT_MS);
        while (found[0] != links) {
            assertInTime(until, "server_links is " + found[0]);
            onLoop(() -> {
                servers.count((n, value) -> found[0] = n.equals("server_links") ? value : found[0]);
                return null;
            });
            Thread.sleep(2);
        }
    }

    /** Returns the number of connections of clients. */
    long clientLinks() throws Exception {
        long[] found = {-1};
        onLoop(() -> {
            clients.count((n, value) -> found[0] = n.equals("client_links") ? value : found[0]);
            return null;
        });
        return found[0];
    }

    void awaitClientLinks(long links) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RouterProcess.WAIT_MS);
        while (clientLinks() != links) {
            assertInTime(until, "client_links is " + clientLinks());
            Thread.sleep(2);
        }
    }

    private static void assertInTime(long until, String state) {
        if (System.nanoTime() > until) {
            throw new AssertionError(state);
        }
    }

    Socket client() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(RouterProcess.WAIT_MS);
        return socket;
    }

    static void read(Socket client, String id) throws IOException {
        Rehearsal.write(client, "mg k" + id + " v O" + id + " Pc=read,d=3500\r\n");
    }

    /** Waits for the next held connection attempt and returns the action that completes it. */
    Runnable nextConnect() throws InterruptedException {
        return connector.awaitHeld(RouterProcess.WAIT_MS);
    }

    @Override
    public void close() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        cache.close();
    }
}
