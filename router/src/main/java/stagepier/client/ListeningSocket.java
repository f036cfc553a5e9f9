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
 * The socket on which clients connect. Accepts connections in batches, pauses while there is no room for more, and
 * estimates how long an accepted connection may have waited in the backlog. Owns the socket, unless it is shared with
 * other processes.
 */
final class ListeningSocket {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningSocket.class);
    private static final int BACKLOG = 512;
    /** Seconds between two log lines about failures. */
    private static final double WARN_INTERVAL = 1;

    private final Clock clock;
    private final Consumer<Channel> onAccepted;
    private final ServerChannelRecvByteBufAllocator batchAllocator = new ServerChannelRecvByteBufAllocator();
    private final RateLimitedWarning failures =
            new RateLimitedWarning(LOG, "failed to accept a client connection", WARN_INTERVAL);
    private final AcceptControl control = new AcceptControl(this::onAcceptFailed);
    private final BacklogWait backlog = new BacklogWait(Pressure.DEFAULT_ACCEPT_BATCH);
    /** Null until it listens. */
    private Channel channel;
    /** Whether the socket is shared with other processes, and therefore never closed here. */
    private boolean shared;

    private boolean stopped;
    private boolean paused;

    /** @param onAccepted receives the channel of each connection while the channel is being initialized */
    ListeningSocket(Clock clock, Consumer<Channel> onAccepted) {
        this.clock = clock;
        this.onAccepted = onAccepted;
        batchAllocator.maxMessagesPerRead(Pressure.DEFAULT_ACCEPT_BATCH);
    }

    /** Sets how many connections are accepted in a row. */
    void setBatchLimit(int limit) {
        batchAllocator.maxMessagesPerRead(limit);
        backlog.setBatchLimit(limit);
    }

    /** Listens on a socket of this process. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return started(bootstrap(group)
                .channelFactory(Sockets.listening())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .bind(address));
    }

    /**
     * Accepts connections from a listening socket that is shared with other processes. It is never closed here: closing
     * it would redirect the descriptors 0 to 2, and with them the log, to nowhere.
     */
    ChannelFuture listen(EventLoopGroup group, ServerSocketChannel existing) {
        shared = true;
        return started(
                bootstrap(group).channelFactory(Sockets.listening(existing)).register());
    }

    private ChannelFuture started(ChannelFuture up) {
        channel = up.channel();
        return up;
    }

    private void onAcceptFailed(Throwable cause) {
        backlog.onAcceptFailed();
        failures.warn(clock.now(), cause.getMessage());
    }

    private ServerBootstrap bootstrap(EventLoopGroup group) {
        return new ServerBootstrap()
                .group(group)
                .option(ChannelOption.RECVBUF_ALLOCATOR, batchAllocator)
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
                        onAccepted.accept(child);
                    }
                });
    }

    /** Counts accepted connections per batch for the estimate of the waiting time in the backlog. */
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

    /** Whether it has stopped accepting for good, or never listened. */
    boolean isOver() {
        return channel == null || stopped;
    }

    /** Whether stopping closes the socket; a shared one remains open for the other processes. */
    boolean isOwn() {
        return channel != null && !shared;
    }

    /** Accepts the connections in the backlog now, without waiting for a readiness event. */
    void acceptNow() {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** Stops accepting connections; those in the backlog are left to the other processes that share the socket. */
    void stop() {
        stopped = true;
        if (channel != null && shared) {
            control.accept(false);
        } else if (channel != null) {
            channel.close();
        }
    }

    /** Whether connections may wait in the backlog although it accepts, because accept has just failed. */
    boolean isRetryDue() {
        return control.isRetryDue();
    }

    /** Number of connections that could not be accepted. */
    long failures() {
        return failures.count();
    }

    /** Notes that it was accepting all along and no connection arrived. */
    void onIdle() {
        if (!control.isRetryDue()) {
            backlog.onIdle(clock.now());
        }
    }

    /** The earliest time at which a connection that is accepted now can have been opened by the client. */
    double earliestArrival() {
        return backlog.earliestArrival(clock.now());
    }
}
