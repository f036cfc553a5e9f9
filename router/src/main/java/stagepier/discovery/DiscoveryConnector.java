package stagepier.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import stagepier.link.Sockets;

/** Opens HTTP connections to discovery and writes its requests. Holds no connection itself. */
final class DiscoveryConnector {
    private static final String PATH = "/discovery/hosts";
    private static final int LARGEST_LIST = 1 << 20;

    private final EventLoop loop;
    private final int connectWithinMs;
    private final Supplier<ChannelHandler> pieces;
    private final Supplier<ChannelHandler> answers;

    /**
     * @param connectWithinMs after which a connection that is not up has failed
     * @param pieces          sees all bytes of a connection as they come
     * @param answers         is given whole responses
     */
    DiscoveryConnector(
            EventLoop loop, int connectWithinMs, Supplier<ChannelHandler> pieces, Supplier<ChannelHandler> answers) {
        this.loop = loop;
        this.connectWithinMs = connectWithinMs;
        this.pieces = pieces;
        this.answers = answers;
    }

    /**
     * Begins to connect.
     *
     * @throws io.netty.channel.ChannelException where the system has no socket now
     */
    ChannelFuture connect(InetSocketAddress address) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.connecting())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectWithinMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel own) {
                        own.pipeline()
                                .addLast(
                                        pieces.get(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(LARGEST_LIST),
                                        answers.get());
                    }
                })
                .connect(address);
    }

    /** Asks for the whole list. */
    static void requestList(Channel to, InetSocketAddress address) {
        request(to, address, PATH);
    }

    /**
     * Asks for the changes since a version.
     *
     * @param holdMs for how long the agent may wait for one, in milliseconds
     */
    static void requestChanges(Channel to, InetSocketAddress address, long generation, int holdMs) {
        request(to, address, PATH + "?from=" + generation + "&hold_ms=" + holdMs);
    }

    private static void request(Channel to, InetSocketAddress address, String uri) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
        to.writeAndFlush(request);
    }
}
