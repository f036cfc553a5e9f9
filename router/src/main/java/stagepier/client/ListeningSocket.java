package stagepier.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.exchange.Clock;
import stagepier.link.AcceptControl;
import stagepier.link.Sockets;
import stagepier.logging.RateLimitedWarning;
import stagepier.overload.BacklogWait;
import stagepier.overload.Pressure;

/**
 * The socket on which clients connect: accepts them in batches, rests while there is no room for more, and knows for how long one
 * that is accepted may have waited. Owns the socket, unless other processes have it as well.
 */
final class ListeningSocket {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningSocket.class);
    private static final int BACKLOG = 512;
    /** Seconds between two lines of the log about failures. */
    private static final double WARN_EVERY = 1;

    private final Clock clock;
    private final Consumer<Channel> accepted;
    private final ServerChannelRecvByteBufAllocator batches = new ServerChannelRecvByteBufAllocator();
    private final RateLimitedWarning failures = new RateLimitedWarning(LOG, "a client was not accepted", WARN_EVERY);
    private final AcceptControl control = new AcceptControl(this::failed);
    private final BacklogWait backlog = new BacklogWait(Pressure.DEFAULT_ACCEPT_BATCH);
    /** Null before it listens. */
    private Channel channel;
    /** The socket is other processes' as well, and never closed here. */
    private boolean shared;

    private boolean stopped;
    private boolean paused;

    /** @param accepted is given the channel of each connection, while that is set up */
    ListeningSocket(Clock clock, Consumer<Channel> accepted) {
        this.clock = clock;
        this.accepted = accepted;
        batches.maxMessagesPerRead(Pressure.DEFAULT_ACCEPT_BATCH);
    }

    /** How many connections are accepted in a row from now on. */
    void batch(int most) {
        batches.maxMessagesPerRead(most);
        backlog.setBatchLimit(most);
    }

    /** Listens on a socket of its own. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return listening(server(group)
                .channelFactory(Sockets.listening())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .bind(address));
    }

    /**
     * Accepts from a socket that listens already and is other processes' as well. It is never closed here: that would
     * lead descriptors 0 to 2 to nowhere, and the log with them.
     */
    ChannelFuture listen(EventLoopGroup group, ServerSocketChannel passed) {
        shared = true;
        return listening(server(group).channelFactory(Sockets.listening(passed)).register());
    }

    private ChannelFuture listening(ChannelFuture up) {
        channel = up.channel();
        return up;
    }

    private void failed(Throwable cause) {
        backlog.onAcceptFailed();
        failures.warn(clock.now(), cause.getMessage());
    }

    private ServerBootstrap server(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .option(ChannelOption.RECVBUF_ALLOCATOR, batches)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel listening) {
                        listening.pipeline().addLast(control, new BatchCounter());
                    }
                })
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        accepted.accept(child);
                    }
                });
    }

    /** Tells the backlog's wait how many were accepted in a row. */
    private final class BatchCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            backlog.onAccepted();
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            backlog.onBatchEnd(clock.now());
            ctx.fireChannelReadComplete();
        }
    }

    boolean isListening() {
        return channel != null;
    }

    /** Whether connections are left in the backlog until there is room. */
    boolean isPaused() {
        return paused;
    }

    /** Leaves connections in the backlog until {@link #resume}. */
    void pause() {
        paused = true;
        control.accept(false);
    }

    void resume() {
        paused = false;
        control.accept(!stopped);
    }

    /** Whether it accepts none for good, or never listened. */
    boolean isOver() {
        return channel == null || stopped;
    }

    /** Whether it is closed once it stops: one that is other processes' as well is theirs to go on with. */
    boolean isOwn() {
        return channel != null && !shared;
    }

    /** Accepts who waits by now, without waiting to be told of it. */
    void acceptNow() {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** Takes no more connections: what waits in the backlog is left to whoever has the socket as well. */
    void stop() {
        stopped = true;
        if (channel != null && shared) {
            control.accept(false);
        } else if (channel != null) {
            channel.close();
        }
    }

    /** Whether connections may be waiting in the backlog though it accepts, for accept has just failed. */
    boolean isRetryDue() {
        return control.isRetryDue();
    }

    /** How often a connection could not be accepted. */
    long failures() {
        return failures.count();
    }

    /** It has been accepting all along and nobody came. */
    void nobodyWaits() {
        if (!control.isRetryDue()) {
            backlog.onIdle(clock.now());
        }
    }

    /** The earliest time at which a connection that is accepted now can have come. */
    double earliestArrival() {
        return backlog.earliestArrival(clock.now());
    }
}
