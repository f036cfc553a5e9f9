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
 * Opens the connections of links. Retries if the connection failed for lack of a local socket, port or route: such a
 * failure says nothing about the server, and the requests queued on the link have not been sent.
 */
final class LinkOpener {
    private static final Logger LOG = LoggerFactory.getLogger(LinkOpener.class);
    private static final double WARN_INTERVAL = 10;
    private static final long RETRY_FIRST_MS = 2;
    private static final long RETRY_MAX_MS = 32;

    private final EventLoop loop;
    private final Clock clock;
    private final Connector connector;
    private final double retryFor;
    private final RateLimitedWarning failures =
            new RateLimitedWarning(LOG, "no connection to a cache server", WARN_INTERVAL);
    private long opened;

    /** @param retryFor seconds after which a connection is not retried */
    LinkOpener(EventLoop loop, Clock clock, Connector connector, double retryFor) {
        this.loop = loop;
        this.clock = clock;
        this.connector = connector;
        this.retryFor = retryFor;
    }

    /** Connects a new link. Requests queued on the link wait until it is up and end if it never comes up. */
    void open(ServerLink link, InetSocketAddress address) {
        opened++;
        connect(new Opening(link, address, clock.now() + retryFor), RETRY_FIRST_MS);
    }

    /** @param giveUpAt time after which the connection is not retried, in seconds of the clock */
    private record Opening(ServerLink link, InetSocketAddress address, double giveUpAt) {}

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
        failures.warn(clock.now(), opening.address() + ": " + cause.getMessage());
        ServerLink link = opening.link();
        if (!isLocal(cause)) {
            link.drop();
        } else if (!link.hasClosed()) {
            link.markLocalFailure();
            if (clock.now() + retryMs / 1e3 < opening.giveUpAt()) {
                loop.schedule(() -> retry(opening, retryMs), retryMs, TimeUnit.MILLISECONDS);
            } else {
                link.drop();
            }
        }
    }

    private void retry(Opening opening, long retryMs) {
        if (!opening.link().hasClosed()) {
            connect(opening, Math.min(RETRY_MAX_MS, 2 * retryMs));
        }
    }

    /** Whether the failure is local to this machine and independent of the server. */
    private static boolean isLocal(Throwable cause) {
        return cause instanceof ChannelException
                || cause instanceof SocketException
                        && !(cause instanceof ConnectException)
                        && !(cause instanceof NoRouteToHostException);
    }

    /** Number of links for which a connection was requested. */
    long opened() {
        return opened;
    }

    /** Number of connection attempts that failed. */
    long failed() {
        return failures.count();
    }
}
