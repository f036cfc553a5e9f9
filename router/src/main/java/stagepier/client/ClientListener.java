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
import stagepier.memcache.Protocol;
import stagepier.overload.ClientMemory;
import stagepier.overload.ConnectionSlots;
import stagepier.overload.InputAdmission;
import stagepier.overload.LoopDelay;
import stagepier.overload.MemoryBudget;
import stagepier.tasks.GuardedTask;

/**
 * Accepts clients; owns the listening socket and all client links. Limits the number of links to a number of slots, so
 * that descriptors remain for cache servers and discovery, whatever clients do.
 */
public final class ClientListener {
    /**
     * Number of links whose commands are processed in a row before the sockets are polled again, since answers may have
     * arrived.
     */
    private static final int LINKS_PER_BATCH = 32;
    /** Limit for the buffered input of all client links, in bytes. */
    private static final long INPUT_BYTES_MAX = 8 << 20;
    /** Buffered input of all client links, in bytes, up to which links read behind commands that they may not take. */
    private static final long READ_AHEAD_BYTES_MAX = INPUT_BYTES_MAX / 4;

    /** Limit for large values that are collected because commands are pending behind them, in bytes. */
    private static final long WHOLE_VALUE_BYTES_MAX = 12 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** Logs the outcome of single requests at debug level. */
    private static final Logger REQUESTS = LoggerFactory.getLogger("stagepier.requests");

    private static final double LOG_INTERVAL = 1;
    /** In seconds. Limit for lingering while all slots are taken, because waiting connections have priority. */
    private static final double LINGER_WHEN_FULL_MAX = 0.02;
    /** In seconds. Limit for accepting connections after the last moment at which clients are served. */
    private static final double FINAL_ACCEPT_MAX = 0.5;

    private final ModuleHost host;
    private final Supplier<String> stats;
    private final Drain drain;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    /** Links that are closed for their clients but still hold a descriptor, with the times since when. */
    private final Map<ClientLink, Double> lingering = new LinkedHashMap<>();

    private final EventLoop loop;
    private final Clock clock;
    private final LoopDelay delay;
    private final ConnectionSlots slots;
    private final MemoryBudget wholeValueMemory = new MemoryBudget(WHOLE_VALUE_BYTES_MAX);
    private final InputAdmission inputAdmission = new InputAdmission(INPUT_BYTES_MAX);
    private final ClientMemory memory = new ClientMemory(Protocol.LARGEST_VALUE);
    private final ListeningSocket socket;
    private final ArrayDeque<ClientLink> readyLinks = new ArrayDeque<>();
    private final long[] slotsGivenUp = new long[ConnectionSlots.Behaviour.values().length];
    private final long[] closesByReason = new long[CloseReason.values().length];
    /** Time since which requests are rejected and the backlog is emptied; NaN before that. */
    private double finalAcceptSince = Double.NaN;

    private ConnectionSlots.Availability level = ConnectionSlots.Availability.PLENTY;
    private final GuardedTask slotCheck = new GuardedTask("check of client link slots", this::checkSlots);
    private boolean processing;
    private double loggedAt = Double.NEGATIVE_INFINITY;
    private final long[] commands = new long[Command.Kind.values().length];
    private long opened;
    private long malformed;
    private long rejected;
    private long timesSlotsFull;
    private long valuesDropped;

    /**
     * @param slots maximum number of links
     * @param stats the answer to {@code stats}, without its last line end
     * @param drain state of the drain, which decides when links are closed
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
        this.slots = new ConnectionSlots(slots, INPUT_BYTES_MAX);
        socket = new ListeningSocket(clock, this::adopt);
        this.host = host;
        this.stats = stats;
        new ClientDrain(loop, clock, drain, links, this::acceptRemaining, host.invariants());
    }

    /** Sets how many connections are accepted in a row. */
    public void setAcceptBatch(int limit) {
        socket.setBatchLimit(limit);
    }

    /** Listens on a socket of this process. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        ChannelFuture up = socket.listen(group, address);
        scheduleSlotCheck();
        return up;
    }

    /**
     * Accepts connections from a listening socket that is shared with other processes. It is never closed here: closing
     * it would redirect the descriptors 0 to 2, and with them the log, to nowhere.
     */
    public ChannelFuture listen(EventLoopGroup group, ServerSocketChannel existing) {
        ChannelFuture up = socket.listen(group, existing);
        scheduleSlotCheck();
        return up;
    }

    /** Serves a client on a channel that is being initialized. */
    public void adopt(Channel channel) {
        new ClientLink(this, channel, socket.earliestArrival());
    }

    /** Starts the periodic check of the slots. */
    void scheduleSlotCheck() {
        loop.schedule(
                () -> {
                    try {
                        slotCheck.run();
                    } finally {
                        scheduleSlotCheck();
                    }
                },
                (long) (ConnectionSlots.checkInterval(level) * 1e6),
                TimeUnit.MICROSECONDS);
    }

