package stagepier.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.exchange.Clock;
import stagepier.logging.RateLimitedWarning;

/** Brings up the connections of links. */
final class LinkOpener {
    private static final Logger LOG = LoggerFactory.getLogger(LinkOpener.class);
    private static final double WARN_EVERY = 10;

    private final Clock clock;
    private final Connector connector;
    private final RateLimitedWarning unreached =
            new RateLimitedWarning(LOG, "no connection to a cache server", WARN_EVERY);
    private long opened;

    LinkOpener(Clock clock, Connector connector) {
        this.clock = clock;
        this.connector = connector;
    }

    /** Connects a new link; what it was given waits until it is up, and ends where it never comes up. */
    void open(ServerLink link, InetSocketAddress address) {
        opened++;
        connect(new Opening(link, address));
    }

    private record Opening(ServerLink link, InetSocketAddress address) {}

    private void connect(Opening opening) {
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
            failed(opening, e);
            return;
        }
        up.addListener(done -> {
            if (!done.isSuccess()) {
                failed(opening, done.cause());
            }
        });
    }

    private void failed(Opening opening, Throwable cause) {
        unreached.warn(clock.now(), opening.address() + ": " + cause.getMessage());
        opening.link().drop();
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
