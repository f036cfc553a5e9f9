package stagepier.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;

/**
 * Accepts clients; owns the listening socket and knows all client links. Keeps them to a number of places, so that
 * whatever clients do there are descriptors left for cache servers and discovery.
 */
public final class ClientListener {
    private static final int BACKLOG = 512;
    private static final int CHECK_MS = 200;
    /** Seconds within which a first command must come, and any command whole once it has begun. */
    private static final double PATIENCE = 2;
    private static final double PATIENCE_SCARCE = 1;
    private static final double PATIENCE_FULL = 0.3;
    /** For so long after the places were full they count as scarce: who came then has waited in the backlog. */
    private static final double FULL_REMEMBERED = 2;
    /** Seconds after which a link may be closed on which nothing is open. */
    private static final double IDLE_LEAST = 2;
    /** The same while places are plenty: clients keep their links, and a new one costs them time. */
    private static final double IDLE_MOST = 30;
    /** Part of the places from which on idle links are closed as soon as they may be. */
    private static final double SCARCE_FROM = 0.5;
    /** Bytes for each place that the buffers of all links may take before half-sent commands lose patience. */
    private static final int BYTES_A_PLACE = 12 * 1024;

    private final ModuleHost host;
    private final Supplier<String> stats;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private final EventLoop loop;
    private final Clock clock;
    private final int places;
    private Channel listening;
    private boolean full;
    /** When it was last full. */
    private double fullAt = Double.NEGATIVE_INFINITY;
    private long opened;
    private long malformed;
    private long timesFull;

    /**
     * @param places how many links there may be
     * @param stats  the answer to {@code stats}, less its last line end
     */
    public ClientListener(EventLoop loop, Clock clock, int places, ModuleHost host, Supplier<String> stats) {
        this.loop = loop;
        this.clock = clock;
        this.places = places;
        this.host = host;
        this.stats = stats;
    }

    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        adopt(channel);
                    }
                }).bind(address);
        listening = bound.channel();
        loop.scheduleWithFixedDelay(this::check, CHECK_MS, CHECK_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Serves a client on a channel that is being set up. */
    public void adopt(Channel channel) {
        new ClientLink(this, channel);
    }

    private void check() {
        double now = clock.now();
        long held = links.stream().mapToLong(ClientLink::heldBytes).sum();
        boolean scarce = links.size() > SCARCE_FROM * places || now - fullAt < FULL_REMEMBERED;
        // Clients ask as soon as they connect: while places or memory are short, who has not has no claim to them.
        double patience = full || held > (long) BYTES_A_PLACE * places ? PATIENCE_FULL
                : scarce ? PATIENCE_SCARCE : PATIENCE;
        double idleMost = scarce ? IDLE_LEAST : IDLE_MOST;
        new ArrayList<>(links).forEach(link -> link.check(now, patience, idleMost));
    }

    /** Takes no more connections and no more requests; links close when all they took is answered. */
    public void leave() {
        if (listening != null) {
            listening.close();
        }
        new ArrayList<>(links).forEach(ClientLink::leave);
    }

    public boolean isEmpty() {
        return links.isEmpty();
    }

    ModuleHost host() {
        return host;
    }

    String stats() {
        return stats.get();
    }

    void opened(ClientLink link) {
        opened++;
        links.add(link);
        if (links.size() >= places && !full) {
            // The next ones wait in the backlog: to accept and close at once would only make them come again.
            full = true;
            timesFull++;
            listening.config().setAutoRead(false);
        }
    }

    void closed(ClientLink link) {
        links.remove(link);
        if (full && links.size() < places) {
            full = false;
            fullAt = clock.now();
            listening.config().setAutoRead(true);
        }
    }

    double now() {
        return clock.now();
    }

    void malformed() {
        malformed++;
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("client_links", links.size());
        to.accept("client_links_opened", opened);
        to.accept("client_places_full", timesFull);
        to.accept("client_input_malformed", malformed);
    }
}
