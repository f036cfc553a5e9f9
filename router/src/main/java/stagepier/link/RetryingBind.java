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
 * Binds a socket, with retries until that succeeds: the address may still be held by the process that this one
 * replaces. Owns the channel. On the event loop.
 */
public final class RetryingBind {
    private static final int RETRY_DELAY_MS = 200;

    private final EventLoop loop;
    private final Supplier<ChannelFuture> bind;
    private final Consumer<Throwable> onFirstFailure;
    private Channel channel;
    private boolean stopped;
    private boolean failureReported;

    /**
     * @param bind           tries to bind once; may throw a {@link ChannelException}
     * @param onFirstFailure called with the cause of the first failure only
     */
    public RetryingBind(EventLoop loop, Supplier<ChannelFuture> bind, Consumer<Throwable> onFirstFailure) {
        this.loop = loop;
        this.bind = bind;
        this.onFirstFailure = onFirstFailure;
    }

    /** Binds the socket, with retries until that succeeds. */
    public void start() {
        if (stopped) {
            return;
        }
        ChannelFuture bound;
        try {
            bound = bind.get();
        } catch (ChannelException e) {
            scheduleRetry(e);
            return;
        }
        bound.addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                onBound(done.channel());
            } else {
                scheduleRetry(done.cause());
            }
        });
    }

    /** Binds again when an error has closed the socket, which would otherwise go unnoticed. */
    private void onBound(Channel newChannel) {
        channel = newChannel;
        newChannel.closeFuture().addListener(closed -> {
            if (!stopped && !loop.isShuttingDown()) {
                channel = null;
                scheduleRetry(new ClosedChannelException());
            }
        });
    }

    private void scheduleRetry(Throwable cause) {
        if (!failureReported) {
            failureReported = true;
            onFirstFailure.accept(cause);
        }
        loop.schedule(this::start, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the socket, or stops retrying. */
    public void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Returns the bound channel, or null if there is none. */
    public Channel channel() {
        return channel;
    }
}
