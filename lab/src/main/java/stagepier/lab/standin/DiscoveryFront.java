package stagepier.lab.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.List;

/** A service of discovery behind a socket on loopback, over HTTP. */
public final class DiscoveryFront {
    /** Is told what goes over the connections, on the event loop. */
    public interface Observer {
        /** Is told of everything and does nothing. */
        Observer NONE = new Observer() {};

        /** A connection has been accepted. */
        default void opened() {}

        /** A whole request has come: its target, and its bytes with those of its head. */
        default void requested(String target, int bytes) {}

        /** A call has been answered with that many bytes, head included. */
        default void answered(HostList.Message message, int bytes) {}

        /** A call has been answered with 503, in that many bytes. */
        default void refused(int bytes) {}
    }

    private static final int LARGEST_REQUEST = 4096;
    private static final int LONGEST_HOLD_MS = 60_000;

    private final EventLoop loop;
    private final DiscoveryService service;
    private final Observer observer;
    private Channel listening;

    public DiscoveryFront(EventLoop loop, DiscoveryService service, Observer observer) {
        this.loop = loop;
        this.service = service;
        this.observer = observer;
    }

    /** Waits; not on the event loop. */
    public void listen() throws InterruptedException {
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Counted counted = new Counted();
                        channel.pipeline()
                                .addLast(
                                        counted,
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(LARGEST_REQUEST),
                                        new Calls(counted));
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Ends listening; connections that are there stay. */
    public void close() {
        if (listening != null) {
            listening.close();
        }
    }

    /** Bytes of a connection since they were last asked for. */
    private static final class Counted extends ChannelDuplexHandler {
        private int read;
        private int written;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf bytes) {
                read += bytes.readableBytes();
            }
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                written += bytes.readableBytes();
            }
            ctx.write(message, promise);
        }

        private int takeRead() {
            int taken = read;
            read = 0;
            return taken;
        }

        private int takeWritten() {
            int taken = written;
            written = 0;
            return taken;
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Counted counted;

        private Calls(Counted counted) {
            this.counted = counted;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            observer.opened();
            if (service.resetsAll()) {
                reset(ctx);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            observer.requested(request.uri(), counted.takeRead());
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            int from = number(uri, "from", -1);
            int holdMs = Math.min(LONGEST_HOLD_MS, number(uri, "hold_ms", 0));
            service.call(new Connection(ctx, counted), from, holdMs / 1e3);
        }

        private int number(QueryStringDecoder uri, String name, int otherwise) {
            List<String> values = uri.parameters().getOrDefault(name, List.of());
            return values.isEmpty() ? otherwise : Integer.parseInt(values.get(0));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static void reset(ChannelHandlerContext ctx) {
        // Guards against a connection that its other end has closed meanwhile: that has no options any more.
        if (ctx.channel().isOpen()) {
            ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            ctx.close();
        }
    }

    /** One call of a connection. */
    private final class Connection implements DiscoveryService.Caller {
        private final ChannelHandlerContext ctx;
        private final Counted counted;

        private Connection(ChannelHandlerContext ctx, Counted counted) {
            this.ctx = ctx;
            this.counted = counted;
        }

        @Override
        public boolean isConnected() {
            return ctx.channel().isActive();
        }

        @Override
        public void answer(HostList.Message message) {
            write(HttpResponseStatus.OK, message.body());
            observer.answered(message, counted.takeWritten());
        }

        @Override
        public void refuse() {
            write(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            observer.refused(counted.takeWritten());
        }

        @Override
        public void reset() {
            DiscoveryFront.reset(ctx);
        }

        private void write(HttpResponseStatus status, byte[] body) {
            var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }
    }
}
