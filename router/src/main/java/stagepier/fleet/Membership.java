package stagepier.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.fleet.FleetView.Facts;
import stagepier.fleet.FleetView.Member;
import stagepier.fleet.FleetView.State;
import stagepier.fleet.MembershipMessages.AgeRequest;
import stagepier.fleet.MembershipMessages.AgeResponse;
import stagepier.fleet.MembershipMessages.Ping;
import stagepier.fleet.MembershipMessages.Pong;
import stagepier.fleet.MembershipMessages.Sync;
import stagepier.tasks.Tasks;

/**
 * Maintains the membership view of the fleet: probes the other members in turn, probes silent members indirectly, and
 * forwards updates. The rate of messages does not depend on the size of the fleet. The rules are in
 * {@link MemberTable}; see {@code docs/fleet.md}.
 */
public final class Membership implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final int PROBERS = 4;
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);
    private static final Duration INDIRECT_PROBE_TIMEOUT = Duration.ofMillis(200);
    private static final Duration MIN_PAUSE = Duration.ofMillis(20);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration SYNC_INTERVAL = Duration.ofSeconds(1);
    private static final int SYNC_PART_SIZE = 64;
    private static final int MANY_UPDATES = 8;
    private static final int MAX_RELAYS = 3;
    private static final int MAX_NAMES_IN_STATUS = 8;
    /**
     * Incarnations per millisecond of the wall clock, of which one is drawn at random, so that two starts in the same
     * millisecond get different incarnations.
     */
    private static final int INCARNATIONS_PER_MS = 1_000;

    private final Tasks tasks;
    private final FleetRpc rpc;
    private final FleetConfig config;
    private final History history;
    private final Random random;
    /** State and rules of the view. Its monitor is held briefly, never while waiting. */
    private final MemberTable table;

    private volatile FleetView view;
    private volatile Facts ownFacts = Facts.NONE;

    public Membership(Tasks tasks, FleetRpc rpc, FleetConfig config, History history, long seed) {
        this.tasks = tasks;
        this.rpc = rpc;
        this.config = config;
        this.history = history;
        random = new Random(seed);
        long incarnation = tasks.wall().millis() * INCARNATIONS_PER_MS + random.nextInt(INCARNATIONS_PER_MS);
        table = new MemberTable(config, incarnation, tasks.nanoTime(), random);
        view = table.changedView();
    }

    /** Returns the current view. May be called from any thread. */
    public FleetView view() {
        return view;
    }

    /** Sets the facts that this router publishes from its next tick on. Never waits; the event loop may call it. */
    public void facts(Facts facts) {
        ownFacts = facts;
    }

    /** Announces an orderly end of this process to some members, which forward it. Does not wait for that. */
    public void leave() {
        tasks.start("view-leave", () -> {
            List<Peer> recipients = new ArrayList<>();
            synchronized (table) {
                table.leave();
                for (int i = 0; i < 2 * MAX_RELAYS && i < config.members().size() - 1; i++) {
                    Peer p = table.probeOrder().next(tasks.nanoTime());
                    if (p != null) {
                        recipients.add(p);
                    }
                }
            }
            for (Peer p : recipients) {
                probe(p);
            }
        });
    }

    @Override
    public void start() {
        rpc.answer("view", this::answer);
        for (int i = 0; i < PROBERS; i++) {
            tasks.start("view-prober-" + i, this::probeLoop);
        }
        tasks.start("view-ticker", this::tickLoop);
        tasks.start("view-sync", this::syncLoop);
    }

    @Override
    public void reload() {
        // fleet.toml is read at the start only: the members must not change while majorities of them are counted.
    }

    // Tasks.

    private void probeLoop() throws InterruptedException {
        tasks.sleep(randomPart(PROBE_INTERVAL));
        for (; ; ) {
            long start = tasks.nanoTime();
            Peer p;
            synchronized (table) {
                p = table.probeOrder().next(start);
            }
            if (p != null) {
                probe(p);
            }
            Duration left = PROBE_INTERVAL.minusNanos(tasks.nanoTime() - start);
            tasks.sleep(left.compareTo(MIN_PAUSE) < 0 ? MIN_PAUSE : left);
        }
    }

    private void probe(Peer p) throws InterruptedException {
        Ping ping;
        long sentAt = tasks.nanoTime();
        int stalls;
        double factor;
        synchronized (table) {
            ping = table.updates().ping(p);
            stalls = table.stalls();
            factor = table.probeTimeoutFactor();
        }
        try {
            Message reply = rpc.call(p.name, Message.of(MembershipMessages.PING, ping), Duration.ofNanos((long)
                    (PROBE_TIMEOUT.toNanos() * factor)));
            receive(p, read(reply, Pong.class), sentAt);
        } catch (FleetRpc.NoReplyException e) {
            List<String> relays;
            synchronized (table) {
                table.recordTimeout(p.name, sentAt, stalls);
                relays = table.probeOrder().relays(p, MAX_RELAYS, tasks.nanoTime());
            }
            for (String relay : relays) {
                if (probeIndirectly(relay, p)) {
                    return;
                }
            }
        }
    }

    private void receive(Peer p, Pong pong, long sentAt) {
        if (pong == null) {
            return;
        }
        long now = tasks.nanoTime();
        synchronized (table) {
            table.recordReply(p.name, sentAt);
            table.applyAlive(p.name, pong.incarnation(), now);
            if (pong.ages() != null) {
                table.recordAges(pong.ages(), sentAt);
            }
            if (pong.reachable() != null) {
                table.recordReachable(p.name, pong.reachable());
            }
            table.apply(p.name, pong.about(), now);
            table.apply(p.name, pong.news(), now);
        }
    }

    /** Returns whether, after the answer of the relay, the member counts as responsive. */
    private boolean probeIndirectly(String relay, Peer about) throws InterruptedException {
        long sentAt = tasks.nanoTime();
        try {
            AgeResponse response = read(
                    rpc.call(
                            relay,
                            Message.of(MembershipMessages.AGE_REQUEST, new AgeRequest(about.name)),
                            INDIRECT_PROBE_TIMEOUT),
                    AgeResponse.class);
            synchronized (table) {
                if (response != null && response.age() >= 0 && response.age() < Integer.MAX_VALUE) {
                    table.recordAges(Map.of(about.name, (int) response.age()), sentAt);
                    table.recordReachable(relay, List.of(about.name));
                }
                return !about.isUnresponsive();
            }
        } catch (FleetRpc.NoReplyException e) {
            return false;
        }
    }

    private void tickLoop() throws InterruptedException {
        for (; ; ) {
            long start = tasks.nanoTime();
            tasks.sleep(TICK_INTERVAL);
            long now = tasks.nanoTime();
            synchronized (table) {
                table.facts(ownFacts);
                table.tick(now - start - TICK_INTERVAL.toNanos(), now);
                publish(table.changedView());
            }
        }
    }

    /**
     * Synchronizes a part of the state with one member about once a second. The next round follows early if the member
     * did not answer, or if many entries were new, as in a process that has just started.
     */
    private void syncLoop() throws InterruptedException {
        int from = 0;
        int newer = 0;
        for (; ; ) {
            tasks.sleep(
                    newer < 0 || newer > MANY_UPDATES
                            ? TICK_INTERVAL
                            : SYNC_INTERVAL.dividedBy(2).plus(randomPart(SYNC_INTERVAL)));
            String other;
            Sync sync;
            synchronized (table) {
                other = table.probeOrder().randomResponsive(tasks.nanoTime());
                sync = new Sync(table.updates().part(from, SYNC_PART_SIZE));
            }
            newer = other == null ? 0 : sync(other, sync);
            from = (from + SYNC_PART_SIZE) % config.members().size();
        }
    }

    /** @return the number of entries that were newer at the other member; -1 if it did not answer */
    private int sync(String other, Sync sync) throws InterruptedException {
        long sentAt = tasks.nanoTime();
        int stalls;
        synchronized (table) {
            stalls = table.stalls();
        }
        try {
            Sync response = read(rpc.call(other, Message.of(MembershipMessages.SYNC, sync), PROBE_TIMEOUT), Sync.class);
            if (response == null || response.news() == null) {
                return 0;
            }
            synchronized (table) {
                table.apply(other, response.news(), tasks.nanoTime());
            }
            return response.news().size();
        } catch (FleetRpc.NoReplyException e) {
            synchronized (table) {
                table.recordTimeout(other, sentAt, stalls);
            }
            return -1;
        }
    }

    private Duration randomPart(Duration max) {
        return Duration.ofNanos((long) (random.nextDouble() * max.toNanos()));
    }

    // Handlers.

    private Message answer(String from, Message call) throws Message.MalformedException {
        long now = tasks.nanoTime();
        switch (call.kind()) {
            case MembershipMessages.PING -> {
                Ping ping = call.read(Ping.class);
                Pong pong;
                synchronized (table) {
                    table.applyAlive(from, ping.incarnation(), now);
                    table.applyAlive(config.self(), ping.heldIncarnation(), now);
                    table.apply(from, ping.about(), now);
                    table.apply(from, ping.news(), now);
                    pong = table.updates().pong(from, ping, now);
                }
                return Message.of(MembershipMessages.PONG, pong);
            }
            case MembershipMessages.AGE_REQUEST -> {
                AgeRequest request = call.read(AgeRequest.class);
                synchronized (table) {
                    if (request.member() == null || !table.isOtherMember(request.member())) {
                        return Message.of(MembershipMessages.AGE_RESPONSE, new AgeResponse(-1));
                    }
                    table.probeOrder().prioritize(request.member(), now);
                    return Message.of(
                            MembershipMessages.AGE_RESPONSE, new AgeResponse(table.age(request.member(), now)));
                }
            }
            case MembershipMessages.SYNC -> {
                Sync sync = call.read(Sync.class);
                if (sync.news() == null) {
                    throw new Message.MalformedException("synchronization without a list of updates");
                }
                synchronized (table) {
                    table.apply(from, sync.news(), now);
                    return Message.of(
                            MembershipMessages.SYNC_RESPONSE,
                            new Sync(table.updates().newer(sync.news())));
                }
            }
            default -> throw new Message.MalformedException(call.kind() + " is not a message kind of the view");
        }
    }

    /** Decodes a reply; returns null if it is malformed. */
    private static <T> T read(Message reply, Class<T> type) {
        try {
            return reply.read(type);
        } catch (Message.MalformedException e) {
            LOG.debug("ignoring a malformed reply: {}", e.getMessage());
            return null;
        }
    }

    // The view.

    private void publish(FleetView next) {
        FleetView before = view;
        if (next == null) {
            return;
        }
        view = next;
        List<String> states = new ArrayList<>();
        for (int i = 0; i < next.members().size(); i++) {
            Member now = next.members().get(i);
            State previous = before.members().get(i).state();
            states.add(now.name() + ":" + now.incarnation() + ":" + now.state());
            if (now.state() != previous
                    && now.state() != State.SUSPECT
                    && (previous != State.SUSPECT || now.state() != State.ALIVE)) {
                LOG.info("member {} is {}", now.name(), now.state());
            }
        }
        history.write("view", "epoch", next.epoch(), "majority", next.majority(), "members", states);
        if (next.majority() != before.majority()) {
            if (next.majority()) {
                LOG.info(
                        "this router is in a majority of the fleet of {} routers",
                        next.members().size());
            } else {
                LOG.warn(
                        "this router is not in a majority of the fleet of {} routers",
                        next.members().size());
            }
        }
    }

    @Override
    public List<String> status() {
        FleetView current = view;
        StringBuilder line =
                new StringBuilder("view epoch=" + current.epoch() + " majority=" + (current.majority() ? "yes" : "no"));
        for (State state : State.values()) {
            List<String> names = current.members().stream()
                    .filter(m -> m.state() == state)
                    .map(Member::name)
                    .toList();
            line.append(' ')
                    .append(state.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(names.size());
            if (state != State.ALIVE && !names.isEmpty()) {
                line.append('(')
                        .append(String.join(",", names.subList(0, Math.min(MAX_NAMES_IN_STATUS, names.size()))))
                        .append(names.size() > MAX_NAMES_IN_STATUS ? ",...)" : ")");
            }
        }
        long others = current.members().stream()
                .filter(m -> !m.name().equals(current.self())
                        && m.counts()
                        && !m.facts().configuration().equals(config.hash()))
                .count();
        return List.of(line.append(" other_configuration=").append(others).toString());
    }
}
