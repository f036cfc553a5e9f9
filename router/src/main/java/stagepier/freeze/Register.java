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
 * One router's proposer in the agreement on the calendar: a replicated register that routers change in two-phase
 * ballots. Each change is a function of the entry accepted before it, so that accepted entries form one sequence. A
 * single task runs all rounds one after another, while {@link Acceptor} answers requests of other routers.
 * {@code docs/freeze.md} has the rules and the reasons for them.
 */
final class Register {
    private static final Logger LOG = LoggerFactory.getLogger(Register.class);
    private static final Duration ROUND_TIMEOUT = Duration.ofMillis(400);
    private static final Duration MIN_CONFIRM_INTERVAL = Duration.ofSeconds(1);
    /**
     * Lengthens the confirmation interval with the number of routers, so that the load per router does not grow with
     * the fleet.
     */
    private static final Duration CONFIRM_INTERVAL_PER_ROUTER = Duration.ofMillis(20);

    private static final Duration MIN_RETRY_INTERVAL = Duration.ofMillis(300);
    private static final Duration RETRY_INTERVAL_PER_ROUTER = Duration.ofMillis(5);
    /** A ballot that met a competing one backs off for a random time of up to this, doubled with each attempt. */
    private static final int INITIAL_BACKOFF_MS = 60;

    private static final int MAX_BALLOTS_IN_A_ROW = 4;
    /** A ballot of another router is considered finished or lost when no message of it arrives for this time. */
    private static final int QUIET_CHECK_MS = 40;

    private static final int MAX_QUIET_CHECKS = 6;
    /** Maximum random delay before a router finishes an abandoned ballot, so that usually only one router does. */
    private static final int MAX_FINISH_DELAY_MS = 400;
    /** Prevents a file from being accepted long after it was proposed, over a newer one proposed at another router. */
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(10);

    private static final int INITIAL_RECOVERY_PEERS = 8;
    private static final int MAX_QUEUED_REQUESTS = 8;
    /** Queued when a newer entry has been learned, to confirm it now. No calendar has this text. */
    private static final String CONFIRM_NOW = "";

    /** The empty reply to routers of another fleet. */
    private static final Map<String, String> NO_REPLY = Map.of();

    /** Receives the results of confirmations, on the register's task. */
    interface Listener {
        /** A majority confirmed {@code accepted} as the latest entry at {@code startNano} and {@code startWallMs}. */
        void confirmed(Entry accepted, long startNano, long startWallMs, ClockComparison.Offset offset);

        /** @param reason why no entry could be confirmed */
        void unconfirmed(String reason);
    }

    /** A calendar proposed at this router. */
    private record Proposal(String id, String text, long deadlineNano) {}

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
    private final Duration confirmInterval;
    private final Duration retryInterval;
    /** Texts proposed at this router, or {@link #CONFIRM_NOW}. */
    private final Mailbox<String> requests;
    /** Whether {@link #CONFIRM_NOW} is queued; at most once, so that it does not take the room of proposals. */
    private final AtomicBoolean confirmQueued = new AtomicBoolean();

    private final Set<String> membersOfOtherFleets = ConcurrentHashMap.newKeySet();
    /** Written only by the register's task. */
    private volatile Proposal pending;

    private int proposalCount;
    /** Whether a majority could have voted in the last ballot. */
    private boolean hasQuorum;

    private long round;

