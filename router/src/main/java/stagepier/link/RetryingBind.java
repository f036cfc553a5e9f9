package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A socket that is bound as soon as that can be: its address may be held by the process that this one takes over from. Owns the
 * channel. On the event loop.
 */
public final class RetryingBind {
    private static final int AGAIN_MS = 200;

    private final EventLoop loop;
    private final Supplier<ChannelFuture> bind;
    private final Consumer<Throwable> waits;
    private Channel channel;
    private boolean stopped;
    private boolean waitReported;

    /**
     * @param bind  tries to bind, once; may throw a {@link ChannelException}
     * @param waits told why it has to wait, the first time only
     */
    public RetryingBind(EventLoop loop, Supplier<ChannelFuture> bind, Consumer<Throwable> waits) {
        this.loop = loop;
        this.bind = bind;
        this.waits = waits;
    }

    /** Binds, and tries until it can. */
    public void start() {
        if (stopped) {
            return;
        }
        ChannelFuture bound;
        try {
            bound = bind.get();
        } catch (ChannelException e) {
            again(e);
            return;
        }
        bound.addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                bound(done.channel());
            } else {
                again(done.cause());
            }
        });
    }

    /** Guards against a socket that an error has closed, and that nobody would miss. */
    private void bound(Channel own) {
        channel = own;
        own.closeFuture().addListener(closed -> {
            if (!stopped && !loop.isShuttingDown()) {
                channel = null;
                again(new ClosedChannelException());
            }
        });
    }

    private void again(Throwable cause) {
        if (!waitReported) {
            waitReported = true;
            waits.accept(cause);
        }
        loop.schedule(this::start, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the socket, or gives up trying. */
    public void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** The bound channel, or null while there is none. */
    public Channel channel() {
        return channel;
    }
}