    /** Closes links that hold their slots for too long without using them. */
    private void checkSlots() {
        double now = clock.now();
        ConnectionSlots.Availability previous = level;
        level = slots.level(now, slotsTaken(), memory.inputBytes());
        double inputDelay = delay.unreadFor(now);
        if (level != previous || level != ConnectionSlots.Availability.PLENTY) {
            logPressure(now);
        }
        for (ClientLink link : new ArrayList<>(links)) {
            link.runGuarded(link::checkReading);
            ConnectionSlots.Behaviour behaviour = link.behaviour();
            // Input of the link may lie unread: the delay of this router must not count against the client.
            if (now - link.since(behaviour) > ConnectionSlots.holdLimit(behaviour, level) + inputDelay) {
                link.runGuarded(() -> slotsGivenUp[behaviour.ordinal()] += link.giveUpSlot(behaviour) ? 1 : 0);
            } else {
                link.runGuarded(link::resume);
            }
        }
        if (socket.isPaused()) {
            endLingering(now);
        } else {
            socket.onIdle();
        }
    }

    private void endLingering(double now) {
        for (Map.Entry<ClientLink, Double> entry : List.copyOf(lingering.entrySet())) {
            if (now - entry.getValue() >= LINGER_WHEN_FULL_MAX) {
                entry.getKey().endLingering();
            }
        }
    }

    private int slotsTaken() {
        return links.size() + lingering.size();
    }

    /** Logs the use of slots while they are scarce, at most once per second. */
    private void logPressure(double now) {
        if (now - loggedAt < LOG_INTERVAL) {
            return;
        }
        loggedAt = now;
        int[] counts = new int[ConnectionSlots.Behaviour.values().length];
        links.forEach(link -> counts[link.behaviour().ordinal()]++);
        var event = LOG.atInfo()
                .addKeyValue("level", level)
                .addKeyValue("links", links.size())
                .addKeyValue("accepting", !socket.isPaused())
                .addKeyValue("opened", opened)
                .addKeyValue("held", memory.heldBytes())
                .addKeyValue("reserved", memory.reservedBytes());
        for (ConnectionSlots.Behaviour behaviour : ConnectionSlots.Behaviour.values()) {
            event = event.addKeyValue(behaviour.name(), counts[behaviour.ordinal()]);
        }
        event.log("places");
    }

    /**
     * Queues a link on which bytes have arrived. They are processed once all sockets have been read, so that answers of
     * cache servers come first.
     */
    void onBytes(ClientLink link) {
        readyLinks.add(link);
        if (!processing) {
            loop.execute(this::workOff);
            processing = true;
        }
    }

    /**
     * Processes the commands that have arrived, one batch at a time. Public for callers that cannot wait for an event
     * loop.
     */
    public void workOff() {
        try {
            for (int n = LINKS_PER_BATCH; n > 0 && !readyLinks.isEmpty(); n--) {
                ClientLink link = readyLinks.remove();
                link.runGuarded(link::processQueued);
            }
        } finally {
            processing = false;
            scheduleNextBatch();
        }
    }

    private void scheduleNextBatch() {
        if (!readyLinks.isEmpty()) {
            // Uses a timer, because a task would run before the sockets are polled again.
            loop.schedule(this::workOff, 0, TimeUnit.NANOSECONDS);
            processing = true;
        }
    }

    /** Returns the memory account of a new link. */
    ClientMemory.Account openMemoryAccount() {
        return memory.open();
    }

    /** Returns the claim of a new link to the memory for long commands. */
    InputAdmission.Claim openInputClaim(ClientLink link) {
        return inputAdmission.open(() -> {
            link.onInputAdmitted();
            // Reads in a task: the caller is in a step of the link that has given the memory back.
            loop.execute(() -> link.runGuarded(link::resume));
        });
    }

    /**
     * Whether a link may buffer more than a minimum of input that is not part of an admitted command. It is only needed
     * to detect that a client has gone, so it leaves most of the memory to commands.
     */
    boolean hasReadAheadMemory() {
        return memory.inputBytes() < READ_AHEAD_BYTES_MAX;
    }

    /** The memory for large values that are collected before their answers begin. */
    MemoryBudget wholeValueMemory() {
        return wholeValueMemory;
    }

    /** Runs a step in a task of its own. */
    void execute(Runnable step) {
        loop.execute(step);
    }

