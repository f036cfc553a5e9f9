package stagepier.freeze;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.History;
import stagepier.fleet.Message;
import stagepier.tasks.Mailbox;
import stagepier.tasks.Tasks;

/**
 * One router's part in agreeing on the calendar: a register that all routers change in ballots of two phases, each change a
 * function of what was accepted before it, so that what is accepted forms one sequence. One task does all of it, one thing
 * after another; {@link Acceptor} answers the others meanwhile. {@code docs/freeze.md} has the rules and why they hold.
 */
final class Register {
    private static final Logger LOG = LoggerFactory.getLogger(Register.class);
    private static final Duration ROUND = Duration.ofMillis(400);
    private static final Duration CONFIRM_EACH = Duration.ofSeconds(1);
    /** Above this many routers confirmations get rarer, so that what a router hears does not grow with the fleet. */
    private static final Duration CONFIRM_EACH_OTHER = Duration.ofMillis(20);

    private static final Duration AGAIN = Duration.ofMillis(300);
    private static final Duration AGAIN_OTHER = Duration.ofMillis(5);
    /** A ballot that met another one waits up to this, and twice as long each time, before it tries again. */
    private static final int BACKOFF_MS = 60;

    private static final int BALLOTS_AT_ONCE = 4;
    /** A ballot of another router is over, or lost, when nothing is heard of it for this long. */
    private static final int QUIET_MS = 40;

    private static final int QUIET_LOOKS = 6;
    /** Who would finish what another one left waits up to this, so that one of them does. */
    private static final int FINISH_MS = 400;
    /** Guards against a file that is accepted long after staff gave it, over a newer one that they gave elsewhere. */
    private static final Duration PROPOSAL_MOST = Duration.ofSeconds(10);

    private static final int FEW = 8;
    private static final int WISHES = 8;
    /** Something newer was heard of: confirm it now. No calendar is this text. */
    private static final String LOOK = "";

    /** A reply that is none. */
    private static final Map<String, String> NOTHING = Map.of();

    /** What the register has to tell. From its task. */
    interface Listener {
        /** A majority holds what {@code accepted} says, as of the moment {@code startNano} and {@code startWallMs}. */
        void confirmed(Entry accepted, long startNano, long startWallMs, Clocks.Offset offset);

        /** @param why nothing could be confirmed */
        void unconfirmed(String why);
    }

    /** A calendar that this router's staff want. */
    private record Proposal(String id, String text, long untilNano) {}

    private final Tasks tasks;
    private final FleetConfig config;
    private final History history;
    private final Listener listener;
    private final Acceptor acceptor;
    private final Fanout fanout;
    private final FleetBootstrap bootstrap;
    private final SplittableRandom random;
    private final String fleet;
    private final int majority;
    private final Duration confirmEach;
    private final Duration again;
    /** What its staff want, or {@link #LOOK}. */
    private final Mailbox<String> wishes;
    /** Whether {@link #LOOK} lies in {@code wishes}: once at the most, so that it takes no place from what staff want. */
    private final AtomicBoolean looks = new AtomicBoolean();

    private final Set<String> ofOtherFleets = ConcurrentHashMap.newKeySet();
    /** Written by the task alone. */
    private volatile Proposal pending;

    private int proposed;
    /** In the last ballot a majority could have voted. */
    private boolean hasQuorum;

    private long round;

    /** @param file the windows in this router's own file, canonical */
    Register(
            Tasks tasks,
            FleetRpc calls,
            FleetConfig config,
            History history,
            Acceptor acceptor,
            Listener listener,
            String file,
            long seed) {
        this.tasks = tasks;
        this.config = config;
        this.history = history;
        this.acceptor = acceptor;
        this.listener = listener;
        random = new SplittableRandom(seed);
        majority = config.majority();
        fleet = fleet(config);
        Collection<String> others = new TreeSet<>(config.members().keySet());
        others.remove(config.self());
        fanout = new Fanout(tasks, calls, List.copyOf(others));
        bootstrap = new FleetBootstrap(this, acceptor, config, tasks);
        file(file);
        wishes = tasks.mailbox(WISHES);
        Duration byFleet = CONFIRM_EACH_OTHER.multipliedBy(config.members().size());
        Duration slowest = config.lease().dividedBy(3);
        confirmEach = max(CONFIRM_EACH, byFleet.compareTo(slowest) < 0 ? byFleet : slowest);
        again = max(AGAIN, AGAIN_OTHER.multipliedBy(config.members().size()));
        calls.answer(RegisterRequest.PART, this::answer);
    }

