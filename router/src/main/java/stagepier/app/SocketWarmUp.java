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
 * Calls this process' own console a number of times before the router serves. Guards against the first wave of clients after a
 * start or a handover meeting code for sockets (accept, connect, read, write, close) that has never run: on part of a core that
 * wave is then late by tens of milliseconds for seconds. {@link WarmUp} takes requests the whole way, but over no sockets.
 */
final class SocketWarmUp {
    private static final int CALLS = 240;
    private static final int AT_ONCE = 4;
    /** It ends after so long however far it has come; seconds. */
    private static final double LASTS_MOST = 1;

    private static final byte[] CALL = "STATUS\n".getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop loop;
    private final InetSocketAddress console;
    private final Runnable done;
    private int begun;
    private int open;
    private boolean over;

    private SocketWarmUp(EventLoop loop, InetSocketAddress console, Runnable done) {
        this.loop = loop;
        this.console = console;
        this.done = done;
    }

    /**
     * On the event loop.
     *
     * @param console where this process listens for staff
     * @param done    called once, whatever became of the calls
     */
    static void run(EventLoop loop, InetSocketAddress console, Runnable done) {
        SocketWarmUp warmUp = new SocketWarmUp(loop, console, done);
        // Whatever becomes of the calls: a start waits for nothing that may not come.
        loop.schedule(warmUp::end, (long) (LASTS_MOST * 1e3), TimeUnit.MILLISECONDS);
        for (int i = 0; i < AT_ONCE; i++) {
            warmUp.next();
        }
    }

    private void next() {
        if (over) {
            return;
        }
        if (begun == CALLS) {
            if (open == 0) {
                end();
            }
            return;
        }
        begun++;
        open++;
        ChannelFactory<? extends Channel> socket;
        try {
            socket = Sockets.connecting();
        } catch (ChannelException e) {
            end();
            return;
        }
        new Bootstrap()
                .group(loop)
                .channelFactory(socket)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (LASTS_MOST * 1e3))
                .handler(new Caller())
                .connect(console)
                .addListener(up -> {
                    if (!up.isSuccess()) {
                        // No console yet: its address is held by another process, and is waited for elsewhere.
                        end();
                    }
                });
    }

    /** The one end, also where the time is up first. */
    private void end() {
        if (!over) {
            over = true;
            done.run();
        }
    }

    /** One call: a line out, a line in, and the end. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(CALL));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            ctx.close();
        }

        /** The one place where a call that came up ends, whoever ended it. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            // By way of a timer: a task would run before sockets are looked at again.
            loop.schedule(SocketWarmUp.this::next, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
