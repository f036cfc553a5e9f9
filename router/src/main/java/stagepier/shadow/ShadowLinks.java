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

/** The connections for copies; owns them. On the event loop. */
final class ShadowLinks implements ShadowLink.Owner {
    /** To one server: one copy at a time is out on each. */
    private static final int TO_ONE = 2;
    /** Bytes of values of copies that are held at a time. */
    private static final long ROOM = 512 * 1024;
    /** Seconds after which one that is of no use is given back, before its server closes it. */
    private static final double IDLE_MOST = 10;

    private static final double IDLE_PART = 0.5;

    private final EventLoop loop;
    private final Clock clock;
    private final Connector connector;
    private final int most;
    private final double idleMost;
    private final List<ShadowLink> links = new ArrayList<>();
    private final MemoryBudget room = new MemoryBudget(ROOM);

    /**
     * @param most      links to all servers together
     * @param idleClose seconds after which servers close idle links; 0 for never
     */
    ShadowLinks(EventLoop loop, Clock clock, Connector connector, int most, double idleClose) {
        this.loop = loop;
        this.clock = clock;
        this.connector = connector;
        this.most = most;
        idleMost = idleClose > 0 ? Math.min(IDLE_MOST, IDLE_PART * idleClose) : IDLE_MOST;
    }

    @Override
    public double now() {
        return clock.now();
    }

    /** One that is free; where there is none, one is brought up for later if there may be one more, and null. */
    ShadowLink free(long server, InetSocketAddress address) {
        int there = 0;
        boolean opening = false;
        for (ShadowLink link : links) {
            if (link.server() == server) {
                if (link.isFree()) {
                    return link;
                }
                there++;
                opening |= !link.isBusy();
            }
        }
        if (there < TO_ONE && !opening && links.size() < most && address != null) {
            open(server, address);
        }
        return null;
    }

    private void open(long server, InetSocketAddress address) {
        ShadowLink link = new ShadowLink(this, server, room);
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
            link.drop();
            return;
        }
        up.addListener(done -> {
            if (!done.isSuccess()) {
                link.drop();
            }
        });
    }

    /** Sends a copy; when its time is up, its connection goes with it. */
    void ask(ShadowLink link, ShadowRequest ask) {
        double now = now();
        ask.sent(
                now,
                link.isSteady(),
                loop.schedule(
                        () -> {
                            ask.end(Api.Outcome.TIMEOUT, now());
                            link.drop();
                        },
                        (long) (ask.timeout() * 1e6),
                        TimeUnit.MICROSECONDS));
        link.ask(ask);
    }

    /** Whether a copy is out. */
    boolean isBusy() {
        return links.stream().anyMatch(ShadowLink::isBusy);
    }

    int size() {
        return links.size();
    }

    /** Gives back what is of no use, and all connections to servers that must not be asked. */
    void sweep(java.util.function.LongPredicate mayAsk) {
        double now = now();
        for (ShadowLink link : new ArrayList<>(links)) {
            if (!mayAsk.test(link.server()) || !link.isBusy() && now - link.usedAt() > idleMost) {
                link.drop();
            }
        }
    }

    void dropAll() {
        new ArrayList<>(links).forEach(ShadowLink::drop);
    }

    @Override
    public void closed(ShadowLink link) {
        links.remove(link);
    }
}
