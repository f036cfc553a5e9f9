package stagepier.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
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
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.exchange.ModuleHost;
import stagepier.invariants.InvariantMonitor;
import stagepier.link.CloseReason;
import stagepier.memcache.Command;
import stagepier.overload.ConnectionSlots;
import stagepier.overload.LoopDelay;
import stagepier.tasks.GuardedTask;

/**
 * Accepts clients; owns the listening socket and knows all client links. Keeps them to a number of slots, so that
 * whatever clients do there are descriptors left for cache servers and discovery.
 */
public final class ClientListener {
    /** Links whose commands are taken in a row; then sockets are looked at again, for answers may have come. */
    private static final int WORKED_OFF_IN_A_ROW = 32;
    /** Memory that the buffers of all client links should stay under. */
    private static final long BYTES_MOST = 8 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** What becomes of single requests, at debug level. */
    private static final Logger REQUESTS = LoggerFactory.getLogger("stagepier.requests");

    private static final double LOG_EVERY = 1;
    /** With all slots taken a link lingers no longer than this, in seconds: those who wait for a slot come first. */
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
    private final ConnectionSlots slots;
    private final ListeningSocket socket;
    private final ArrayDeque<ClientLink> arrived = new ArrayDeque<>();
    private final long[] ended = new long[ConnectionSlots.Behaviour.values().length];
    private final long[] closes = new long[CloseReason.values().length];
    /** Since when clients are turned away; NaN before. */
    private double lastSince = Double.NaN;

    private ConnectionSlots.Availability level = ConnectionSlots.Availability.PLENTY;
    private final GuardedTask slotsLook = new GuardedTask("look through the client links", this::look);
    private boolean working;
    private long held;
    private double loggedAt = Double.NEGATIVE_INFINITY;
    private final long[] commands = new long[Command.Kind.values().length];
    private long opened;
    private long malformed;
    private long turnedAway;
    private long timesFull;

    /**
     * @param slots how many links there may be
     * @param stats  the answer to {@code stats}, less its last line end
     * @param drain  whether clients are to stay
     */
    public ClientListener(
            EventLoop loop,
            Clock clock,
            LoopDelay delay,
            int slots,
            ModuleHost host,
            Supplier<String> stats,
            Drain drain) {
        this.drain = drain;
        this.loop = loop;
        this.clock = clock;
        this.delay = delay;
        this.slots = new ConnectionSlots(slots, BYTES_MOST);
        socket = new ListeningSocket(clock, this::adopt);
        this.host = host;
        this.stats = stats;
        new ClientDrain(loop, clock, drain, links, this::acceptLast, host.invariants());
    }

    /** How many connections are accepted in a row from now on. */
    public void setAcceptBatch(int most) {
        socket.batch(most);
    }

    /** Listens on a socket of its own. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture up = socket.listen(group, address);
        lookAgain();
        return up;
    }

    /**
     * Accepts from a socket that listens already and is other processes' as well. It is never closed here: that would
     * lead descriptors 0 to 2 to nowhere, and the log with them.
     */
    public ChannelFuture listen(EventLoopGroup group, ServerSocketChannel passed) {
        ChannelFuture up = socket.listen(group, passed);
        lookAgain();
        return up;
    }

    /** Serves a client on a channel that is being set up. */
    public void adopt(Channel channel) {
        new ClientLink(this, channel, socket.earliestArrival());
    }

    private void lookAgain() {
        loop.schedule(
                () -> {
                    slotsLook.run();
                    lookAgain();
                },
                (long) (ConnectionSlots.checkInterval(level) * 1e6),
                TimeUnit.MICROSECONDS);
    }

    /** Gives back the slots of those who make no use of them. */
    private void look() {
        double now = clock.now();
        ConnectionSlots.Availability was = level;
        level = slots.level(now, slotsTaken(), held);
        double late = delay.unreadFor(now);
        if (level != was || level != ConnectionSlots.Availability.PLENTY) {
            logPressure(now);
        }
        for (ClientLink link : new ArrayList<>(links)) {
            ConnectionSlots.Behaviour behaviour = link.behaviour();
            // What a link has said may lie unread: it is no fault of the link that this router is late.
            if (now - link.since(behaviour) > ConnectionSlots.holdLimit(behaviour, level) + late) {
                act(link, impatient -> ended[behaviour.ordinal()] += impatient.giveUp(behaviour) ? 1 : 0);
            } else {
                act(link, ClientLink::resume);
            }
        }
        if (socket.isPaused()) {
            cutShort(now);
        } else {
            socket.nobodyWaits();
        }
    }

    private void cutShort(double now) {
        for (Map.Entry<ClientLink, Double> one : List.copyOf(lingering.entrySet())) {
            if (now - one.getValue() >= LINGERS_WHEN_FULL) {
                one.getKey().cutShort();
            }
        }
    }

    private int slotsTaken() {
        return links.size() + lingering.size();
    }

