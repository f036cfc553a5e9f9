package stagepier.app;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import stagepier.link.Sockets;

/**
 * Connects to this process's own console a number of times before the router serves. Without it the first clients after
 * a start or a handover run socket code (accept, connect, read, write, close) that is not compiled yet: on a fraction
 * of a core they are delayed by tens of milliseconds for several seconds. {@link WarmUp} processes complete requests,
 * but without sockets.
 */
final class SocketWarmUp {
    private static final int CALLS = 240;
    private static final int CONCURRENT_CALLS = 4;
    /** The warm-up ends after this period even if it is not complete. */
    private static final double TIME_LIMIT_S = 1;

    private static final byte[] STATUS_COMMAND = "STATUS\n".getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop loop;
    private final InetSocketAddress console;
    private final Runnable done;
    private int started;
    private int open;
    private boolean finished;

    private SocketWarmUp(EventLoop loop, InetSocketAddress console, Runnable done) {
        this.loop = loop;
        this.console = console;
        this.done = done;
    }

    /**
     * Must be called on the event loop.
     *
     * @param console address of this process's console
     * @param done    called once, whether or not the calls succeed
     */
    static void run(EventLoop loop, InetSocketAddress console, Runnable done) {
        SocketWarmUp warmUp = new SocketWarmUp(loop, console, done);
        // Bounds the warm-up, so that the start does not wait for a call that never completes.
        loop.schedule(warmUp::finish, (long) (TIME_LIMIT_S * 1e3), TimeUnit.MILLISECONDS);
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            warmUp.startNextCall();
        }
    }

    private void startNextCall() {
        if (finished) {
            return;
        }
        if (started == CALLS) {
            if (open == 0) {
                finish();
            }
            return;
        }
        started++;
        open++;
        ChannelFactory<? extends Channel> socket;
        try {
            socket = Sockets.connecting();
        } catch (ChannelException e) {
            finish();
            return;
        }
        new Bootstrap()
                .group(loop)
                .channelFactory(socket)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (TIME_LIMIT_S * 1e3))
                .handler(new Caller())
                .connect(console)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        // The console does not listen yet: another process holds its address. The listener retries.
                        finish();
                    }
                });
    }

    /** Completes the warm-up once, after the last call or at the time limit. */
    private void finish() {
        if (!finished) {
            finished = true;
            done.run();
        }
    }

    /** One call: sends a line, reads a line and closes the connection. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(STATUS_COMMAND));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            ctx.close();
        }

        /** Called once for each established call, whichever side closed it. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            // Uses a timer because a task would run before the event loop polls sockets again.
            loop.schedule(SocketWarmUp.this::startNextCall, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
