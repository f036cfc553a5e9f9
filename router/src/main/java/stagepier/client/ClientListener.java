package stagepier.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.memcache.Command;
import stagepier.overload.BacklogWait;
import stagepier.overload.LoopDelay;
import stagepier.overload.Places;
import stagepier.overload.Pressure;

/**
 * Accepts clients; owns the listening socket and knows all client links. Keeps them to a number of places, so that
 * whatever clients do there are descriptors left for cache servers and discovery.
 */
public final class ClientListener {
    private static final int BACKLOG = 512;
    /** Links whose commands are taken in a row; then sockets are looked at again, for answers may have come. */
    private static final int WORKED_OFF_IN_A_ROW = 32;
    /** Memory that the buffers of all client links should stay under. */
    private static final long BYTES_MOST = 8 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    private static final double TOLD_EVERY = 1;
    /** While clients are sent away, their links are looked through so often. */
    private static final long SEND_AWAY_MS = 5;
    /** With all places taken a link lingers no longer than this, in seconds: those who wait for a place come first. */
    private static final double LINGERS_WHEN_FULL = 0.02;
    /** For so long at the most, in seconds, connections are accepted after the last moment at which clients are served. */
    private static final double LAST_ACCEPTED = 0.5;

    private final ModuleHost host;
    private final Supplier<String> stats;
    private final Drain drain;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    /** Links that are closed for their clients and still hold a descriptor, with the times since when. */
    private final Map<ClientLink, Double> lingering = new LinkedHashMap<>();
    private final EventLoop loop;
    private final Clock clock;
    private final LoopDelay delay;
    private final Places places;
    private final ServerChannelRecvByteBufAllocator rows = new ServerChannelRecvByteBufAllocator();
    private final BacklogWait backlog = new BacklogWait(Pressure.ACCEPTED_USUALLY);
    private final ArrayDeque<ClientLink> arrived = new ArrayDeque<>();
    private final long[] ended = new long[Places.Behaviour.values().length];
    private Channel listening;
    /** The listening socket is other processes' as well, and never closed here. */
    private boolean shared;
    private boolean accepting = true;
    private boolean sendingAway;
    /** Since when clients are turned away; NaN before. */
    private double lastSince = Double.NaN;
    private Places.Level level = Places.Level.PLENTY;
    private boolean full;
    private boolean working;
    private long held;
    private double toldAt = Double.NEGATIVE_INFINITY;
    private final long[] commands = new long[Command.Kind.values().length];
    private long opened;
    private long malformed;
    private long turnedAway;
    private long timesFull;

    /**
     * @param places how many links there may be
     * @param stats  the answer to {@code stats}, less its last line end
     * @param drain  whether clients are to stay
     */
    public ClientListener(EventLoop loop, Clock clock, LoopDelay delay, int places, ModuleHost host, Supplier<String> stats,
            Drain drain) {
        this.drain = drain;
        this.loop = loop;
        this.clock = clock;
        this.delay = delay;
        this.places = new Places(places, BYTES_MOST);
        rows.maxMessagesPerRead(Pressure.ACCEPTED_USUALLY);
        this.host = host;
        this.stats = stats;
    }

    /** How many connections are accepted in a row from now on. */
    public void acceptInARow(int most) {
        rows.maxMessagesPerRead(most);
        backlog.batch(most);
    }

    /** Listens on a socket of its own. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return listening(server(group).channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).bind(address));
    }

    /**
     * Accepts from a socket that listens already and is other processes' as well. It is never closed here: that would
     * lead descriptors 0 to 2 to nowhere, and the log with them.
     */
    public ChannelFuture listen(EventLoopGroup group, ServerSocketChannel passed) {
        shared = true;
        return listening(server(group).channelFactory(() -> new NioServerSocketChannel(passed)).register());
    }

    private ChannelFuture listening(ChannelFuture up) {
        listening = up.channel();
        lookAgain();
        return up;
    }

