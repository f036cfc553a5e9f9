package stagepier.lab.scale.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Connections of hollow watchers to a service on loopback, all on one event loop. */
public final class NettyConnector implements SimulatedWatcher.Connector {
    private static final int LARGEST_LIST = 1 << 20;
    private static final String VERSION_KEY = "\"generation\":";
    /** So much of a body holds its version. */
    private static final int HEAD = 64;

    private static final int OK = 200;

    private final EventLoop loop;
    private final InetSocketAddress service;

    private NettyConnector(EventLoop loop, InetSocketAddress service) {
        this.loop = loop;
        this.service = service;
    }

    /** Connections to that port. */
    public static NettyConnector to(EventLoop loop, int port) {
        return new NettyConnector(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    @Override
    public SimulatedWatcher.Connection open(SimulatedWatcher watcher) {
        Link link = new Link(watcher);
        ChannelFuture connect = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new Pieces(link),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(LARGEST_LIST),
                                        new Answers(link));
                    }
                })
                .connect(service);
        link.channel = connect.channel();
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                watcher.ended(link);
            }
        });
        return link;
    }

    private final class Link implements SimulatedWatcher.Connection {
        private final SimulatedWatcher watcher;
        private Channel channel;

        private Link(SimulatedWatcher watcher) {
            this.watcher = watcher;
        }

        @Override
        public void send(String target) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
            request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(service));
            channel.writeAndFlush(request);
        }

        @Override
        public void close() {
            channel.close();
        }
    }

    private static final class Pieces extends ChannelInboundHandlerAdapter {
        private final Link link;

        private Pieces(Link link) {
            this.link = link;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            link.watcher.piece(link);
            ctx.fireChannelRead(message);
        }
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Link link;

        private Answers(Link link) {
            this.link = link;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            link.watcher.up(link);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            link.watcher.answered(link, status, status == OK ? version(response.content()) : -1);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.watcher.ended(link);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            link.watcher.ended(link);
        }
    }

    /** The version alone: that each router parses its own list is no work of this machine's. */
    private static long version(ByteBuf body) {
        int length = Math.min(HEAD, body.readableBytes());
        String head = body.toString(body.readerIndex(), length, StandardCharsets.ISO_8859_1);
        int at = head.indexOf(VERSION_KEY);
        if (at < 0) {
            throw new IllegalStateException("an answer without a version: " + head);
        }
        long version = 0;
        for (int i = at + VERSION_KEY.length(); i < head.length() && Character.isDigit(head.charAt(i)); i++) {
            version = version * 10 + head.charAt(i) - '0';
        }
        return version;
    }
}
