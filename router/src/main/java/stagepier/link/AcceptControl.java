package stagepier.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Whether a listening channel accepts: while its owner wants that, and not in the moment after accept has failed. Guards against Netty's
 * own way with such a failure, which is to accept nobody for a second. The first handler of the listening channel; on its event loop.
 */
public final class AcceptControl extends ChannelInboundHandlerAdapter {
    /** Long enough that a lasting failure costs no processor time to speak of. */
    private static final int RETRY_MS = 5;

    private final Consumer<Throwable> failed;
    private Channel channel;
    private boolean isWanted = true;
    private boolean isRetryDue;

    /** @param failed is told of each failure */
    public AcceptControl(Consumer<Throwable> failed) {
        this.failed = failed;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Accepts from now on, or leaves connections in the backlog. */
    public void accept(boolean wanted) {
        isWanted = wanted;
        apply();
    }

    /** Whether accept has just failed, so that connections may be waiting in the backlog. */
    public boolean isRetryDue() {
        return isRetryDue;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failed.accept(cause);
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
        channel.config().setAutoRead(isWanted && !isRetryDue);
    }
}