    private ServerBootstrap server(EventLoopGroup group) {
        return new ServerBootstrap().group(group)
                .option(ChannelOption.RECVBUF_ALLOCATOR, rows)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object child) {
                        backlog.accepts();
                        ctx.fireChannelRead(child);
                    }

                    @Override
                    public void channelReadComplete(ChannelHandlerContext ctx) {
                        backlog.rests(clock.now());
                        ctx.fireChannelReadComplete();
                    }
                })
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        adopt(channel);
                    }
                });
    }

    /** Serves a client on a channel that is being set up. */
    public void adopt(Channel channel) {
        new ClientLink(this, channel, backlog.cameAfter(clock.now()));
    }

    private void lookAgain() {
        loop.schedule(() -> {
            look();
            lookAgain();
        }, (long) (Places.lookAgain(level) * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Gives back the places of those who make no use of them. */
    private void look() {
        double now = clock.now();
        Places.Level was = level;
        level = places.level(now, placesTaken(), held);
        double late = delay.unreadFor(now);
        if (level != was || level != Places.Level.PLENTY) {
            tell(now);
        }
        for (ClientLink link : new ArrayList<>(links)) {
            Places.Behaviour behaviour = link.behaviour();
            // What a link has said may lie unread: it is no fault of the link that this router is late.
            if (now - link.since(behaviour) > Places.patience(behaviour, level) + late) {
                ended[behaviour.ordinal()] += link.giveUp(behaviour) ? 1 : 0;
            } else {
                link.resume();
            }
        }
        if (full) {
            cutShort(now);
        } else {
            backlog.idle(now);
        }
    }

    private void cutShort(double now) {
        for (Map.Entry<ClientLink, Double> one : List.copyOf(lingering.entrySet())) {
            if (now - one.getValue() >= LINGERS_WHEN_FULL) {
                one.getKey().cutShort();
            }
        }
    }

    private int placesTaken() {
        return links.size() + lingering.size();
    }

    /** An event for the operators while places are short, not more often than once a second. */
    private void tell(double now) {
        if (now - toldAt < TOLD_EVERY) {
            return;
        }
        toldAt = now;
        int[] of = new int[Places.Behaviour.values().length];
        links.forEach(link -> of[link.behaviour().ordinal()]++);
        var event = LOG.atInfo().addKeyValue("level", level).addKeyValue("links", links.size())
                .addKeyValue("accepting", !full).addKeyValue("opened", opened).addKeyValue("held", held);
        for (Places.Behaviour behaviour : Places.Behaviour.values()) {
            event = event.addKeyValue(behaviour.name(), of[behaviour.ordinal()]);
        }
        event.log("places");
    }

    /** Bytes have come on a link. They are worked off once all sockets have been read, so that answers go first. */
    void arrived(ClientLink link) {
        arrived.add(link);
        count(link);
        if (!working) {
            working = true;
            loop.execute(this::workOff);
        }
    }

    /** Takes the commands that have come, a batch at a time. Public for who has no event loop to wait for. */
    public void workOff() {
        for (int n = WORKED_OFF_IN_A_ROW; n > 0 && !arrived.isEmpty(); n--) {
            ClientLink link = arrived.remove();
            link.workOff();
            count(link);
        }
        working = !arrived.isEmpty();
        if (working) {
            // By way of a timer: a task would run before sockets are looked at again.
            loop.schedule(this::workOff, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void count(ClientLink link) {
        held += link.grown();
    }

    boolean hasMemory() {
        return places.hasMemory(held);
    }

    /** When bytes that are read now can have come at the earliest. */
    double cameAt(double now) {
        delay.reads(now);
        return now - delay.unreadFor(now);
    }

    /** Takes no more connections: what waits in the backlog is left to whoever has the socket as well. */
    public void stopAccepting() {
        accepting = false;
        if (listening != null && shared) {
            listening.config().setAutoRead(false);
        } else if (listening != null) {
            listening.close();
        }
    }

    /** The drain has begun: links are closed as it says until it ends. */
    public void sendAway() {
        if (!sendingAway) {
            sendingAway = true;
            sendNextAway();
        }
    }

    /**
     * Closes one idle link at a time. Guards against closing on a request that has just come: of each it is looked whether
     * something has come right before it is closed, and all sockets are read between one and the next.
     */
    private void sendNextAway() {
        double now = clock.now();
        Drain.Phase phase = drain.phase(now);
        if (phase == Drain.Phase.NONE) {
            sendingAway = false;
            return;
        }
        boolean closed = false;
        if (turnsAway()) {
            acceptLast(now);
        }
        if (phase != Drain.Phase.LINGER) {
            for (ClientLink link : new ArrayList<>(links)) {
                if (phase == Drain.Phase.LAST && !link.isFresh(now)) {
                    link.finish();
                } else if (link.leaveIfIdle(now)) {
                    closed = true;
                    break;
                }
            }
        }
        long next = closed ? (long) (drain.nextIn(now, links.size()) * 1e6) : SEND_AWAY_MS * 1000;
        loop.schedule(this::sendNextAway, next, TimeUnit.MICROSECONDS);
    }

    /** Whether this process is about to end and serves nothing new. */
    boolean turnsAway() {
        return drain.state() == Drain.State.ENDING && drain.phase(clock.now()) == Drain.Phase.LAST;
    }

    /**
     * Accepts who waits, and closes the listening socket once nobody does. Guards against connections that wait to be
     * accepted and would be reset with that socket: whoever asks on them gets an answer.
     */
    private void acceptLast(double now) {
        if (Double.isNaN(lastSince)) {
            lastSince = now;
        }
        if (listening == null || shared || !accepting) {
            return;
        }
        long before = opened;
        if (!full && listening.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        if (!full && opened == before || now - lastSince > LAST_ACCEPTED) {
            stopAccepting();
        }
    }

    /** Nobody is there, and nobody comes any more. */
    public boolean isOver() {
        return links.isEmpty() && lingering.isEmpty() && (listening == null || !accepting);
    }

    ModuleHost host() {
        return host;
    }

    /** The answer to {@code mn}. */
    String alive() {
        return drain.saysYes() ? "MN" : "SERVER_ERROR draining";
    }

    String stats() {
        return stats.get();
    }

    void opened(ClientLink link) {
        opened++;
        links.add(link);
        if (!places.hasPlace(placesTaken()) && !full) {
            // The next ones wait in the backlog: to accept and close at once would only make them come again.
            if (listening != null) {
                full = true;
                timesFull++;
                listening.config().setAutoRead(false);
            }
            // Not before all sockets of this turn have been read: who has asked by now is not silent.
            loop.execute(this::look);
        }
    }

    /** Nothing is taken or answered on it any more; it keeps its place until it is given back. */
    void closed(ClientLink link) {
        if (links.remove(link)) {
            lingering.put(link, clock.now());
        }
        count(link);
    }

    void givenBack(ClientLink link) {
        lingering.remove(link);
        count(link);
        if (full && places.hasPlace(placesTaken())) {
            full = false;
            listening.config().setAutoRead(accepting);
        }
    }

    void took(Command.Kind kind) {
        commands[kind.ordinal()]++;
    }

    double now() {
        return clock.now();
    }

    void turnedAway() {
        turnedAway++;
    }

    void malformed() {
        malformed++;
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("client_links", links.size());
        to.accept("client_links_lingering", lingering.size());
        to.accept("client_links_opened", opened);
        to.accept("client_places_full", timesFull);
        to.accept("client_requests_turned_away", turnedAway);
        to.accept("client_input_malformed", malformed);
        to.accept("client_bytes_held", held);
        for (Command.Kind kind : Command.Kind.values()) {
            to.accept("client_commands_" + kind.name().toLowerCase(Locale.ROOT), commands[kind.ordinal()]);
        }
        for (Places.Behaviour behaviour : Places.Behaviour.values()) {
            to.accept("client_links_given_up_" + behaviour.name().toLowerCase(Locale.ROOT), ended[behaviour.ordinal()]);
        }
    }
}