    /** An event for the operators while slots are short, not more often than once a second. */
    private void logPressure(double now) {
        if (now - loggedAt < LOG_EVERY) {
            return;
        }
        loggedAt = now;
        int[] of = new int[ConnectionSlots.Behaviour.values().length];
        links.forEach(link -> of[link.behaviour().ordinal()]++);
        var event = LOG.atInfo()
                .addKeyValue("level", level)
                .addKeyValue("links", links.size())
                .addKeyValue("accepting", !socket.isPaused())
                .addKeyValue("opened", opened)
                .addKeyValue("held", held);
        for (ConnectionSlots.Behaviour behaviour : ConnectionSlots.Behaviour.values()) {
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
            act(link, ClientLink::workOff);
            count(link);
        }
        working = !arrived.isEmpty();
        if (working) {
            // By way of a timer: a task would run before sockets are looked at again.
            loop.schedule(this::workOff, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Guards against a fault on one link keeping all others from being served or closed. */
    static void act(ClientLink link, Consumer<ClientLink> action) {
        try {
            action.accept(link);
        } catch (RuntimeException e) {
            LOG.error("a client link failed", e);
            link.fail();
        }
    }

    private void count(ClientLink link) {
        held += link.grown();
    }

    boolean hasMemory() {
        return slots.hasMemory(held);
    }

    /** When bytes that are read now can have come at the earliest. */
    double cameAt(double now) {
        delay.onRead(now);
        return now - delay.unreadFor(now);
    }

    /** Takes no more connections: what waits in the backlog is left to whoever has the socket as well. */
    public void stopAccepting() {
        socket.stop();
    }

    /** Whether idle links are closed now. */
    boolean sendsLinksAway() {
        Drain.Phase phase = drain.phase(clock.now());
        return phase == Drain.Phase.LEAVE || phase == Drain.Phase.LAST;
    }

    /** Whether nothing new is served. */
    boolean rejectsRequests() {
        return drain.rejectsRequests(clock.now());
    }

    /**
     * Accepts who waits, and closes the listening socket once nobody does. Guards against connections that wait to be
     * accepted and would be reset with that socket: whoever asks on them gets an answer.
     */
    private void acceptLast(double now) {
        if (Double.isNaN(lastSince)) {
            lastSince = now;
        }
        if (!socket.isOwn() || socket.isOver()) {
            return;
        }
        long before = opened;
        if (!socket.isPaused()) {
            socket.acceptNow();
        }
        boolean nobodyWaits = !socket.isPaused() && !socket.isRetryDue() && opened == before;
        if (nobodyWaits || now - lastSince > LAST_ACCEPTED) {
            stopAccepting();
        }
    }

    /** Nobody is there, and nobody comes any more. */
    public boolean isOver() {
        return links.isEmpty() && lingering.isEmpty() && socket.isOver();
    }

    ModuleHost host() {
        return host;
    }

    InvariantMonitor invariants() {
        return host.invariants();
    }

    /** Whether this process has said that it serves. */
    boolean hasStarted() {
        return drain.state() != Drain.State.STARTING;
    }

    /** The answer to {@code mn}. */
    String alive() {
        return drain.reportsAlive() ? "MN" : "SERVER_ERROR draining";
    }

    String stats() {
        return stats.get();
    }

    void opened(ClientLink link) {
        opened++;
        links.add(link);
        if (!slots.hasSlot(slotsTaken()) && !socket.isPaused()) {
            // The next ones wait in the backlog: to accept and close at once would only make them come again.
            if (socket.isListening()) {
                timesFull++;
                socket.pause();
            }
            // Not before all sockets of this turn have been read: who has asked by now is not silent.
            loop.execute(this::look);
        }
    }

    /** Nothing is taken or answered on it any more; it keeps its slot until it is given back. */
    void closed(ClientLink link) {
        closes[link.closeReason().ordinal()]++;
        if (links.remove(link)) {
            lingering.put(link, clock.now());
        }
        count(link);
    }

    void givenBack(ClientLink link) {
        lingering.remove(link);
        count(link);
        if (socket.isPaused() && slots.hasSlot(slotsTaken())) {
            socket.resume();
        }
    }

    void took(Command.Kind kind) {
        commands[kind.ordinal()]++;
    }

    double now() {
        return clock.now();
    }

    void turnedAway(Command command) {
        turnedAway++;
        REQUESTS.debug("id={} turned away drain={}", command.id(), drain.state());
    }

    void malformed() {
        malformed++;
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("client_links", links.size());
        to.accept("client_links_lingering", lingering.size());
        to.accept("client_links_opened", opened);
        to.accept("client_accepts_failed", socket.failures());
        to.accept("client_places_full", timesFull);
        to.accept("client_requests_turned_away", turnedAway);
        to.accept("client_input_malformed", malformed);
        to.accept("client_bytes_held", held);
        for (Command.Kind kind : Command.Kind.values()) {
            to.accept("client_commands_" + kind.name().toLowerCase(Locale.ROOT), commands[kind.ordinal()]);
        }
        for (CloseReason reason : CloseReason.values()) {
            to.accept("client_links_closed_" + reason.name().toLowerCase(Locale.ROOT), closes[reason.ordinal()]);
        }
        for (ConnectionSlots.Behaviour behaviour : ConnectionSlots.Behaviour.values()) {
            to.accept("client_links_given_up_" + behaviour.name().toLowerCase(Locale.ROOT), ended[behaviour.ordinal()]);
        }
    }
}
