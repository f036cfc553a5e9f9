package stagepier.lab.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import stagepier.lab.nemesis.Link;
import stagepier.lab.nemesis.Nemesis;

/**
 * A connection of one party to another, piece by piece in order: each is passed on when its time has come, held while the link is
 * silent, or cut in its middle. What one side closes is closed on the other once all before it has been passed on.
 */
final class StreamRelay {
    /** A piece that is held is looked at again after so long, in seconds: well below what any rule allows. */
    private static final double LOOK_AGAIN = 0.01;
    /** Pieces that wait in one direction from which on no more is read. */
    private static final int WAITING_MOST = 64;

    private final SharedState world;
    private final Nemesis nemesis;
    private final Link link;
    private final int near;
    private final int far;
    private final int target;
    private final Passed passed;
    private final Set<Channel> open = new LinkedHashSet<>();
    private Channel listening;

    /** Hears of all that is passed on. */
    @FunctionalInterface
    interface Passed {
        Passed NONE = (from, bytes) -> {};

        void bytes(int from, int bytes);

        /** Bytes that came at {@code at} go on now, over a connection from that port; a new connection begins with {@link #opened}. */
        default void bytes(int from, int port, int bytes, double at) {
            bytes(from, bytes);
        }

        default void opened(int port) {}
    }

    /**
     * @param near   who connects
     * @param far    to whom
     * @param target the port of the latter
     * @param passed hears of all that is passed on
     */
    StreamRelay(SharedState world, Nemesis nemesis, Link link, int near, int far, int target, Passed passed) {
        this.world = world;
        this.nemesis = nemesis;
        this.link = link;
        this.near = near;
        this.far = far;
        this.target = target;
        this.passed = passed;
    }

    StreamRelay(SharedState world, Nemesis nemesis, Link link, int near, int far, int target) {
        this(world, nemesis, link, near, far, target, Passed.NONE);
    }

    /** Waits; not on the event loop. */
    void listen() throws InterruptedException {
        listening = new ServerBootstrap()
                .group(world.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connect(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    private void connect(Channel caller) {
        Way there = new Way(near, far);
        Way back = new Way(far, near);
        open.add(caller);
        caller.pipeline().addLast(there);
        ChannelFuture up = new Bootstrap()
                .group(world.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(back)
                .connect("127.0.0.1", target);
        there.start(caller, up.channel());
        back.start(up.channel(), caller);
        open.add(up.channel());
        up.addListener(done -> {
            if (done.isSuccess()) {
                passed.opened(((InetSocketAddress) up.channel().localAddress()).getPort());
                caller.config().setAutoRead(true);
                up.channel().config().setAutoRead(true);
            } else {
                reset(caller);
            }
        });
    }

    /** On the event loop: elsewhere the channel may close between the look whether it is open and the option. */
    private void reset(Channel channel) {
        open.remove(channel);
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /**
     * Ends all its connections. May be called from any thread: connections end on the event loop of the stand-ins, and
     * only there is it known which are still open.
     *
     * @return done once all have been reset
     */
    Future<?> close() {
        return world.loop().submit(() -> {
            if (listening != null) {
                listening.close();
            }
            Set.copyOf(open).forEach(this::reset);
        });
    }

    /** One direction of one connection. */
    private final class Way extends ChannelInboundHandlerAdapter {
        private record Piece(ByteBuf bytes, double at, double due) {}

        private final int from;
        private final int to;
        private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
        private Channel in;
        private Channel out;
        private double lastDue;
        private boolean ended;
        private boolean looking;

        Way(int from, int to) {
            this.from = from;
            this.to = to;
        }

        void start(Channel source, Channel sink) {
            in = source;
            out = sink;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            double now = world.clock().now();
            // In order, whatever the jitter is.
            lastDue = Math.max(lastDue, now + nemesis.lateness(link, from, to, now));
            waiting.add(new Piece((ByteBuf) message, now, lastDue));
            in.config().setAutoRead(waiting.size() < WAITING_MOST);
            pass();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(in);
            ended = true;
            pass();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Passes on what is due. */
        private void pass() {
            double now = world.clock().now();
            while (!waiting.isEmpty()
                    && waiting.peek().due() <= now
                    && !nemesis.treatment(link, from, to, now).isSilence()) {
                Piece piece = waiting.remove();
                ByteBuf bytes = piece.bytes();
                int port = out.localAddress() instanceof InetSocketAddress on ? on.getPort() : 0;
                if (nemesis.cuts(link, from, to, now)) {
                    passed.bytes(from, port, bytes.readableBytes() / 2, piece.at());
                    out.writeAndFlush(bytes.readSlice(bytes.readableBytes() / 2))
                            .addListener(f -> {
                                reset(out);
                                reset(in);
                            });
                    drop();
                    return;
                }
                passed.bytes(from, port, bytes.readableBytes(), piece.at());
                out.writeAndFlush(bytes);
                in.config().setAutoRead(true);
            }
            if (!waiting.isEmpty() && !looking) {
                looking = true;
                world.at(Math.max(waiting.peek().due(), now + LOOK_AGAIN), () -> {
                    looking = false;
                    pass();
                });
            } else if (ended && waiting.isEmpty()) {
                // After all that was written before it.
                out.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(f -> out.close());
            }
        }

        private void drop() {
            waiting.forEach(p -> ReferenceCountUtil.release(p.bytes()));
            waiting.clear();
        }
    }
}
