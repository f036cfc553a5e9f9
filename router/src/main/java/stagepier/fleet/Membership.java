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
 * Keeps the view of the fleet: calls the others in turn, asks about those that are silent, tells on what it hears. How often it does
 * so does not depend on the size of the fleet. The rules are in {@link MemberTable}; see {@code docs/fleet.md}.
 */
public final class Membership implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final int PROBERS = 4;
    private static final Duration PROBE_EVERY = Duration.ofMillis(300);
    private static final Duration PROBE_MOST = Duration.ofMillis(250);
    private static final Duration ASK_MOST = Duration.ofMillis(200);
    private static final Duration PAUSE_LEAST = Duration.ofMillis(20);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration SYNC_EVERY = Duration.ofSeconds(1);
    private static final int SYNC_PART = 64;
    private static final int MUCH = 8;
    private static final int RELAYS = 3;
    private static final int NAMES_IN_STATUS = 8;
    /** Of an incarnation by the wall clock, one step in a thousandth of a millisecond: room for two starts in one. */
    private static final int STEPS = 1_000;

    private final Tasks tasks;
    private final FleetRpc calls;
    private final FleetConfig config;
    private final History history;
    private final Random random;
    /** Held for moments, never while something is waited for. */
    private final MemberTable table;

    private volatile FleetView view;
    private volatile Facts ownFacts = Facts.NONE;

    public Membership(Tasks tasks, FleetRpc calls, FleetConfig config, History history, long seed) {
        this.tasks = tasks;
        this.calls = calls;
        this.config = config;
        this.history = history;
        random = new Random(seed);
        long incarnation = tasks.wall().millis() * STEPS + random.nextInt(STEPS);
        table = new MemberTable(config, incarnation, tasks.nanoTime(), random);
        view = table.changedView();
    }

    /** What this router holds now; from any thread. */
    public FleetView view() {
        return view;
    }

    /** What this router tells of itself, from its next tick on. Never waits, so that the event loop may call it. */
    public void facts(Facts facts) {
        ownFacts = facts;
    }

    /** This process ends of its own will: some others are told, who tell it on. Does not wait for that. */
    public void leave() {
        tasks.start("view-leave", () -> {
            List<Peer> some = new ArrayList<>();
            synchronized (table) {
                table.leave();
                for (int i = 0; i < 2 * RELAYS && i < config.members().size() - 1; i++) {
                    Peer p = table.turns().next(tasks.nanoTime());
                    if (p != null) {
                        some.add(p);
                    }
                }
            }
            for (Peer p : some) {
                probe(p);
            }
        });
    }

    @Override
    public void start() {
        calls.answer("view", this::answer);
        for (int i = 0; i < PROBERS; i++) {
            tasks.start("view-prober-" + i, this::probeInTurn);
        }
        tasks.start("view-ticker", this::tickOn);
        tasks.start("view-sync", this::syncOn);
    }

    @Override
    public void reload() {
        // fleet.toml is read at the start only: the configured fleet may not change under a majority.
    }

    // Tasks.

    private void probeInTurn() throws InterruptedException {
        tasks.sleep(part(PROBE_EVERY));
        for (; ; ) {
            long began = tasks.nanoTime();
            Peer p;
            synchronized (table) {
                p = table.turns().next(began);
            }
            if (p != null) {
                probe(p);
            }
            Duration left = PROBE_EVERY.minusNanos(tasks.nanoTime() - began);
            tasks.sleep(left.compareTo(PAUSE_LEAST) < 0 ? PAUSE_LEAST : left);
        }
    }

    private void probe(Peer p) throws InterruptedException {
        Ping words;
        long sentAt = tasks.nanoTime();
        int stalls;
        double factor;
        synchronized (table) {
            words = table.news().ping(p);
            stalls = table.stalls();
            factor = table.waitLonger();
        }
        try {
            Message reply = calls.call(p.name, Message.of(MembershipMessages.PING, words), Duration.ofNanos((long)
                    (PROBE_MOST.toNanos() * factor)));
            receive(p, read(reply, Pong.class), sentAt);
        } catch (FleetRpc.NoReplyException e) {
            List<String> relays;
            synchronized (table) {
                table.silent(p.name, sentAt, stalls);
                relays = table.turns().relays(p, RELAYS, tasks.nanoTime());
            }
            for (String relay : relays) {
                if (ask(relay, p)) {
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
            table.answered(p.name, sentAt);
            table.applyAlive(p.name, pong.incarnation(), now);
            if (pong.ages() != null) {
                table.heardOfOthers(pong.ages(), sentAt);
            }
            if (pong.reachable() != null) {
                table.reachedBy(p.name, pong.reachable());
            }
            table.apply(p.name, pong.about(), now);
            table.apply(p.name, pong.news(), now);
        }
    }

    /** Says whether the relay has heard of it since it did not answer here. */
    private boolean ask(String relay, Peer about) throws InterruptedException {
        long sentAt = tasks.nanoTime();
        try {
            AgeResponse response = read(
                    calls.call(relay, Message.of(MembershipMessages.AGE_REQUEST, new AgeRequest(about.name)), ASK_MOST),
                    AgeResponse.class);
            synchronized (table) {
                if (response != null && response.age() >= 0 && response.age() < Integer.MAX_VALUE) {
                    table.heardOfOthers(Map.of(about.name, (int) response.age()), sentAt);
                    table.reachedBy(relay, List.of(about.name));
                }
                return !about.failsHere();
            }
        } catch (FleetRpc.NoReplyException e) {
            return false;
        }
    }

    private void tickOn() throws InterruptedException {
        for (; ; ) {
            long began = tasks.nanoTime();
            tasks.sleep(TICK);
            long now = tasks.nanoTime();
            synchronized (table) {
                table.facts(ownFacts);
                table.tick(now - began - TICK.toNanos(), now);
                takeUp(table.changedView());
            }
        }
    }

    /**
     * One exchange of a part a second; soon the next one where the other was silent, or where much was new, as for a process that has just
     * started.
     */
    private void syncOn() throws InterruptedException {
        int from = 0;
        int learned = 0;
        for (; ; ) {
            tasks.sleep(
                    learned < 0 || learned > MUCH
                            ? TICK
                            : SYNC_EVERY.dividedBy(2).plus(part(SYNC_EVERY)));
            String other;
            Sync sync;
            synchronized (table) {
                other = table.turns().anyone(tasks.nanoTime());
                sync = new Sync(table.news().part(from, SYNC_PART));
            }
            learned = other == null ? 0 : sync(other, sync);
            from = (from + SYNC_PART) % config.members().size();
        }
    }

    /** @return how much was new; -1 where the other was silent */
    private int sync(String other, Sync sync) throws InterruptedException {
        long sentAt = tasks.nanoTime();
        int stalls;
        synchronized (table) {
            stalls = table.stalls();
        }
        try {
            Sync newer = read(calls.call(other, Message.of(MembershipMessages.SYNC, sync), PROBE_MOST), Sync.class);
            if (newer == null || newer.news() == null) {
                return 0;
            }
            synchronized (table) {
                table.apply(other, newer.news(), tasks.nanoTime());
            }
            return newer.news().size();
        } catch (FleetRpc.NoReplyException e) {
            synchronized (table) {
                table.silent(other, sentAt, stalls);
            }
            return -1;
        }
    }

    private Duration part(Duration most) {
        return Duration.ofNanos((long) (random.nextDouble() * most.toNanos()));
    }

    // Answers.

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
                    pong = table.news().pong(from, ping, now);
                }
                return Message.of(MembershipMessages.PONG, pong);
            }
            case MembershipMessages.AGE_REQUEST -> {
                AgeRequest request = call.read(AgeRequest.class);
                synchronized (table) {
                    if (request.member() == null || !table.isMember(request.member())) {
                        return Message.of(MembershipMessages.AGE_RESPONSE, new AgeResponse(-1));
                    }
                    table.turns().hint(request.member(), now);
                    return Message.of(
                            MembershipMessages.AGE_RESPONSE, new AgeResponse(table.age(request.member(), now)));
                }
            }
            case MembershipMessages.SYNC -> {
                Sync sync = call.read(Sync.class);
                if (sync.news() == null) {
                    throw new Message.MalformedException("an exchange of nothing");
                }
                synchronized (table) {
                    table.apply(from, sync.news(), now);
                    return Message.of(
                            MembershipMessages.SYNC_RESPONSE,
                            new Sync(table.news().newer(sync.news())));
                }
            }
            default -> throw new Message.MalformedException(call.kind() + " is no word of the view");
        }
    }

    /** A reply that makes no sense is none. */
    private static <T> T read(Message reply, Class<T> type) {
        try {
            return reply.read(type);
        } catch (Message.MalformedException e) {
            LOG.debug("a reply that makes no sense: {}", e.getMessage());
            return null;
        }
    }

    // What is held.

    private void takeUp(FleetView next) {
        FleetView before = view;
        if (next == null) {
            return;
        }
        view = next;
        List<String> states = new ArrayList<>();
        for (int i = 0; i < next.members().size(); i++) {
            Member now = next.members().get(i);
            State then = before.members().get(i).state();
            states.add(now.name() + ":" + now.incarnation() + ":" + now.state());
            if (now.state() != then
                    && now.state() != State.SUSPECT
                    && (then != State.SUSPECT || now.state() != State.ALIVE)) {
                LOG.info("{} is {}", now.name(), now.state());
            }
        }
        history.write("view", "epoch", next.epoch(), "majority", next.majority(), "members", states);
        if (next.majority() != before.majority()) {
            if (next.majority()) {
                LOG.info("in a majority of the fleet of {}", next.members().size());
            } else {
                LOG.warn("in no majority of the fleet of {}", next.members().size());
            }
        }
    }

    @Override
    public List<String> status() {
        FleetView v = view;
        StringBuilder line =
                new StringBuilder("view epoch=" + v.epoch() + " majority=" + (v.majority() ? "yes" : "no"));
        for (State state : State.values()) {
            List<String> names = v.members().stream()
                    .filter(m -> m.state() == state)
                    .map(Member::name)
                    .toList();
            line.append(' ')
                    .append(state.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(names.size());
            if (state != State.ALIVE && !names.isEmpty()) {
                line.append('(')
                        .append(String.join(",", names.subList(0, Math.min(NAMES_IN_STATUS, names.size()))))
                        .append(names.size() > NAMES_IN_STATUS ? ",...)" : ")");
            }
        }
        long others = v.members().stream()
                .filter(m -> !m.name().equals(v.self())
                        && m.counts()
                        && !m.facts().configuration().equals(config.hash()))
                .count();
        return List.of(line.append(" other_configuration=").append(others).toString());
    }
}
