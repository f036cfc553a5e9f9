package stagepier.shadow;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stagepier.Api;
import stagepier.exchange.Clock;
import stagepier.overload.MemoryBudget;
import stagepier.server.Connector;

/** Owns the connections for copies. Used on the event loop. */
final class ShadowLinks implements ShadowLink.Owner {
    /** Connections per server; each carries one copy at a time. */
    private static final int MAX_LINKS_PER_SERVER = 2;
    /** Bytes of the values of copies that may be buffered at the same time. */
    private static final long MAX_BUFFERED_BYTES = 512 * 1024;
    /**
     * Maximum idle seconds of a link, and the fraction of the servers' own idle timeout at which a link is closed
     * before its server closes it.
     */
    private static final double MAX_IDLE_SECONDS = 10;

    private static final double MAX_IDLE_FRACTION = 0.5;

    private final EventLoop loop;
    private final Clock clock;
    private final Connector connector;
    private final int maxLinks;
    private final double maxIdleSeconds;
    private final List<ShadowLink> links = new ArrayList<>();
    private final MemoryBudget memory = new MemoryBudget(MAX_BUFFERED_BYTES);

    /**
     * @param maxLinks maximum number of links to all servers together
     * @param idleClose seconds after which servers close idle links; 0 for never
     */
    ShadowLinks(EventLoop loop, Clock clock, Connector connector, int maxLinks, double idleClose) {
        this.loop = loop;
        this.clock = clock;
        this.connector = connector;
        this.maxLinks = maxLinks;
        maxIdleSeconds = idleClose > 0 ? Math.min(MAX_IDLE_SECONDS, MAX_IDLE_FRACTION * idleClose) : MAX_IDLE_SECONDS;
    }

    @Override
    public double now() {
        return clock.now();
    }

    /**
     * Returns a free link to a server. If there is none, opens one for later use if the limits allow it, and returns
     * null.
     */
    ShadowLink acquire(long server, InetSocketAddress address) {
        int existing = 0;
        boolean opening = false;
        for (ShadowLink link : links) {
            if (link.server() == server) {
                if (link.isFree()) {
                    return link;
                }
                existing++;
                opening |= !link.isBusy();
            }
        }
        if (existing < MAX_LINKS_PER_SERVER && !opening && links.size() < maxLinks && address != null) {
            open(server, address);
        }
        return null;
    }

    private void open(long server, InetSocketAddress address) {
        ShadowLink link = new ShadowLink(this, server, memory);
        links.add(link);
        ChannelFuture up;
        try {
            up = connector.connect(
                    new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            link.attach(channel);
                        }
                    },
                    address);
        } catch (ChannelException e) {
            link.abandon();
            return;
        }
        up.addListener(done -> {
            if (!done.isSuccess()) {
                link.abandon();
            }
        });
    }

    /** Sends a copy; when it times out, its connection is closed. */
    void send(ShadowLink link, ShadowRequest request) {
        double now = now();
        request.sent(
                now,
                link.isWarm(),
                loop.schedule(
                        () -> {
                            request.complete(Api.Outcome.TIMEOUT, now());
                            link.abandon();
                        },
                        (long) (request.timeout() * 1e6),
                        TimeUnit.MICROSECONDS));
        link.send(request);
    }

    /** Returns whether a copy is in flight. */
    boolean isBusy() {
        return links.stream().anyMatch(ShadowLink::isBusy);
    }

    int size() {
        return links.size();
    }

    /** Closes idle links and all links to servers that must not be queried. */
    void closeUnused(java.util.function.LongPredicate mayQuery) {
        double now = now();
        for (ShadowLink link : new ArrayList<>(links)) {
            if (!mayQuery.test(link.server()) || !link.isBusy() && now - link.usedAt() > maxIdleSeconds) {
                link.abandon();
            }
        }
    }

    void closeAll() {
        new ArrayList<>(links).forEach(ShadowLink::abandon);
    }

    @Override
    public void closed(ShadowLink link) {
        links.remove(link);
    }
}
