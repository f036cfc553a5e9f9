package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Controls whether a listening channel accepts connections: while its owner wants that, except for a moment after
 * accept has failed. This replaces Netty's handling of such a failure, which is to accept no connections for a second.
 * The first handler of the listening channel; on its event loop.
 */
public final class AcceptControl extends ChannelInboundHandlerAdapter {
    /** Long enough that a lasting failure costs little processor time. */
    private static final int RETRY_MS = 5;

    private final Consumer<Throwable> onFailure;
    private Channel channel;
    private boolean wanted = true;
    private boolean isRetryDue;

    /** @param onFailure called for each failure */
    public AcceptControl(Consumer<Throwable> onFailure) {
        this.onFailure = onFailure;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Accepts connections from now on, or leaves them in the backlog. */
    public void accept(boolean newWanted) {
        wanted = newWanted;
        apply();
    }

    /** Returns whether accept has just failed, so that connections may be waiting in the backlog. */
    public boolean isRetryDue() {
        return isRetryDue;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        onFailure.accept(cause);
        if (!isRetryDue) {
            isRetryDue = true;
            apply();
            channel.eventLoop().schedule(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        isRetryDue = false;
        apply();
    }

    private void apply() {
        channel.config().setAutoRead(wanted && !isRetryDue);
    }
}