    /** Names the configured fleet: routers with another one have another agreement. */
    static String fleet(FleetConfig config) {
        return Windows.hash(String.join("\n", config.members().keySet()));
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    void start() {
        fanout.start();
        tasks.start("calendar", this::run);
    }

    /** This router's file was read again, and says what is accepted. */
    void same(String text) {
        file(text);
    }

    private void file(String text) {
        bootstrap.file(text);
        acceptor.file(Windows.hash(text));
    }

    /**
     * Asks the fleet to accept what this router's file says now; from any thread. A later one takes the place of one that still
     * waits.
     */
    void propose(String text) {
        file(text);
        if (!wishes.put(text)) {
            LOG.warn("calendar: too many proposals at once, this one is dropped");
        }
    }

    private Message answer(String from, Message call) throws Message.MalformedException {
        RegisterRequest ask = call.read(RegisterRequest.class);
        ask.check(call.kind(), from);
        if (!config.members().containsKey(from)) {
            throw new Message.MalformedException(from + " is none of this fleet");
        }
        if (!fleet.equals(ask.fleet())) {
            // While staff change fleet.toml at one router after the other: no reason to break what else goes over that
            // link.
            if (ofOtherFleets.add(from)) {
                LOG.warn("calendar: fleet.toml of {} names other routers: it has no part in this agreement", from);
            }
            return Message.of(call.kind(), NOTHING);
        }
        ofOtherFleets.remove(from);
        RegisterResponse reply = acceptor.answer(call.kind(), ask);
        if (call.kind().equals(RegisterRequest.LEARN) && !looks.getAndSet(true) && !wishes.put(LOOK)) {
            looks.set(false);
        }
        return Message.of(call.kind(), reply);
    }

    private void run() throws InterruptedException {
        while (true) {
            boolean good = acceptor.isMember() || recover();
            if (pending != null && tasks.nanoTime() >= pending.untilNano()) {
                LOG.warn(
                        "calendar: the fleet did not accept this router's file within {} s: given up",
                        PROPOSAL_MOST.toSeconds());
                pending = null;
            }
            if (good && pending != null) {
                decide(pending);
            }
            good = good && confirm();
            String wanted = wishes.take(good && pending == null ? confirmEach : again);
            if (LOOK.equals(wanted)) {
                looks.set(false);
            } else if (wanted != null) {
                pending = new Proposal(
                        acceptor.incarnation() + ":" + ++proposed, wanted, tasks.nanoTime() + PROPOSAL_MOST.toNanos());
            }
        }
    }

    // Rounds

    RegisterRequest ask(String to, long generation, Ballot ballot, Entry entry) {
        return new RegisterRequest(
                fleet,
                config.self(),
                acceptor.incarnation(),
                acceptor.known(to),
                generation,
                ballot,
                entry,
                null,
                null);
    }

    /** The second phase of a bootstrap. */
    RegisterRequest founded(String to, long generation, Entry base, Map<String, Long> incarnations) {
        return new RegisterRequest(
                fleet,
                config.self(),
                acceptor.incarnation(),
                acceptor.known(to),
                generation,
                null,
                base,
                null,
                incarnations);
    }

    /** Asks all, this router among them; the round is over when a majority that counts has agreed. */
    private Tally all(String kind, long generation, Ballot ballot, Entry entry) throws InterruptedException {
        Tally tally = new Tally();
        tally.add(config.self(), acceptor.answer(kind, ask(config.self(), generation, ballot, entry)));
        fanout.ask(
                to -> Message.of(kind, ask(to, generation, ballot, entry)),
                ROUND,
                tally,
                t -> t.agreed().size() >= majority
                        || refused(t) > config.members().size() - majority);
        return tally;
    }

    private static long refused(Tally tally) {
        return tally.all().values().stream().filter(r -> !r.ok()).count();
    }

    /** For a founding: asks all, this router among them, and waits for all. */
    Tally every(String kind, Function<String, RegisterRequest> call) throws InterruptedException {
        Tally tally = new Tally();
        tally.add(config.self(), acceptor.answer(kind, call.apply(config.self())));
        fanout.ask(to -> Message.of(kind, call.apply(to)), ROUND, tally, t -> false);
        return tally;
    }

    // A memory

    /** Asks all others what they hold, and takes it over from a majority that has a memory. */
    private boolean recover() throws InterruptedException {
        long mine = acceptor.incarnation();
        Tally tally = new Tally();
        Function<String, Message> call = to -> Message.of(RegisterRequest.RECOVER, ask(to, 0, null, null));
        // Where none of a few has a memory, hardly a majority has: only who may found the fleet needs to hear all each
        // time.
        List<String> order = fanout.order();
        Collections.shuffle(order, new Random(random.nextLong()));
        int first = bootstrap.isMine() ? order.size() : Math.min(order.size(), Math.min(majority, FEW));
        fanout.ask(order.subList(0, first), call, ROUND, tally, t -> latest(t).size() >= majority);
        if (first < order.size()
                && latest(tally).size() < majority
                && !tally.agreed().isEmpty()) {
            fanout.ask(
                    order.subList(first, order.size()),
                    call,
                    ROUND,
                    tally,
                    t -> latest(t).size() >= majority);
        }
        long over = tally.all().values().stream()
                .mapToLong(r -> r.known(config.self()))
                .max()
                .orElse(0);
        if (over > mine) {
            acceptor.startOver(over);
            return false;
        }
        Collection<RegisterResponse> latest = latest(tally).values();
        if (latest.size() >= majority
                && acceptor.recovered(mine, latest.iterator().next().generation(), latest)) {
            LOG.info("calendar: recovered in generation {} from {} routers", acceptor.generation(), latest.size());
            return true;
        }
        listener.unconfirmed(
                "this router has no vote yet: " + latest.size() + " of " + majority + " routers with a memory heard");
        bootstrap.consider(tally);
        return acceptor.isMember();
    }

    /** Those with a memory of the last generation that any of them holds. */
    private static Map<String, RegisterResponse> latest(Tally tally) {
        long last = tally.agreed().values().stream()
                .mapToLong(RegisterResponse::generation)
                .max()
                .orElse(0);
        return tally.standing(r -> r.ok() && r.generation() == last && r.entry() != null && r.vector() != null);
    }

    // Accepting

    /** Has the proposal accepted, if no more than other routers' ballots stand against it: these are let finish. */
    private void decide(Proposal proposal) throws InterruptedException {
        for (int attempt = 0; attempt < BALLOTS_AT_ONCE && !ballot(proposal) && hasQuorum; attempt++) {
            tasks.sleep(Duration.ofMillis(random.nextInt(BACKOFF_MS << attempt)));
            quiet();
        }
    }

    /** Waits until no other router's ballot is going on here, or for so long that it does not matter. */
    private void quiet() throws InterruptedException {
        long before = -1;
        for (int i = 0; i < QUIET_LOOKS && before != acceptor.ballotsReceived(); i++) {
            before = acceptor.ballotsReceived();
            tasks.sleep(Duration.ofMillis(QUIET_MS + random.nextInt(QUIET_MS)));
        }
    }

    /** One ballot: for the proposal, or where there is none, for what was voted for last. */
    private boolean ballot(Proposal proposal) throws InterruptedException {
        long generation = acceptor.generation();
        round = Math.max(round, acceptor.promised().round()) + 1;
        Ballot ballot = new Ballot(round, config.self(), acceptor.incarnation());
        Tally promises = all(RegisterRequest.PREPARE, generation, ballot, null);
        promises.all()
                .values()
                .forEach(r -> round = Math.max(round, r.promised().round()));
        Map<String, RegisterResponse> agreed = promises.standing(r -> r.ok() && r.entry() != null);
        hasQuorum = promises.standing(r -> r.member() && r.generation() == generation)
                        .size()
                >= majority;
        if (agreed.size() < majority) {
            return false;
        }
        Entry last = agreed.values().stream()
                .max(Comparator.comparing(RegisterResponse::ballot))
                .orElseThrow()
                .entry();
        boolean fresh = proposal != null && !last.holds(config.self(), proposal.id());
        Entry entry = fresh ? last.next(proposal.text(), config.self(), proposal.id()) : last;
        Tally votes = all(RegisterRequest.ACCEPT, generation, ballot, entry);
        votes.all().values().forEach(r -> round = Math.max(round, r.promised().round()));
        if (votes.agreed().size() < majority) {
            return false;
        }
        accepted(entry, ballot, votes.agreed());
        if (proposal != null) {
            ordered(proposal, entry);
        }
        return true;
    }

    /** The proposal is in the sequence: as what was accepted, or before it, where another router's came on top at once. */
    private void ordered(Proposal proposal, Entry entry) {
        pending = null;
        history.write(
                "calendar.ordered",
                "hash",
                Windows.hash(proposal.text()),
                "version",
                entry.version().toString());
        if (!proposal.text().equals(entry.text())) {
            LOG.warn(
                    "calendar: this router's file was accepted, and overtaken at once by another router's, now {}",
                    entry.version());
        }
    }

    private void accepted(Entry entry, Ballot ballot, Map<String, RegisterResponse> votes) {
        history.write(
                "calendar.accepted",
                "version",
                entry.version().toString(),
                "hash",
                Windows.hash(entry.text()),
                "round",
                ballot.round(),
                "by",
                config.self(),
                "votes",
                new ArrayList<>(votes.keySet()));
        acceptor.learn(entry, ballot);
        fanout.broadcast(
                to -> Message.of(RegisterRequest.LEARN, ask(to, entry.version().generation(), ballot, entry)), ROUND);
    }

    // Confirming

    /** Whether a majority says that what this router knows to be accepted is the last that can have been. */
    private boolean confirm() throws InterruptedException {
        for (int attempt = 0; attempt < 3; attempt++) {
            long startNano = tasks.nanoTime();
            Clocks clocks = new Clocks(tasks);
            long generation = acceptor.generation();
            Tally tally = new Tally();
            tally.add(
                    config.self(),
                    acceptor.answer(RegisterRequest.CONFIRM, ask(config.self(), generation, null, null)));
            List<String> order = fanout.order();
            int first = Math.min(order.size(), majority);
            fanout.ask(
                    order.subList(0, first),
                    to -> Message.of(RegisterRequest.CONFIRM, ask(to, generation, null, null)),
                    first < order.size() ? ROUND.dividedBy(2) : ROUND,
                    tally,
                    t -> t.agreed().size() >= majority);
            if (tally.agreed().size() < majority && first < order.size()) {
                fanout.ask(
                        order.subList(first, order.size()),
                        to -> Message.of(RegisterRequest.CONFIRM, ask(to, generation, null, null)),
                        ROUND,
                        tally,
                        t -> t.agreed().size() >= majority);
            }
            Map<String, RegisterResponse> agreed = tally.agreed();
            if (agreed.size() < majority) {
                listener.unconfirmed("no majority: " + agreed.size() + " of " + majority + " routers heard");
                bootstrap.consider(tally);
                return false;
            }
            Version last = agreed.values().stream()
                    .max(Comparator.comparing(RegisterResponse::ballot))
                    .orElseThrow()
                    .voted();
            Entry learned = acceptor.learned();
            if (learned.version().compareTo(last) >= 0) {
                listener.confirmed(learned, startNano, clocks.startMs(), clocks.offset(agreed.values(), config.skew()));
                return true;
            }
            catchUp(agreed, last);
        }
        listener.unconfirmed("a newer calendar is being accepted");
        return false;
    }

    /**
     * Fetches what is newer from one that knows it; where nobody does, who voted for it is dead or slow, and it is finished here.
     */
    private void catchUp(Map<String, RegisterResponse> replies, Version last) throws InterruptedException {
        Optional<Map.Entry<String, RegisterResponse>> knows = replies.entrySet().stream()
                .filter(e -> e.getValue().learned().compareTo(acceptor.learned().version()) > 0)
                .max(Comparator.comparing(e -> e.getValue().learned()));
        if (knows.isPresent()) {
            Tally tally = new Tally();
            fanout.ask(
                    List.of(knows.get().getKey()),
                    to -> Message.of(
                            RegisterRequest.PULL,
                            new RegisterRequest(
                                    fleet,
                                    config.self(),
                                    acceptor.incarnation(),
                                    0,
                                    acceptor.generation(),
                                    null,
                                    null,
                                    acceptor.learned().version(),
                                    null)),
                    ROUND,
                    tally,
                    t -> false);
            tally.all().values().stream()
                    .filter(r -> r.news() != null)
                    .forEach(r -> acceptor.learn(r.news(), r.newsIn()));
            return;
        }
        tasks.sleep(Duration.ofMillis(random.nextInt(FINISH_MS)));
        quiet();
        if (acceptor.learned().version().compareTo(last) < 0) {
            ballot(null);
        }
    }

    /** The proposal that waits for a majority, if any; for {@code STATUS}. */
    boolean waits() {
        return pending != null;
    }
}
