package stagepier.app;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import stagepier.Api;
import stagepier.RoutingPolicy;
import stagepier.client.ClientListener;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.memcache.Protocol;
import stagepier.overload.LoopDelay;
import stagepier.server.ServerPools;
import stagepier.settings.SettingsParser;

/**
 * Processes synthetic requests end to end, from a client link to the answer, before the router serves. Without it the
 * first clients after a start wait for code to be compiled, which takes seconds on a fraction of a core, and the
 * resulting backlog looks like overload of the cache servers. All its components are discarded afterwards, and its
 * channels are embedded channels rather than sockets.
 */
final class WarmUp {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 250;
    private static final int CLIENT_LINKS = 8;
    private static final int BATCH_INTERVAL_US = 1000;
    /** Requests that are sent in one turn of the event loop. */
    private static final int BATCH_SIZE = 5;

    private final SettingsParser.Parsed settings;
    private final List<EmbeddedChannel> serverChannels = new ArrayList<>();
    private final ServerPools pools;
    private final ClientListener listener;
    private final EmbeddedChannel client;
    private int sent;
    private int served;

    private WarmUp(EventLoop loop, SettingsParser.Parsed settings) {
        this.settings = settings;
        Clock clock = new Clock();
        LoopDelay delay = new LoopDelay();
        ModuleHost host = new ModuleHost(loop, clock, delay, settings);
        pools = new ServerPools(
                loop,
                clock,
                delay,
                host,
                this::connect,
                SERVERS * SERVERS,
                Integer.MAX_VALUE,
                settings.settings(),
                0,
                Integer.MAX_VALUE);
        host.connect(new RoutingPolicy(settings.settings(), 1, host), pools);
        List<Api.Member> members = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            members.add(new Api.Member(i, 0, 0, 0, Api.MemberState.READY, 1, 0));
            pools.ready(i, new InetSocketAddress(i), 0);
        }
        host.members(true, members);
        Drain serving = new Drain();
        serving.started();
        listener = new ClientListener(loop, clock, delay, CLIENT_LINKS, host, () -> "END", serving);
        client = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                listener.adopt(channel);
            }
        });
    }

    /**
     * Sends the requests in batches and lets the event loop poll sockets in between, because the console already
     * listens.
     *
     * @param done receives the number of requests that were served
     */
    static void run(EventLoop loop, SettingsParser.Parsed settings, IntConsumer done) {
        loop.execute(() -> new WarmUp(loop, settings).sendBatches(loop, done));
    }

    private void sendBatches(EventLoop loop, IntConsumer done) {
        if (sent < REQUESTS) {
            sendBatch();
            // Uses a timer because a task would run before the event loop polls sockets again. The delay is not 0, so
            // that a watchdog that reports threads that never wait as hung does not report this one on a busy machine.
            loop.schedule(() -> sendBatches(loop, done), BATCH_INTERVAL_US, TimeUnit.MICROSECONDS);
        } else {
            client.close();
            serverChannels.forEach(EmbeddedChannel::close);
            pools.close();
            done.accept(served);
        }
    }

    private void sendBatch() {
        for (int n = 0; n < BATCH_SIZE; n++, sent++) {
            int i = sent;
            String name = settings.names()
                    .classes()
                    .get(i % settings.names().classes().size());
            String attributes = " O%016x Pc=%s,t=acme,d=60000,k=%x".formatted(i, name, i);
            String key = "%016x".formatted(i % 97 + 1);
            receive(
                    client,
                    i % 8 == 0
                            ? Protocol.withValue("ms " + key + " 16" + attributes, new byte[16])
                            : Protocol.line("mg " + key + " v" + attributes));
        }
        listener.workOff();
        new ArrayList<>(serverChannels).forEach(WarmUp::answer);
        served += drainOutbound(client).split("(VA|HD) ", -1).length - 1;
    }

    private ChannelFuture connect(ChannelHandler setUp, InetSocketAddress address) {
        EmbeddedChannel channel = new EmbeddedChannel(setUp);
        serverChannels.add(channel);
        return channel.newSucceededFuture();
    }

    /** Answers all requests as a cache server that has every value. */
    private static void answer(EmbeddedChannel server) {
        for (String line : drainOutbound(server).split("\r\n")) {
            String id = line.contains(" O") ? line.substring(line.indexOf(" O"), line.indexOf(" P")) : "";
            if (line.startsWith("mg ")) {
                receive(server, Protocol.withValue("VA 16" + id + " h1", new byte[16]));
            } else if (line.startsWith("ms ")) {
                receive(server, Protocol.line("HD" + id + " cff"));
            }
        }
    }

    private static void receive(EmbeddedChannel to, byte[] bytes) {
        to.writeInbound(Unpooled.wrappedBuffer(bytes));
    }

    private static String drainOutbound(EmbeddedChannel from) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf bytes = from.readOutbound(); bytes != null; bytes = from.readOutbound()) {
            all.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return all.toString();
    }
}
