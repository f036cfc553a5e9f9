package stagepier.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.exchange.Clock;
import stagepier.logging.RateLimitedWarning;

/**
 * Brings up the connections of links. Tries again while it is this machine that has no socket, port or route for a moment: that says
 * nothing of the server, and what waits on the link has not been sent.
 */
final class LinkOpener {
    private static final Logger LOG = LoggerFactory.getLogger(LinkOpener.class);
    private static final double WARN_EVERY = 10;
    private static final long RETRY_FIRST_MS = 2;
    private static final long RETRY_MOST_MS = 32;

    private final EventLoop loop;
    private final Clock clock;
    private final Connector connector;
    private final double within;
    private final RateLimitedWarning unreached =
            new RateLimitedWarning(LOG, "no connection to a cache server", WARN_EVERY);
    private long opened;

    /** @param within seconds after which it is not tried again */
    LinkOpener(EventLoop loop, Clock clock, Connector connector, double within) {
        this.loop = loop;
        this.clock = clock;
        this.connector = connector;
        this.within = within;
    }

    /** Connects a new link; what it was given waits until it is up, and ends where it never comes up. */
    void open(ServerLink link, InetSocketAddress address) {
        opened++;
        connect(new Opening(link, address, clock.now() + within), RETRY_FIRST_MS);
    }

    /** @param until when it is not tried again, in seconds of the clock */
    private record Opening(ServerLink link, InetSocketAddress address, double until) {}

    private void connect(Opening opening, long retryMs) {
        ChannelFuture up;
        try {
            up = connector.connect(
                    new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            opening.link().attach(channel);
                        }
                    },
                    opening.address());
        } catch (ChannelException e) {
            failed(opening, e, retryMs);
            return;
        }
        up.addListener(done -> {
            if (!done.isSuccess()) {
                failed(opening, done.cause(), retryMs);
            }
        });
    }

    private void failed(Opening opening, Throwable cause, long retryMs) {
        unreached.warn(clock.now(), opening.address() + ": " + cause.getMessage());
        ServerLink link = opening.link();
        if (!isLocal(cause)) {
            link.drop();
        } else if (!link.isOver()) {
            link.holdUpHere();
            if (clock.now() + retryMs / 1e3 < opening.until()) {
                loop.schedule(() -> retry(opening, retryMs), retryMs, TimeUnit.MILLISECONDS);
            } else {
                link.drop();
            }
        }
    }

    private void retry(Opening opening, long retryMs) {
        if (!opening.link().isOver()) {
            connect(opening, Math.min(RETRY_MOST_MS, 2 * retryMs));
        }
    }

    /** Whether it is this machine that could not connect, whatever the other is like. */
    private static boolean isLocal(Throwable cause) {
        return cause instanceof ChannelException
                || cause instanceof SocketException
                        && !(cause instanceof ConnectException)
                        && !(cause instanceof NoRouteToHostException);
    }

    /** Links that were to be connected. */
    long opened() {
        return opened;
    }

    /** Tries to connect that failed. */
    long failed() {
        return unreached.count();
    }
}