    /** Runs a step at a time of the clock, in seconds. */
    void executeAt(double time, Runnable step) {
        loop.schedule(step, (long) Math.ceil(Math.max(0, time - clock.now()) * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Notes the length of a value that has come for a client. */
    void onValue(int length) {
        memory.onValue(length);
    }

    /** Whether a value has to be dropped for want of memory; counts it if so. */
    boolean dropsValue(boolean behindUnread) {
        boolean drops = memory.isFull(behindUnread);
        valuesDropped += drops ? 1 : 0;
        return drops;
    }

    /** Whether so much is owed to clients that no request can be taken. */
    boolean isMemoryExhausted() {
        return memory.isExhausted();
    }

    /** The earliest time at which bytes that are read now can have arrived. */
    double earliestArrival(double now) {
        delay.onRead(now);
        return now - delay.unreadFor(now);
    }

    /** Stops accepting connections; those in the backlog are left to the other processes that share the socket. */
    public void stopAccepting() {
        socket.stop();
    }

    /** Whether a drain closes idle links now. */
    boolean closesIdleLinks() {
        Drain.Phase phase = drain.phase(clock.now());
        return phase == Drain.Phase.CLOSE_IDLE || phase == Drain.Phase.LAST;
    }

    /** Whether new requests are rejected. */
    boolean rejectsRequests() {
        return drain.rejectsRequests(clock.now());
    }

    /**
     * Accepts the connections in the backlog, and closes the listening socket once the backlog is empty. Connections in
     * the backlog would otherwise be reset with the socket; this way their requests get an answer.
     */
    private void acceptRemaining(double now) {
        if (Double.isNaN(finalAcceptSince)) {
            finalAcceptSince = now;
        }
        if (!socket.isOwn() || socket.isOver()) {
            return;
        }
        long before = opened;
        if (!socket.isPaused()) {
            socket.acceptNow();
        }
        boolean backlogEmpty = !socket.isPaused() && !socket.isRetryDue() && opened == before;
        if (backlogEmpty || now - finalAcceptSince > FINAL_ACCEPT_MAX) {
            stopAccepting();
        }
    }

    /** Whether no link is left and no further connection is accepted. */
    public boolean isOver() {
        return links.isEmpty() && lingering.isEmpty() && socket.isOver();
    }

    ModuleHost host() {
        return host;
    }

    InvariantMonitor invariants() {
        return host.invariants();
    }

    /** Whether this process has reported that it serves. */
    boolean hasStarted() {
        return drain.state() != Drain.State.STARTING;
    }

    /** The answer to {@code mn}. */
    String aliveAnswer() {
        return drain.reportsAlive() ? "MN" : "SERVER_ERROR draining";
    }

    String statsAnswer() {
        return stats.get();
    }

    void onOpened(ClientLink link) {
        opened++;
        links.add(link);
        if (!slots.hasSlot(slotsTaken()) && !socket.isPaused()) {
            // Further connections wait in the backlog: accepting and closing them immediately would only make clients
            // reconnect.
            if (socket.isListening()) {
                timesSlotsFull++;
                socket.pause();
            }
            // Deferred until all sockets of this iteration have been read: a client whose request has arrived by now is
            // not silent.
            loop.execute(this::checkSlots);
        }
    }

    /** Notes that nothing is taken or answered on the link any more; it keeps its slot until the channel is closed. */
    void onClosed(ClientLink link) {
        closesByReason[link.closeReason().ordinal()]++;
        if (links.remove(link)) {
            lingering.put(link, clock.now());
        }
    }

    void onChannelClosed(ClientLink link) {
        lingering.remove(link);
        if (socket.isPaused() && slots.hasSlot(slotsTaken())) {
            socket.resume();
        }
    }

    void onCommand(Command.Kind kind) {
        commands[kind.ordinal()]++;
    }

    double now() {
        return clock.now();
    }

    void onRejected(Command command) {
        rejected++;
        REQUESTS.debug(
                "id={} turned away drain={} memory={}",
                command.id(),
                drain.state(),
                memory.isExhausted() ? "exhausted" : "enough");
    }

    void onMalformed() {
        malformed++;
    }

    public void count(ObjLongConsumer<String> to) {
        to.accept("client_links", links.size());
        to.accept("client_links_lingering", lingering.size());
        to.accept("client_links_opened", opened);
        to.accept("client_accepts_failed", socket.failures());
        to.accept("client_places_full", timesSlotsFull);
        to.accept("client_requests_turned_away", rejected);
        to.accept("client_input_malformed", malformed);
        to.accept("client_links_waiting_for_memory", inputAdmission.waiting());
        to.accept("client_bytes_held", memory.heldBytes());
        to.accept("client_bytes_reserved", memory.reservedBytes());
        to.accept("client_values_dropped", valuesDropped);
        to.accept("client_whole_values_waited", wholeValueMemory.waits());
        for (Command.Kind kind : Command.Kind.values()) {
            to.accept("client_commands_" + kind.name().toLowerCase(Locale.ROOT), commands[kind.ordinal()]);
        }
        for (CloseReason reason : CloseReason.values()) {
            to.accept(
                    "client_links_closed_" + reason.name().toLowerCase(Locale.ROOT), closesByReason[reason.ordinal()]);
        }
        for (ConnectionSlots.Behaviour behaviour : ConnectionSlots.Behaviour.values()) {
            to.accept(
                    "client_links_given_up_" + behaviour.name().toLowerCase(Locale.ROOT),
                    slotsGivenUp[behaviour.ordinal()]);
        }
    }
}
