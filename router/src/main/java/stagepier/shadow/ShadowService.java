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
 * The shadow beside the event loop: takes the candidate from its file or from other routers, merges counts, says what the verdict
 * is, stops a wrong candidate in the whole fleet, and has a good one promoted. One task talks to a random member four times a
 * second, one takes what the loop has counted.
 */
public final class ShadowService implements FleetService {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowService.class);
    private static final Duration PAUSE = Duration.ofMillis(250);
    private static final Duration STEP_LOOK = Duration.ofMillis(100);
    private static final Duration CALL_MOST = Duration.ofMillis(500);
    /** Members that are told of a stop at once, by each router that hears of it first. */
    private static final int STOP_TOLD = 16;

    private static final int STOP_TRIES = 3;
    private static final int BOX = 4;
    /** Turns after which the lines for staff are put together anew. */
    private static final int LINES_EVERY = 4;
    /** Every so many-th talk is with any member, also one that is held to be gone. */
    private static final int ANYONE = 4;

    /**
     * What it works with.
     *
     * @param incarnation of this process, above 0 and never used by another of its name
     * @param agreement   null where nothing can be promoted
     * @param members     the list of cache servers as it is now
     * @param sizes       whether weights on that list are sizes
     * @param zones       their names, by index
     * @param kinds       their names, by index
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
    private final Mailbox<Counts.Snapshot> counted;
    private final Promotion promotion;
    private final Random random;
    private volatile ShadowPlan orders;
    private volatile String wish = "";
    private volatile List<Api.Member> ringMembers;
    private volatile String foretold = "";
    private volatile Api.PromotedRing promoted;
    private int share;
    private volatile List<String> lines = List.of("shadow: no candidate");

    public ShadowService(Parts parts) {
        this.parts = parts;
        tasks = parts.tasks();
        state = new ShadowState(
                parts.config().self(),
                parts.incarnation(),
                parts.config().members().size(),
                parts.config().lease().toNanos());
        counted = tasks.mailbox(BOX);
        random = new Random(parts.config().self().hashCode() * 31L + parts.incarnation());
        Duration lead = parts.config().lease().plus(parts.config().skew()).plus(Duration.ofSeconds(1));
        promotion = parts.agreement() == null
                ? null
                : new Promotion(tasks, parts.agreement(), parts.calendar(), parts.view(), lead, parts.history());
    }

    @Override
    public void start() {
        parts.calls().answer("shadow", this::answer);
        tasks.start("shadow-file", () -> readFile(false));
        tasks.start("shadow-talk", this::talk);
        tasks.start("shadow-counts", this::count);
        if (promotion != null) {
            tasks.start("shadow-steps", this::step);
        }
    }

    @Override
    public void reload() {
        tasks.start("shadow-file", () -> readFile(true));
    }

    /** What the event loop may do now; null before anything is known. From any thread. */
    public ShadowPlan orders() {
        return orders;
    }

    /** From the event loop; never waits. */
    public boolean counted(Counts.Snapshot snapshot) {
        return counted.put(snapshot);
    }

    /** Version of the candidate that is held, for the view; 0 for none. */
    public long version() {
        CandidateMap map = state.map();
        return map == null ? 0 : map.version();
    }

    /** The ring that part of the keys has been given to, for the module; null for none. From any thread. */
    public Api.PromotedRing promoted() {
        return promoted;
    }

    /** Looks for the next step of a promotion. */
    private void step() throws InterruptedException {
        for (; ; ) {
            tasks.sleep(STEP_LOOK);
            int now = promotion.share();
            if (now != share) {
                share = now;
                CandidateMap map = promotion.map();
                promoted = now == 0 ? null : ShardRing.of(map).promoted(new Slice(map.salt()), now);
                LOG.info("candidate {} serves {} of 10000 keys", map.id(), now);
            }
        }
    }

    /** Parts per ten thousand of the keys that the promoted candidate serves here. */
    public int share() {
        return promotion == null ? 0 : promotion.share();
    }

    // ---- the file -----------------------------------------------------------------------------------------
    /** @param wishes whether what staff want done is done: not at a start, or each one would ask for it again */
    private void readFile(boolean wishes) throws InterruptedException {
        if (parts.config().candidate() == null) {
            return;
        }
        CandidateFile.Read read;
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
            take(read.map());
        } catch (IllegalStateException e) {
            LOG.error("{}: line 1: key version: {}", parts.config().candidate(), e.getMessage());
            return;
        }
        if (wishes && promotion != null && read.wish() != CandidateFile.DesiredState.TRY) {
            wish = read.wish() == CandidateFile.DesiredState.PROMOTE
                    ? promotion.promote(
                            read.map(), state.verdict(parts.view().get().majority()), state.stopped())
                    : promotion.back();
            LOG.info("{}", wish);
            parts.history().write("promotion.asked", "wish", read.wish().name(), "what", wish);
        }
    }

    /** Takes a candidate as from a file. */
    void take(CandidateMap map) {
        CandidateMap held = state.map();
        if (state.take(map)) {
            candidateTaken();
        } else if (!map.id().equals(held.id())) {
            throw new IllegalStateException("candidate " + held.id() + " is held, which is newer: raise the version");
        }
        order();
    }

    private void candidateTaken() {
        LOG.info("candidate {} is tried", state.id());
        parts.history().write("shadow.map", "map", state.id());
    }

    // ---- talk ---------------------------------------------------------------------------------------------
    private void talk() throws InterruptedException {
        for (int turn = 0; ; turn++) {
            tasks.sleep(PAUSE);
            String member = other(turn);
            if (member != null) {
                exchange(member);
            }
            order();
            if (turn % LINES_EVERY == 0) {
                lines = lines();
                tellHistory();
            }
        }
    }

    /** What this router has merged, for whoever checks it against what was sent. */
    private void tellHistory() {
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

    private String other(int turn) {
        List<String> others = others();
        if (turn % ANYONE != 0) {
            FleetView view = parts.view().get();
            List<String> there = others.stream()
                    .filter(o -> view.member(o).map(FleetView.Member::counts).orElse(true))
                    .toList();
            others = there.isEmpty() ? others : there;
        }
        return others.isEmpty() ? null : others.get(draw(others.size()));
    }

    private List<String> others() {
        List<String> others = new ArrayList<>(parts.config().members().keySet());
        others.remove(parts.config().self());
        return others;
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    private void exchange(String member) throws InterruptedException {
        try {
            String before = state.id();
            long began = tasks.nanoTime();
            ShadowMessages.SyncResponse known = parts.calls()
                    .call(member, Message.of(ShadowMessages.SYNC_REQUEST, state.ask()), CALL_MOST)
                    .read(ShadowMessages.SyncResponse.class);
            boolean stop = state.merge(member, began, known);
            news(before, stop);
            ShadowMessages.Update lacked = state.lackedBy(known);
            if (lacked != null) {
                parts.calls().call(member, Message.of(ShadowMessages.UPDATE, lacked), CALL_MOST);
            }
        } catch (FleetRpc.NoReplyException e) {
            // Another one next time.
            LOG.debug("{}", e.getMessage());
        } catch (Message.MalformedException e) {
            LOG.warn("{} said what makes no sense: {}", member, e.getMessage());
        }
    }

    private void news(String idBefore, boolean stop) {
        if (!state.id().equals(idBefore)) {
            candidateTaken();
        }
        if (stop) {
            stopped();
        }
        order();
    }

    /** Called by others; waits for nobody. */
    private Message answer(String from, Message call) throws Message.MalformedException {
        String before = state.id();
        switch (call.kind()) {
            case ShadowMessages.SYNC_REQUEST:
                return Message.of(
                        ShadowMessages.SYNC_RESPONSE,
                        state.answer(call.read(ShadowMessages.SyncRequest.class), tasks.nanoTime()));
            case ShadowMessages.UPDATE, ShadowMessages.STOP:
                news(before, state.apply(call.read(ShadowMessages.Update.class)));
                return Message.of(ShadowMessages.ACKNOWLEDGEMENT, new ShadowMessages.Acknowledgement(state.id()));
            default:
                throw new Message.MalformedException("no word of the shadow: " + call.kind());
        }
    }

    /** The candidate has just been stopped, here or elsewhere: orders first, then others are told at once. */
    private void stopped() {
        order();
        LOG.warn("candidate {} is stopped: {}", state.id(), state.stopped());
        parts.history().write("shadow.stopped", "map", state.id(), "why", state.stopped());
        Message word = Message.of(ShadowMessages.STOP, state.stopWord());
        List<String> others = others();
        synchronized (this) {
            Collections.shuffle(others, random);
        }
        for (String member : others.subList(0, Math.min(STOP_TOLD, others.size()))) {
            tasks.start("shadow-stop", () -> {
                for (int i = 0; i < STOP_TRIES; i++) {
                    try {
                        parts.calls().call(member, word, CALL_MOST);
                        return;
                    } catch (FleetRpc.NoReplyException e) {
                        LOG.debug("{}", e.getMessage());
                    }
                }
            });
        }
    }

    // ---- counts and orders --------------------------------------------------------------------------------
    private void count() throws InterruptedException {
        for (; ; ) {
            Counts.Snapshot snapshot = counted.take(Duration.ofSeconds(1));
            if (snapshot != null) {
                boolean stop = state.counted(parts.view().get().epoch(), snapshot);
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
                if (stop) {
                    stopped();
                }
            }
        }
    }

    /** Puts together what holds now. */
    private synchronized void order() {
        CandidateMap map = state.map();
        if (map == null) {
            return;
        }
        ShadowPlan had = orders;
        List<Api.Member> members = parts.members().get();
        boolean sameMap = had != null && had.map().equals(map);
        Slice slice = sameMap ? had.slice() : new Slice(map.salt());
        ShardRing ring = sameMap ? had.ring() : ShardRing.of(map);
        ShardRing present =
                had != null && members == ringMembers ? had.present() : ShardRing.of(members, parts.sizes());
        if (had == null || had.ring() != ring || had.present() != present) {
            foretold = RingDifference.of(present, ring).describe(members, parts.zones(), parts.kinds());
        }
        ringMembers = members;
        boolean on = parts.view().get().majority() && state.stopped().isEmpty() && share() == 0;
        long until = state.until(tasks.nanoTime());
        if (had != null && had.on() != on) {
            parts.history().write("shadow.on", "map", map.id(), "on", on ? 1 : 0);
        }
        orders = new ShadowPlan(
                sameMap ? had.map() : map,
                slice,
                ring,
                present,
                parts.config().members().size(),
                until,
                on);
    }

    // ---- for staff ----------------------------------------------------------------------------------------
    /** As of a second ago: who asks may be the event loop. */
    @Override
    public List<String> status() {
        return lines;
    }

    private List<String> lines() {
        CandidateMap map = state.map();
        if (map == null) {
            return List.of("shadow: no candidate");
        }
        List<String> all = new ArrayList<>();
        ShadowPlan now = orders;
        FleetView view = parts.view().get();
        String how = !state.stopped().isEmpty()
                ? "stopped: " + state.stopped()
                : !view.majority()
                        ? "waits: in no majority"
                        : now == null || !now.holdAt(tasks.nanoTime())
                                ? "waits: not enough routers heard of late"
                                : "on";
        all.add("shadow: candidate " + state.id() + " " + how + ", slice " + map.slice() + " of 10000, heard of "
                + state.routersHeard() + " of " + parts.config().members().size() + " routers, epoch " + view.epoch());
        all.add("shadow verdict: " + state.verdict(view.majority()).describe());
        StringBuilder sums = new StringBuilder("shadow counts:");
        state.sums()
                .forEach((name, n) -> sums.append(' ').append(name).append('=').append(n));
        all.add(sums.toString());
        all.addAll(times());
        if (!foretold.isEmpty()) {
            all.add("shadow foretells: " + foretold);
        }
        if (promotion != null) {
            all.add(promotion.describe() + (wish.isEmpty() ? "" : " (" + wish + ")"));
        }
        return all;
    }

    private List<String> times() {
        List<String> words = new ArrayList<>();
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
                            LOG.warn("times of {} cannot be read: {}", c.router(), e.getMessage());
                        }
                    }
                    words.add("shadow times of " + which + ": n " + h.getTotalCount() + ", p50 "
                            + h.getValueAtPercentile(50) + " us, p99 " + h.getValueAtPercentile(99) + " us");
                });
        return words;
    }

    /** Null where nothing can be promoted. */
    Promotion promotion() {
        return promotion;
    }

    /** What is known, for tests and the lab. */
    ShadowState state() {
        return state;
    }
}
