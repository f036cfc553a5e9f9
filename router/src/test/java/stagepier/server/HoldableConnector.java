package stagepier.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Opens connections over loopback, immediately or, while it holds them, when a test releases them. */
public final class HoldableConnector implements Connector {
    private final EventLoop loop;
    private final int sendBuffer;
    private final BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();
    private volatile boolean held;

    /** @param sendBuffer size of the socket's send buffer in bytes; 0 for the default */
    public HoldableConnector(EventLoop loop, int sendBuffer) {
        this.loop = loop;
        this.sendBuffer = sendBuffer;
    }

    @Override
    public ChannelFuture connect(ChannelHandler initializer, InetSocketAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(initializer);
        if (sendBuffer > 0) {
            bootstrap.option(ChannelOption.SO_SNDBUF, sendBuffer);
        }
        Channel channel = bootstrap.register().channel();
        ChannelPromise up = channel.newPromise();
        Runnable connect = () -> loop.execute(() -> channel.connect(address, up));
        if (held) {
            waiting.add(connect);
        } else {
            connect.run();
        }
        return up;
    }

    /** Holds all connections from now on. */
    public void hold() {
        held = true;
    }

    /** Opens all held connections, and later ones immediately. */
    public void release() {
        held = false;
        List<Runnable> all = new ArrayList<>();
        waiting.drainTo(all);
        all.forEach(Runnable::run);
    }

    /** Waits for a connection that is held and returns the task that opens it. */
    public Runnable awaitHeld(long milliseconds) throws InterruptedException {
        Runnable next = waiting.poll(milliseconds, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("no connection was opened in time");
        }
        return next;
    }
}
