package stagepier.shadow;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.FleetService;
import stagepier.fleet.FleetView;
import stagepier.fleet.History;
import stagepier.fleet.Message;
import stagepier.freeze.Calendar;
import stagepier.tasks.Mailbox;
import stagepier.tasks.Tasks;

/**
 * The part of the shadow outside of the event loop: reads the candidate from its file or from other routers, merges
 * counts, determines the verdict, stops a wrong candidate in the whole fleet and promotes a good one. One task
 * synchronizes with a random member four times a second; another merges the counts from the event loop.
 */
public final class ShadowService implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowService.class);
    private static final Duration SYNC_INTERVAL = Duration.ofMillis(250);
    private static final Duration STEP_CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    /** Number of members to which each router sends a stop when it first learns of it, and the attempts per member. */
    private static final int STOP_RECIPIENTS = 16;

    private static final int STOP_ATTEMPTS = 3;
    private static final int COUNTS_MAILBOX_CAPACITY = 4;
    /** Rounds between two updates of the status lines. */
    private static final int STATUS_INTERVAL_ROUNDS = 4;
    /** In every fourth round, any member may be selected, also one that is considered dead. */
    private static final int ANY_MEMBER_INTERVAL_ROUNDS = 4;

    /**
     * The dependencies of the service.
     *
     * @param incarnation incarnation of this process, above 0 and never used by another process of the same name
     * @param agreement null if promotions are not available
     * @param members the current list of cache servers
     * @param sizes whether the weights on that list are sizes
     * @param zones names of the zones, by index
     * @param kinds names of the kinds, by index
     */
    public record Parts(
            Tasks tasks,
            FleetRpc calls,
            FleetConfig config,
            long incarnation,
            Supplier<FleetView> view,
            Supplier<Calendar> calendar,
            Agreement agreement,
            Supplier<List<Api.Member>> members,
            boolean sizes,
            List<String> zones,
            List<String> kinds,
            History history) {}

    private final Parts parts;
    private final Tasks tasks;
    private final ShadowState state;
    private final Mailbox<Counts.Snapshot> countsMailbox;
    private final Promotion promotion;
    private final Random random;
    private volatile ShadowPlan plan;
    private volatile String promotionResult = "";
    private volatile List<Api.Member> ringMembers;
    private volatile String predicted = "";
    private volatile Api.PromotedRing promoted;
    private int share;
    private volatile List<String> statusLines = List.of("shadow: no candidate");

    public ShadowService(Parts parts) {
        this.parts = parts;
        tasks = parts.tasks();
        state = new ShadowState(
                parts.config().self(),
                parts.incarnation(),
                parts.config().members().size(),
                parts.config().lease().toNanos());
        countsMailbox = tasks.mailbox(COUNTS_MAILBOX_CAPACITY);
        random = new Random(parts.config().self().hashCode() * 31L + parts.incarnation());
        Duration leadTime = parts.config().lease().plus(parts.config().skew()).plus(Duration.ofSeconds(1));
        promotion = parts.agreement() == null
                ? null
                : new Promotion(tasks, parts.agreement(), parts.calendar(), parts.view(), leadTime, parts.history());
    }

    @Override
    public void start() {
        parts.calls().answer("shadow", this::handle);
        tasks.start("shadow-file", () -> readFile(false));
        tasks.start("shadow-talk", this::runSynchronization);
        tasks.start("shadow-counts", this::runCounts);
        if (promotion != null) {
            tasks.start("shadow-steps", this::runPromotionSteps);
        }
    }

    @Override
    public void reload() {
        tasks.start("shadow-file", () -> readFile(true));
    }

    /** Returns the current plan for the event loop; null before a candidate is known. May be called from any thread. */
    public ShadowPlan orders() {
        return plan;
    }

    /** Takes counts from the event loop; never blocks. */
    public boolean counted(Counts.Snapshot snapshot) {
        return countsMailbox.put(snapshot);
    }

    /** Returns the version of the current candidate, for the view; 0 for none. */
    public long version() {
        CandidateMap map = state.map();
        return map == null ? 0 : map.version();
    }

    /**
     * Returns the ring that serves part of the keys, for the routing module; null for none. May be called from any
     * thread.
     */
    public Api.PromotedRing promoted() {
        return promoted;
    }

    /** Runs the steps of promotions. */
    private void runPromotionSteps() throws InterruptedException {
        for (; ; ) {
            tasks.sleep(STEP_CHECK_INTERVAL);
            int now = promotion.updateShare();
            if (now != share) {
                share = now;
                CandidateMap map = promotion.map();
                promoted = now == 0 ? null : ShardRing.of(map).promoted(new Slice(map.salt()), now);
                LOG.info("candidate {} now serves {} of every 10000 keys on this router", map.id(), now);
            }
        }
    }

    /** Returns the share of the keys that the promoted candidate serves on this router, in parts per ten thousand. */
    public int share() {
        return promotion == null ? 0 : promotion.updateShare();
    }

    // ---- candidate file -----------------------------------------------------------------------------------
    /**
     * @param applyDesiredState whether to carry out the requested action; false at the start, since every restart would
     *     otherwise request it again
     */
    private void readFile(boolean applyDesiredState) throws InterruptedException {
        if (parts.config().candidate() == null) {
            return;
        }
        CandidateFile.Parsed read;
        try {
            read = CandidateFile.read(parts.config().candidate());
        } catch (CandidateException e) {
            e.lines().forEach(line -> LOG.error("{}", line));
            return;
        } catch (IOException e) {
            LOG.error(
                    "{}: line 0: key (none): cannot be read: {}", parts.config().candidate(), e.getMessage());
            return;
        }
        try {
            adopt(read.map());
        } catch (IllegalStateException e) {
            LOG.error("{}: line 1: key version: {}", parts.config().candidate(), e.getMessage());
            return;
        }
        if (applyDesiredState && promotion != null && read.desiredState() != CandidateFile.DesiredState.TRY) {
            promotionResult = read.desiredState() == CandidateFile.DesiredState.PROMOTE
                    ? promotion.promote(
                            read.map(), state.verdict(parts.view().get().majority()), state.stopped())
                    : promotion.rollBack();
            LOG.info("{}", promotionResult);
            parts.history().write("promotion.asked", "wish", read.desiredState().name(), "what", promotionResult);
        }
    }

    /** Adopts a candidate as if it had been read from a file. */
    void adopt(CandidateMap map) {
        CandidateMap held = state.map();
        if (state.adopt(map)) {
            onCandidateAdopted();
        } else if (!map.id().equals(held.id())) {
            throw new IllegalStateException("candidate " + held.id() + " is held, which is newer: raise the version");
        }
        updatePlan();
    }

    private void onCandidateAdopted() {
        LOG.info("adopted candidate {} for comparison with real requests", state.id());
        parts.history().write("shadow.map", "map", state.id());
    }

    // ---- synchronization with other routers ---------------------------------------------------------------
    private void runSynchronization() throws InterruptedException {
        for (int round = 0; ; round++) {
            tasks.sleep(SYNC_INTERVAL);
            String member = selectMember(round);
            if (member != null) {
                syncWith(member);
            }
            updatePlan();
            if (round % STATUS_INTERVAL_ROUNDS == 0) {
                statusLines = buildStatus();
                writeCountsToHistory();
            }
        }
    }

    /** Writes the merged counts to the history, where a checker compares them with the copies that were sent. */
    private void writeCountsToHistory() {
        List<String> counts = new ArrayList<>();
        long total = 0;
        for (RouterCounts c : state.counts()) {
            counts.add(c.router() + ":" + c.incarnation() + ":" + c.counter("copies"));
            total += c.counter("copies");
        }
        if (!counts.isEmpty()) {
            parts.history()
                    .write(
                            "shadow.counters",
                            "map",
                            state.id(),
                            "epoch",
                            parts.view().get().epoch(),
                            "counts",
                            counts,
                            "total",
                            total);
        }
    }

    private String selectMember(int round) {
        List<String> others = otherMembers();
        if (round % ANY_MEMBER_INTERVAL_ROUNDS != 0) {
            FleetView view = parts.view().get();
            List<String> alive = others.stream()
                    .filter(o -> view.member(o).map(FleetView.Member::counts).orElse(true))
                    .toList();
            others = alive.isEmpty() ? others : alive;
        }
        return others.isEmpty() ? null : others.get(randomIndex(others.size()));
    }

    private List<String> otherMembers() {
        List<String> others = new ArrayList<>(parts.config().members().keySet());
        others.remove(parts.config().self());
        return others;
    }

    private synchronized int randomIndex(int bound) {
        return random.nextInt(bound);
    }

    private void syncWith(String member) throws InterruptedException {
        try {
            String idBefore = state.id();
            long callStarted = tasks.nanoTime();
            ShadowMessages.SyncResponse response = parts.calls()
                    .call(member, Message.of(ShadowMessages.SYNC_REQUEST, state.syncRequest()), CALL_TIMEOUT)
                    .read(ShadowMessages.SyncResponse.class);
            boolean stoppedNow = state.mergeResponse(member, callStarted, response);
            applyChanges(idBefore, stoppedNow);
            ShadowMessages.Update missing = state.missingFrom(response);
            if (missing != null) {
                parts.calls().call(member, Message.of(ShadowMessages.UPDATE, missing), CALL_TIMEOUT);
            }
        } catch (FleetRpc.NoReplyException e) {
            // The next round selects a member again.
            LOG.debug("{}", e.getMessage());
        } catch (Message.MalformedException e) {
            LOG.warn("malformed shadow message from router {}; synchronization aborted: {}", member, e.getMessage());
        }
    }

    private void applyChanges(String idBefore, boolean stoppedNow) {
        if (!state.id().equals(idBefore)) {
            onCandidateAdopted();
        }
        if (stoppedNow) {
            onStopped();
        }
        updatePlan();
    }

    /** Handles a message from another router; never blocks. */
    private Message handle(String from, Message call) throws Message.MalformedException {
        String idBefore = state.id();
        switch (call.kind()) {
            case ShadowMessages.SYNC_REQUEST:
                return Message.of(
                        ShadowMessages.SYNC_RESPONSE,
                        state.syncResponse(call.read(ShadowMessages.SyncRequest.class), tasks.nanoTime()));
            case ShadowMessages.UPDATE, ShadowMessages.STOP:
                applyChanges(idBefore, state.applyUpdate(call.read(ShadowMessages.Update.class)));
                return Message.of(ShadowMessages.ACKNOWLEDGEMENT, new ShadowMessages.Acknowledgement(state.id()));
            default:
                throw new Message.MalformedException("unknown kind of shadow message: " + call.kind());
        }
    }

    /**
     * Handles a stop of the candidate, detected here or received: updates the plan first, then notifies other routers.
     */
    private void onStopped() {
        updatePlan();
        LOG.warn("candidate {} stopped, no more copies are sent: {}", state.id(), state.stopped());
        parts.history().write("shadow.stopped", "map", state.id(), "why", state.stopped());
        Message message = Message.of(ShadowMessages.STOP, state.stopMessage());
        List<String> others = otherMembers();
        synchronized (this) {
            Collections.shuffle(others, random);
        }
        for (String member : others.subList(0, Math.min(STOP_RECIPIENTS, others.size()))) {
            tasks.start("shadow-stop", () -> {
                for (int i = 0; i < STOP_ATTEMPTS; i++) {
                    try {
                        parts.calls().call(member, message, CALL_TIMEOUT);
                        return;
                    } catch (FleetRpc.NoReplyException e) {
                        LOG.debug("{}", e.getMessage());
                    }
                }
            });
        }
    }

    // ---- counts and plan ----------------------------------------------------------------------------------
    private void runCounts() throws InterruptedException {
        for (; ; ) {
            Counts.Snapshot snapshot = countsMailbox.take(Duration.ofSeconds(1));
            if (snapshot != null) {
                boolean stoppedNow = state.recordOwnCounts(parts.view().get().epoch(), snapshot);
                parts.history()
                        .write(
                                "shadow.counts",
                                "map",
                                snapshot.map(),
                                "sequence",
                                snapshot.sequence(),
                                "copies",
                                snapshot.counter("copies"),
                                "scores",
                                snapshot.counter(Counts.SCORES),
                                "wrong",
                                snapshot.counter(ComparisonResult.WRONG.counter()),
                                "epoch",
                                parts.view().get().epoch());
                if (stoppedNow) {
                    onStopped();
                }
            }
        }
    }

    /** Builds the current plan. */
    private synchronized void updatePlan() {
        CandidateMap map = state.map();
        if (map == null) {
            return;
        }
        ShadowPlan previous = plan;
        List<Api.Member> members = parts.members().get();
        boolean sameMap = previous != null && previous.map().equals(map);
        Slice slice = sameMap ? previous.slice() : new Slice(map.salt());
        ShardRing ring = sameMap ? previous.ring() : ShardRing.of(map);
        ShardRing present =
                previous != null && members == ringMembers ? previous.present() : ShardRing.of(members, parts.sizes());
        if (previous == null || previous.ring() != ring || previous.present() != present) {
            predicted = RingDifference.of(present, ring).describe(members, parts.zones(), parts.kinds());
        }
        ringMembers = members;
        boolean on = parts.view().get().majority() && state.stopped().isEmpty() && share() == 0;
        long expiresAt = state.leaseEnd(tasks.nanoTime());
        if (previous != null && previous.on() != on) {
            parts.history().write("shadow.on", "map", map.id(), "on", on ? 1 : 0);
        }
        plan = new ShadowPlan(
                sameMap ? previous.map() : map,
                slice,
                ring,
                present,
                parts.config().members().size(),
                expiresAt,
                on);
    }

    // ---- status for operators -----------------------------------------------------------------------------
    /** Returns status lines that are up to a second old, since the caller may be the event loop. */
    @Override
    public List<String> status() {
        return statusLines;
    }

    private List<String> buildStatus() {
        CandidateMap map = state.map();
        if (map == null) {
            return List.of("shadow: no candidate");
        }
        List<String> all = new ArrayList<>();
        ShadowPlan current = plan;
        FleetView view = parts.view().get();
        String condition = !state.stopped().isEmpty()
                ? "stopped: " + state.stopped()
                : !view.majority()
                        ? "waits: in no majority"
                        : current == null || !current.isActiveAt(tasks.nanoTime())
                                ? "waits: not enough routers heard of late"
                                : "on";
        all.add("shadow: candidate " + state.id() + " " + condition + ", slice " + map.slice() + " of 10000, heard of "
                + state.routersWithScores() + " of " + parts.config().members().size() + " routers, epoch "
                + view.epoch());
        all.add("shadow verdict: " + state.verdict(view.majority()).describe());
        StringBuilder sums = new StringBuilder("shadow counts:");
        state.sums()
                .forEach((name, n) -> sums.append(' ').append(name).append('=').append(n));
        all.add(sums.toString());
        all.addAll(buildTimeLines());
        if (!predicted.isEmpty()) {
            all.add("shadow foretells: " + predicted);
        }
        if (promotion != null) {
            all.add(promotion.describe() + (promotionResult.isEmpty() ? "" : " (" + promotionResult + ")"));
        }
        return all;
    }

    private List<String> buildTimeLines() {
        List<String> timeLines = new ArrayList<>();
        List<RouterCounts> all = state.counts();
        all.stream()
                .flatMap(c -> c.times().keySet().stream())
                .distinct()
                .sorted()
                .forEach(which -> {
                    Histogram h = new Histogram(2);
                    for (RouterCounts c : all) {
                        try {
                            c.addTimes(which, h);
                        } catch (DataFormatException | IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                            LOG.warn(
                                    "cannot decode a time histogram of router {}; leaving it out: {}",
                                    c.router(),
                                    e.getMessage());
                        }
                    }
                    timeLines.add("shadow times of " + which + ": n " + h.getTotalCount() + ", p50 "
                            + h.getValueAtPercentile(50) + " us, p99 " + h.getValueAtPercentile(99) + " us");
                });
        return timeLines;
    }

    /** Returns null if promotions are not available. */
    Promotion promotion() {
        return promotion;
    }

    /** Returns the state, for tests. */
    ShadowState state() {
        return state;
    }
}
