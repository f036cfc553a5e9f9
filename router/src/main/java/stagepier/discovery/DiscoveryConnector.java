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

/** Opens HTTP connections to discovery and writes its requests. Does not own the connections. */
final class DiscoveryConnector {
    private static final String PATH = "/discovery/hosts";
    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final int connectTimeoutMs;
    private final Supplier<ChannelHandler> byteHandlers;
    private final Supplier<ChannelHandler> responseHandlers;

    /**
     * @param connectTimeoutMs timeout after which a connection attempt has failed
     * @param byteHandlers     supplies the handler that sees the bytes of a connection as they arrive
     * @param responseHandlers supplies the handler that is given complete responses
     */
    DiscoveryConnector(
            EventLoop loop,
            int connectTimeoutMs,
            Supplier<ChannelHandler> byteHandlers,
            Supplier<ChannelHandler> responseHandlers) {
        this.loop = loop;
        this.connectTimeoutMs = connectTimeoutMs;
        this.byteHandlers = byteHandlers;
        this.responseHandlers = responseHandlers;
    }

    /**
     * Starts to connect.
     *
     * @throws io.netty.channel.ChannelException if the system cannot open a socket now
     */
    ChannelFuture connect(InetSocketAddress address) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(Sockets.connecting())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        byteHandlers.get(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        responseHandlers.get());
                    }
                })
                .connect(address);
    }

    /** Requests the whole list. */
    static void requestList(Channel to, InetSocketAddress address) {
        request(to, address, PATH);
    }

    /**
     * Requests the changes since a version.
     *
     * @param holdMs how long the agent may hold the request while there is no change, in milliseconds
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
