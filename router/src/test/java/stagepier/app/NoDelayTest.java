package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.client.ClientListener;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.overload.LoopDelay;

/** All sockets set TCP_NODELAY. Without it small answers wait for the acknowledgement of earlier ones. */
@Timeout(60)
class NoDelayTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final String CONFIG = """
            {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","console":"127.0.0.1:%d","seed":"1","limits":{"sockets":128},
            "settings":%s,"known":%s}""";

    private static Object field(Object of, Class<?> type, String name) throws ReflectiveOperationException {
        Field field = type.getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    /** Returns the TCP_NODELAY option of each connection that is registered with the loop. */
    private static List<Boolean> noDelay(EventLoop loop) throws Exception {
        return loop.submit(() -> {
                    IoHandler handler = (IoHandler) field(loop, SingleThreadIoEventLoop.class, "ioHandler");
                    if (handler instanceof WholeMillisecondWaits waits) {
                        handler = (IoHandler) field(waits, WholeMillisecondWaits.class, "wrapped");
                    }
                    List<Boolean> all = new ArrayList<>();
                    for (SelectionKey key :
                            ((Selector) field(handler, NioIoHandler.class, "unwrappedSelector")).keys()) {
                        if (key.isValid() && key.channel() instanceof SocketChannel socket) {
                            all.add(socket.getOption(StandardSocketOptions.TCP_NODELAY));
                        }
                    }
                    return all;
                })
                .get(5, TimeUnit.SECONDS);
    }

    private static List<Boolean> copiesOfTrue(int n) {
        return java.util.Collections.nCopies(n, true);
    }

    @Test
    void connectionsToClientsCacheServersDiscoveryAndConsole() throws Exception {
        int port = Rehearsal.freePort();
        int console = Rehearsal.freePort();
        try (StandInAgent agent = new StandInAgent();
                StandInCache cache = new StandInCache()) {
            Router router = new Router(Config.parse(CONFIG.formatted(
                    port,
                    agent.port(),
                    console,
                    RouterProcess.SETTINGS,
                    StandInAgent.known(StandInAgent.entry(1, cache.port(), "up")))));
            router.start().get(20, TimeUnit.SECONDS);
            try (Socket client = new Socket(LOOPBACK, port);
                    Socket consoleClient = new Socket(LOOPBACK, console)) {
                Rehearsal.write(client, "mg k v Oa Pc=read,t=x,d=1900\r\n");
                assertEquals("VA 2 Oa", Rehearsal.reader(client).readLine());
                // Waits for the console connection, which the same loop accepts after the client.
                StandInAgent.await(() -> {
                    try {
                        return noDelay(router.loop()).size() >= 4;
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });
                List<Boolean> all = noDelay(router.loop());
                assertEquals(copiesOfTrue(all.size()), all);
                assertEquals(true, consoleClient.isConnected());
            } finally {
                router.stop().get(10, TimeUnit.SECONDS);
            }
        }
    }

    @Test
    void clientsOfInheritedListeningSocket() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocketChannel passed = ServerSocketChannel.open()) {
            passed.bind(new InetSocketAddress(LOOPBACK, 0));
            EventLoop loop = group.next();
            Config config = Config.parse(CONFIG.formatted(1, 1, 1, RouterProcess.SETTINGS, StandInAgent.known()));
            LoopDelay delay = new LoopDelay();
            ModuleHost host = new ModuleHost(loop, new Clock(), delay, config.settings());
            ClientListener clients =
                    new ClientListener(loop, new Clock(), delay, 10, host, () -> "END", DrainStates.serving());
            loop.submit(() -> clients.listen(group, passed))
                    .get(5, TimeUnit.SECONDS)
                    .sync();
            try (Socket client = new Socket(LOOPBACK, passed.socket().getLocalPort())) {
                Rehearsal.write(client, "stats\r\n");
                assertEquals("END", Rehearsal.reader(client).readLine());
                assertEquals(copiesOfTrue(1), noDelay(loop));
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