    /** @param file the windows in this router's own file, in canonical form */
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
        setFile(file);
        requests = tasks.mailbox(MAX_QUEUED_REQUESTS);
        Duration intervalByFleetSize =
                CONFIRM_INTERVAL_PER_ROUTER.multipliedBy(config.members().size());
        Duration maxInterval = config.lease().dividedBy(3);
        confirmInterval = max(
                MIN_CONFIRM_INTERVAL,
                intervalByFleetSize.compareTo(maxInterval) < 0 ? intervalByFleetSize : maxInterval);
        retryInterval = max(
                MIN_RETRY_INTERVAL,
                RETRY_INTERVAL_PER_ROUTER.multipliedBy(config.members().size()));
        calls.answer(RegisterRequest.PART, this::handle);
    }

    /** Returns an identifier of the configured fleet; only routers with the same one take part in an agreement. */
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

    /** Records that this router's file was read again and equals the accepted calendar. */
    void fileReloaded(String text) {
        setFile(text);
    }

    private void setFile(String text) {
        bootstrap.setFileText(text);
        acceptor.setFileHash(Windows.hash(text));
    }

    /**
     * Proposes the current windows of this router's file to the fleet; a later proposal replaces a pending one. May be
     * called from any thread.
     */
    void propose(String text) {
        setFile(text);
        if (!requests.put(text)) {
            LOG.warn("calendar: too many queued proposals, dropping this one");
        }
    }

    private Message handle(String from, Message call) throws Message.MalformedException {
        RegisterRequest request = call.read(RegisterRequest.class);
        request.check(call.kind(), from);
        if (!config.members().containsKey(from)) {
            throw new Message.MalformedException(from + " is not a member of this fleet");
        }
        if (!fleet.equals(request.fleet())) {
            // Happens while operators change fleet.toml on one router after another. An empty reply keeps the link open
            // for other calls.
            if (membersOfOtherFleets.add(from)) {
                LOG.warn("calendar: fleet.toml of {} lists other routers than this one; ignoring its requests", from);
            }
            return Message.of(call.kind(), NO_REPLY);
        }
        membersOfOtherFleets.remove(from);
        RegisterResponse reply = acceptor.handle(call.kind(), request);
        if (call.kind().equals(RegisterRequest.LEARN) && !confirmQueued.getAndSet(true) && !requests.put(CONFIRM_NOW)) {
            confirmQueued.set(false);
        }
        return Message.of(call.kind(), reply);
    }

    private void run() throws InterruptedException {
        while (true) {
            boolean ready = acceptor.isMember() || recover();
            if (pending != null && tasks.nanoTime() >= pending.deadlineNano()) {
                LOG.warn(
                        "calendar: the fleet did not accept this router's file within {} s; dropping the proposal",
                        PROPOSAL_TIMEOUT.toSeconds());
                pending = null;
            }
            if (ready && pending != null) {
                proposeWithRetries(pending);
            }
            ready = ready && confirm();
            String text = requests.take(ready && pending == null ? confirmInterval : retryInterval);
            if (CONFIRM_NOW.equals(text)) {
                confirmQueued.set(false);
            } else if (text != null) {
                pending = new Proposal(
                        acceptor.incarnation() + ":" + ++proposalCount,
                        text,
                        tasks.nanoTime() + PROPOSAL_TIMEOUT.toNanos());
            }
        }
    }

    // Rounds

    RegisterRequest request(String to, long generation, Ballot ballot, Entry entry) {
        return new RegisterRequest(
                fleet,
                config.self(),
                acceptor.incarnation(),
                acceptor.incarnationOf(to),
                generation,
                ballot,
                entry,
                null,
                null);
    }

    /** Returns the request of the second phase of a founding. */
    RegisterRequest foundedRequest(String to, long generation, Entry base, Map<String, Long> incarnations) {
        return new RegisterRequest(
                fleet,
                config.self(),
                acceptor.incarnation(),
                acceptor.incarnationOf(to),
                generation,
                null,
                base,
                null,
                incarnations);
    }

    /** Queries all routers including this one; the round ends when a majority has agreed or none can any more. */
    private Tally queryUntilMajority(String kind, long generation, Ballot ballot, Entry entry)
            throws InterruptedException {
        Tally tally = new Tally();
        tally.add(config.self(), acceptor.handle(kind, request(config.self(), generation, ballot, entry)));
        fanout.query(
                to -> Message.of(kind, request(to, generation, ballot, entry)),
                ROUND_TIMEOUT,
                tally,
                t -> t.agreed().size() >= majority
                        || refused(t) > config.members().size() - majority);
        return tally;
    }

    private static long refused(Tally tally) {
        return tally.replies().values().stream().filter(r -> !r.ok()).count();
    }

    /** Queries all routers including this one and waits for all of them; used for foundings. */
    Tally queryAll(String kind, Function<String, RegisterRequest> call) throws InterruptedException {
        Tally tally = new Tally();
        tally.add(config.self(), acceptor.handle(kind, call.apply(config.self())));
        fanout.query(to -> Message.of(kind, call.apply(to)), ROUND_TIMEOUT, tally, t -> false);
        return tally;
    }

    // Recovery

    /** Requests the state of the other routers, and takes it over if a majority has state. */
    private boolean recover() throws InterruptedException {
        long ownIncarnation = acceptor.incarnation();
        Tally tally = new Tally();
        Function<String, Message> call = to -> Message.of(RegisterRequest.RECOVER, request(to, 0, null, null));
        // If none of a few routers has state, a majority is unlikely to: only the router that may found the fleet needs
        // all replies each time.
        List<String> order = fanout.order();
        Collections.shuffle(order, new Random(random.nextLong()));
        int first = bootstrap.isFounder()
                ? order.size()
                : Math.min(order.size(), Math.min(majority, INITIAL_RECOVERY_PEERS));
        fanout.query(
                order.subList(0, first),
                call,
                ROUND_TIMEOUT,
                tally,
                t -> latestMembers(t).size() >= majority);
        if (first < order.size()
                && latestMembers(tally).size() < majority
                && !tally.agreed().isEmpty()) {
            fanout.query(
                    order.subList(first, order.size()),
                    call,
                    ROUND_TIMEOUT,
                    tally,
                    t -> latestMembers(t).size() >= majority);
        }
        long endedIncarnation = tally.replies().values().stream()
                .mapToLong(r -> r.incarnationOf(config.self()))
                .max()
                .orElse(0);
        if (endedIncarnation > ownIncarnation) {
            acceptor.discardState(endedIncarnation);
            return false;
        }
        Collection<RegisterResponse> latest = latestMembers(tally).values();
        if (latest.size() >= majority
                && acceptor.adoptState(ownIncarnation, latest.iterator().next().generation(), latest)) {
            LOG.info(
                    "calendar: recovered state of generation {} from {} routers", acceptor.generation(), latest.size());
            return true;
        }
        listener.unconfirmed(
                "this router has no vote yet: " + latest.size() + " of " + majority + " routers with a memory heard");
        bootstrap.onFailedRound(tally);
        return acceptor.isMember();
    }

    /** Returns the valid replies with state of the highest generation among them. */
    private static Map<String, RegisterResponse> latestMembers(Tally tally) {
        long last = tally.agreed().values().stream()
                .mapToLong(RegisterResponse::generation)
                .max()
                .orElse(0);
        return tally.valid(r -> r.ok() && r.generation() == last && r.entry() != null && r.vector() != null);
    }

    // Ballots

    /** Runs ballots for the proposal, backing off after each one that failed only because of competing ballots. */
    private void proposeWithRetries(Proposal proposal) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_BALLOTS_IN_A_ROW && !runBallot(proposal) && hasQuorum; attempt++) {
            tasks.sleep(Duration.ofMillis(random.nextInt(INITIAL_BACKOFF_MS << attempt)));
            awaitQuiet();
        }
    }

    /** Waits until no ballot of another router is in progress here, or for a bounded number of checks. */
    private void awaitQuiet() throws InterruptedException {
        long before = -1;
        for (int i = 0; i < MAX_QUIET_CHECKS && before != acceptor.ballotsReceived(); i++) {
            before = acceptor.ballotsReceived();
            tasks.sleep(Duration.ofMillis(QUIET_CHECK_MS + random.nextInt(QUIET_CHECK_MS)));
        }
    }

    /** Runs one ballot, for the proposal or, if it is null, for the entry voted for last. */
    private boolean runBallot(Proposal proposal) throws InterruptedException {
        long generation = acceptor.generation();
        round = Math.max(round, acceptor.promised().round()) + 1;
        Ballot ballot = new Ballot(round, config.self(), acceptor.incarnation());
        Tally promises = queryUntilMajority(RegisterRequest.PREPARE, generation, ballot, null);
        promises.replies()
                .values()
                .forEach(r -> round = Math.max(round, r.promised().round()));
        Map<String, RegisterResponse> agreed = promises.valid(r -> r.ok() && r.entry() != null);
        hasQuorum =
                promises.valid(r -> r.member() && r.generation() == generation).size() >= majority;
        if (agreed.size() < majority) {
            return false;
        }
        Entry last = agreed.values().stream()
                .max(Comparator.comparing(RegisterResponse::ballot))
                .orElseThrow()
                .entry();
        boolean isNew = proposal != null && !last.contains(config.self(), proposal.id());
        Entry entry = isNew ? last.next(proposal.text(), config.self(), proposal.id()) : last;
        Tally votes = queryUntilMajority(RegisterRequest.ACCEPT, generation, ballot, entry);
        votes.replies()
                .values()
                .forEach(r -> round = Math.max(round, r.promised().round()));
        if (votes.agreed().size() < majority) {
            return false;
        }
        announceAccepted(entry, ballot, votes.agreed());
        if (proposal != null) {
            recordOrdered(proposal, entry);
        }
        return true;
    }

    /**
     * Records that the proposal is in the sequence, either as the accepted entry or as one that another entry replaced.
     */
    private void recordOrdered(Proposal proposal, Entry entry) {
        pending = null;
        history.write(
                "calendar.ordered",
                "hash",
                Windows.hash(proposal.text()),
                "version",
                entry.version().toString());
        if (!proposal.text().equals(entry.text())) {
            LOG.warn(
                    "calendar: this router's file was accepted, but another router's replaced it immediately; now {}",
                    entry.version());
        }
    }

    private void announceAccepted(Entry entry, Ballot ballot, Map<String, RegisterResponse> votes) {
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
                to -> Message.of(
                        RegisterRequest.LEARN, request(to, entry.version().generation(), ballot, entry)),
                ROUND_TIMEOUT);
    }

    // Confirmation

    /**
     * Returns whether a majority confirms that no entry later than the one this router has learned can have been
     * accepted.
     */
    private boolean confirm() throws InterruptedException {
        for (int attempt = 0; attempt < 3; attempt++) {
            long startNano = tasks.nanoTime();
            ClockComparison clocks = new ClockComparison(tasks);
            long generation = acceptor.generation();
            Tally tally = new Tally();
            tally.add(
                    config.self(),
                    acceptor.handle(RegisterRequest.CONFIRM, request(config.self(), generation, null, null)));
            List<String> order = fanout.order();
            int first = Math.min(order.size(), majority);
            fanout.query(
                    order.subList(0, first),
                    to -> Message.of(RegisterRequest.CONFIRM, request(to, generation, null, null)),
                    first < order.size() ? ROUND_TIMEOUT.dividedBy(2) : ROUND_TIMEOUT,
                    tally,
                    t -> t.agreed().size() >= majority);
            if (tally.agreed().size() < majority && first < order.size()) {
                fanout.query(
                        order.subList(first, order.size()),
                        to -> Message.of(RegisterRequest.CONFIRM, request(to, generation, null, null)),
                        ROUND_TIMEOUT,
                        tally,
                        t -> t.agreed().size() >= majority);
            }
            Map<String, RegisterResponse> agreed = tally.agreed();
            if (agreed.size() < majority) {
                listener.unconfirmed("no majority: " + agreed.size() + " of " + majority + " routers heard");
                bootstrap.onFailedRound(tally);
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
     * Fetches the newer entry from a router that has learned it. If none has, the proposer has failed or is slow, and
     * this router finishes its ballot.
     */
    private void catchUp(Map<String, RegisterResponse> replies, Version last) throws InterruptedException {
        Optional<Map.Entry<String, RegisterResponse>> knows = replies.entrySet().stream()
                .filter(e -> e.getValue().learned().compareTo(acceptor.learned().version()) > 0)
                .max(Comparator.comparing(e -> e.getValue().learned()));
        if (knows.isPresent()) {
            Tally tally = new Tally();
            fanout.query(
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
                    ROUND_TIMEOUT,
                    tally,
                    t -> false);
            tally.replies().values().stream()
                    .filter(r -> r.news() != null)
                    .forEach(r -> acceptor.learn(r.news(), r.newsIn()));
            return;
        }
        tasks.sleep(Duration.ofMillis(random.nextInt(MAX_FINISH_DELAY_MS)));
        awaitQuiet();
        if (acceptor.learned().version().compareTo(last) < 0) {
            runBallot(null);
        }
    }

    /** Returns whether a proposal waits for a majority; for {@code STATUS}. */
    boolean hasPendingProposal() {
        return pending != null;
    }
}
