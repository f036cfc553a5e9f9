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
 * Takes made-up requests the whole way, from a client link to the answer, before the router serves. Guards against the
 * first clients after a start waiting for code to be compiled, which on part of a core takes seconds: what waits here
 * looks like a crowd at the cache servers. All its parts are thrown away, and its channels are no sockets.
 */
final class WarmUp {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 250;
    private static final int PLACES = 8;
    private static final int REST_US = 1000;
    /** So many ask at once. */
    private static final int AT_ONCE = 5;

    private final SettingsParser.Parsed settings;
    private final List<EmbeddedChannel> toServers = new ArrayList<>();
    private final ServerPools pools;
    private final ClientListener listener;
    private final EmbeddedChannel client;
    private int played;
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
        listener = new ClientListener(loop, clock, delay, PLACES, host, () -> "END", serving);
        client = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                listener.adopt(channel);
            }
        });
    }

    /**
     * Plays a few requests at a time and looks at sockets in between, for the console is there already.
     *
     * @param done told how many requests came back served
     */
    static void run(EventLoop loop, SettingsParser.Parsed settings, IntConsumer done) {
        loop.execute(() -> new WarmUp(loop, settings).play(loop, done));
    }

    private void play(EventLoop loop, IntConsumer done) {
        if (played < REQUESTS) {
            playSome();
            // By way of a timer: a task would run before sockets are looked at again. And one that has to be waited
            // for: whoever
            // holds a thread that never waits for hung must not see one here, on a machine that is short of processors.
            loop.schedule(() -> play(loop, done), REST_US, TimeUnit.MICROSECONDS);
        } else {
            client.close();
            toServers.forEach(EmbeddedChannel::close);
            pools.close();
            done.accept(served);
        }
    }

    private void playSome() {
        for (int n = 0; n < AT_ONCE; n++, played++) {
            int i = played;
            String name = settings.names()
                    .classes()
                    .get(i % settings.names().classes().size());
            String rest = " O%016x Pc=%s,t=acme,d=60000,k=%x".formatted(i, name, i);
            String key = "%016x".formatted(i % 97 + 1);
            say(
                    client,
                    i % 8 == 0
                            ? Protocol.withValue("ms " + key + " 16" + rest, new byte[16])
                            : Protocol.line("mg " + key + " v" + rest));
        }
        listener.workOff();
        new ArrayList<>(toServers).forEach(WarmUp::answer);
        served += written(client).split("(VA|HD) ", -1).length - 1;
    }

    private ChannelFuture connect(ChannelHandler setUp, InetSocketAddress address) {
        EmbeddedChannel channel = new EmbeddedChannel(setUp);
        toServers.add(channel);
        return channel.newSucceededFuture();
    }

    /** A cache server that has all. */
    private static void answer(EmbeddedChannel server) {
        for (String line : written(server).split("\r\n")) {
            String id = line.contains(" O") ? line.substring(line.indexOf(" O"), line.indexOf(" P")) : "";
            if (line.startsWith("mg ")) {
                say(server, Protocol.withValue("VA 16" + id + " h1", new byte[16]));
            } else if (line.startsWith("ms ")) {
                say(server, Protocol.line("HD" + id + " cff"));
            }
        }
    }

    private static void say(EmbeddedChannel to, byte[] bytes) {
        to.writeInbound(Unpooled.wrappedBuffer(bytes));
    }

    private static String written(EmbeddedChannel from) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf bytes = from.readOutbound(); bytes != null; bytes = from.readOutbound()) {
            all.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return all.toString();
    }
}
