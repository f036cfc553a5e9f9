package stagepier.shadow;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;
import stagepier.exchange.Clock;
import stagepier.exchange.Exchange;
import stagepier.exchange.Ids;
import stagepier.exchange.Reply;
import stagepier.exchange.ServerTransport;
import stagepier.exchange.ShadowTap;
import stagepier.fleet.History;
import stagepier.memcache.Command;
import stagepier.server.Connector;
import stagepier.settings.SettingsParser;

/**
 * Sends copies beside the real requests and compares what comes. On the event loop; reads orders without waiting and hands over
 * counts by a box that drops. Whatever fails in here ends the shadow, never a real request.
 */
public final class ShadowCopies implements ShadowTap {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowCopies.class);
    /** Requests that are looked at at a time. Guards the heap. */
    private static final int PAIRS_MOST = 256;

    private static final int TICK_MS = 50;
    /**
     * The copy goes out when the real execution has ended, so that neither's time holds what the loop does for the other; at the latest
     * after this part of the request's time, so that what the real one fails at is seen, too.
     */
    private static final double WAITS_PART = 0.25;
    /** So many are compared without a score: the code for copies runs slowly until it has been compiled. */
    private static final int COMPARED_COLD = 50;
    /** Ticks between two hand-overs of counts. */
    private static final int PUBLISH_EVERY = 5;

    /**
     * What it works with.
     *
     * @param linksMost  descriptors set aside for copies
     * @param ids        beginning of the copies' ids: this process's own, up to 16 letters and digits
     * @param nanoTime   of {@code Tasks}
     * @param orders     what holds now; null for nothing
     * @param tell       takes counts; false where its box is full
     * @param promoted   the ring that has part of the keys; null for none
     * @param promote    gives that to the module
     */
    public record Parts(
            EventLoop loop,
            Clock clock,
            Connector connector,
            SettingsParser.Parsed settings,
            int linksMost,
            String ids,
            RouterState router,
            ServerStates servers,
            LongSupplier nanoTime,
            Supplier<ShadowPlan> orders,
            Predicate<Counts.Snapshot> publish,
            Supplier<Api.PromotedRing> promoted,
            Consumer<Api.PromotedRing> promote,
            History history) {}

    /** A real request in the slice, and its copy. */
    private static final class Pair {
        private final Exchange real;
        private final long server;
        private final String className;
        private final long key;
        private boolean first;
        private long candidate;
        private boolean copied;
        private boolean considered;
        /** The copy goes where the real one went: what is true of all copies shows there, too. */
        private boolean control;

        private long target;
        private Future<?> timer;
        private int attempts = 1;
        /** What the client got, for the history. */
        private String answer;

        private ExecutionResult seen;
        private ExecutionResult copy;

        Pair(Exchange real, long server, String className, long key) {
            this.real = real;
            this.server = server;
            this.className = className;
            this.key = key;
        }
    }

    private final Parts parts;
    private final ShadowLinks links;
    private final Map<Long, Pair> pairs = new HashMap<>();
    /** Requests that were copied before they had their answer: for the history. Those whose client left fall out. */
    private final Map<Long, Pair> copied = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Pair> eldest) {
            return size() > PAIRS_MOST;
        }
    };

    private ShadowPlan orders;
    private ShadowRules rules;
    private KeyMemory memory;
    private Counts counts;
    private String id = "";
    private SecondLook look;
    private Api.PromotedRing promoted;
    private boolean halted;
    private boolean broken;
    private final SplittableRandom random;
    private long lastId;
    /** Since this process began, whatever the map. */
    private long compared;

    private long publishedSequence;
    private int ticks;

    public ShadowCopies(Parts parts) {
        this.parts = parts;
        random = new SplittableRandom(parts.ids().hashCode());
        links = new ShadowLinks(
                parts.loop(),
                parts.clock(),
                parts.connector(),
                parts.linksMost(),
                parts.settings().idleClose());
    }

    /** From here on it looks after its links and tells its counts. */
    public void start() {
        parts.loop().scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Connections for copies that are open or being opened. */
    public int links() {
        return links.size();
    }

    // ---- what is heard of the real requests --------------------------------------------------------------
    @Override
    public void sent(Exchange x, int attempt, long server, double now) {
        Pair p = copied.getOrDefault(x.id(), pairs.get(x.id()));
        if (p != null) {
            p.attempts = attempt + 1;
        }
        if (attempt == 0 && !broken) {
            guarded(() -> look(x, server));
        }
    }

    @Override
    public void ended(
            Exchange x,
            int attempt,
            long server,
            Api.Outcome outcome,
            Api.Lookup lookup,
            Reply served,
            double elapsed,
            double now) {
        if (!broken) {
            guarded(() -> {
                parts.servers().ended(now, server, outcome);
                Pair p = attempt == 0 ? pairs.get(x.id()) : null;
                if (p != null) {
                    ServerTransport.Transmission sending = x.sending(0);
                    long value = served == null || served.flow() != null ? 0 : ExecutionResult.checksum(served.body());
                    p.seen = new ExecutionResult(outcome, lookup, value, elapsed, sending == null || sending.isAlone());
                    complete(p);
                    // After this turn's work: the client's answer goes first.
                    parts.loop().execute(() -> guarded(() -> consider(p)));
                }
            });
        }
    }

    @Override
    public void answered(Exchange x, Reply reply, double now) {
        Pair p = copied.remove(x.id());
        Pair open = p == null ? pairs.get(x.id()) : p;
        if (open != null && parts.history() != History.NONE) {
            guarded(() -> {
                open.answer = reply.kind().name() + " " + Long.toHexString(ExecutionResult.checksum(reply.body()));
                if (p != null) {
                    writeReal(p);
                }
            });
        }
        if (!broken && reply.kind() == Reply.Kind.THROTTLE && rules != null) {
            guarded(() -> {
                rules.refused(now);
                giveWay(now);
            });
        }
    }

    private void writeReal(Pair p) {
        parts.history()
                .write(
                        "shadow.real",
                        "id",
                        p.real.command().id(),
                        "server",
                        Long.toString(p.server),
                        "attempts",
                        p.attempts,
                        "answer",
                        p.answer);
    }

    /** Guards the real requests, in the middle of which this runs. */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            broken = true;
            LOG.error("the shadow failed and has ended until the next start", e);
            parts.loop().execute(() -> {
                pairs.clear();
                links.dropAll();
            });
        }
    }

    private void look(Exchange x, long server) {
        ShadowPlan now = parts.orders().get();
        if (now == null) {
            return;
        }
        takeUp(now);
        Command command = x.command();
        String className = command.attribute("c");
        if (!isOrdered() || command.kind() != Command.Kind.GET || !orders.map().covers(className, command.key())) {
            return;
        }
        long key = Ids.ofKey(command.key());
        if (!orders.slice().holds(key, orders.map().slice())) {
            return;
        }
        counts.add("asked", 1);
        if (pairs.size() >= PAIRS_MOST) {
            counts.add(CopyDecision.NO_LINK.counter(), 1);
            return;
        }
        Pair p = new Pair(x, server, className, key);
        pairs.put(x.id(), p);
        double waits = WAITS_PART * (x.deadlineAt() - x.takenAt());
        p.timer = parts.loop().schedule(() -> guarded(() -> consider(p)), (long) (waits * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Other orders: where they are of another map, all begins anew. */
    private void takeUp(ShadowPlan now) {
        if (now == orders) {
            return;
        }
        if (now.isOtherMap(orders)) {
            links.dropAll();
            pairs.clear();
            rules = new ShadowRules(now.map(), now.fleet());
            memory = new KeyMemory();
            counts = new Counts();
            id = now.map().id();
            look = null;
            halted = false;
            publishedSequence = 0;
        }
        orders = now;
    }

    private boolean isOrdered() {
        return !halted && !broken && orders.holdAt(parts.nanoTime().getAsLong());
    }

    // ---- copies -------------------------------------------------------------------------------------------
    private void consider(Pair p) {
        p.timer.cancel(false);
        if (p.considered || pairs.get(p.real.id()) != p) {
            return;
        }
        p.considered = true;
        CopyDecision ruling =
                p.seen != null && p.seen.outcome() == Api.Outcome.CANCELLED ? CopyDecision.NOT_SENT : rule(p);
        counts.add(ruling.counter(), 1);
        if (ruling != CopyDecision.COPY) {
            pairs.remove(p.real.id());
        }
    }

    private CopyDecision rule(Pair p) {
        double now = parts.clock().now();
        p.candidate = orders.ring().owner(p.key);
        p.first = memory.isFirst(now, p.key);
        int index = parts.settings().names().classes().indexOf(p.className);
        boolean repeatable =
                index >= 0 && parts.settings().settings().classes().get(index).repeat() == Api.Repeat.SAFE;
        long present = orders.present().owner(p.key);
        load(present, "now");
        load(p.candidate, "then");
        ServerTransport.Transmission sending = p.real.sending(0);
        double left = p.real.deadlineAt() - now;
        CopyDecision ruling = rules.rule(
                now,
                new ShadowRules.OriginalRequest(
                        repeatable,
                        p.real.command().isWrite(),
                        0,
                        sending != null && sending.isOut(),
                        p.real.deadlineAt() - p.real.takenAt(),
                        left,
                        p.first),
                new ShadowRules.Owners(p.server, present, p.candidate),
                isOrdered(),
                parts.router(),
                parts.servers().of(now, p.candidate));
        if (ruling != CopyDecision.COPY) {
            return ruling;
        }
        if (look != null) {
            // What is in doubt comes first.
            return CopyDecision.OVER_BUDGET;
        }
        p.control = !p.first && random.nextBoolean();
        p.target = p.control ? p.server : p.candidate;
        if (p.control && parts.servers().of(now, p.target) != Eligibility.FIT) {
            return CopyDecision.NOT_FIT;
        }
        ShadowLink link = links.free(p.target, parts.servers().address(p.target));
        ruling = link == null ? CopyDecision.NO_LINK : rules.afford(now, p.first);
        if (ruling == CopyDecision.COPY) {
            p.copied = true;
            String real = p.real.command().id();
            parts.history()
                    .write(
                            "shadow.copy",
                            "map",
                            id,
                            "id",
                            p.control ? "" : real,
                            "key",
                            p.real.command().key(),
                            "server",
                            Long.toString(p.target));
            if (p.control) {
                counts.add("controls", 1);
            } else if (p.answer == null) {
                copied.put(p.real.id(), p);
            } else {
                writeReal(p);
            }
            send(link, p.real.command(), left, seen -> {
                p.copy = seen;
                complete(p);
            });
        }
        return ruling;
    }

    /**
     * Requests by zone and kind, as they are and as the candidate would have them: with {@link RingDifference}, the load
     * that is foretold.
     */
    private void load(long server, String when) {
        Api.Member member = parts.servers().member(server);
        if (member != null) {
            SettingsParser.Names names = parts.settings().names();
            counts.add("load_zone." + name(names.zones(), member.zone()) + "." + when, 1);
            counts.add("load_kind." + name(names.kinds(), member.kind()) + "." + when, 1);
        }
    }

    private static String name(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "other";
    }

    private void send(ShadowLink link, Command command, double left, Consumer<ExecutionResult> done) {
        String copyId = parts.ids() + Long.toHexString(++lastId);
        counts.add("copies", 1);
        links.ask(link, new ShadowRequest(copyId, command, left, seen -> guarded(() -> done.accept(seen))));
    }

    /** Both have ended, or it is waited for the other. */
    private void complete(Pair p) {
        if (p.seen == null || p.copied && p.copy == null || !p.copied) {
            return;
        }
        if (pairs.remove(p.real.id(), p)) {
            compare(p);
        }
    }

    private void compare(Pair p) {
        double now = parts.clock().now();
        parts.servers().ended(now, p.target, p.copy.outcome());
        long before = memory.before(p.key, p.seen.value());
        ComparisonResult result = Comparison.of(p.seen, p.copy, p.first, before);
        memory.gave(p.key, p.seen.value());
        double score = Comparison.score(result, p.seen, p.copy, p.copy.alone());
        if (++compared > COMPARED_COLD) {
            counts.score(p.control, score);
        }
        if (!Double.isNaN(score) && p.seen.isServed() && p.copy.isServed()) {
            counts.time(p.className + ".real", p.seen.elapsed());
            counts.time(p.className + (p.control ? ".control" : ".copy"), p.copy.elapsed());
        }
        if (p.control) {
            return;
        }
        if (p.copy.isServed()) {
            memory.copied(now, p.key);
        }
        if (!p.first && p.copy.isMiss()) {
            rules.fetched(now);
        }
        counts.add(result.counter(), 1);
        if (!p.first && p.seen.isHit() && p.copy.isMiss()) {
            counts.add("miss_for_hit", 1);
        } else if (!p.first && p.seen.isMiss() && p.copy.isHit()) {
            counts.add("hit_for_miss", 1);
        }
        if (result == ComparisonResult.IN_DOUBT && look == null) {
            Command command = p.real.command();
            look = new SecondLook(
                    (server, done) -> askAgain(server, command, done),
                    p.server,
                    p.candidate,
                    p.seen,
                    p.copy,
                    now,
                    this::judged);
        }
    }

    /** @return whether it was sent */
    private boolean askAgain(long server, Command command, Consumer<ExecutionResult> done) {
        double now = parts.clock().now();
        if (rules.givesWay(now, isOrdered(), parts.router()) || parts.servers().of(now, server) != Eligibility.FIT) {
            return false;
        }
        ShadowLink link = links.free(server, parts.servers().address(server));
        if (link == null || rules.afford(now, false) != CopyDecision.COPY) {
            return false;
        }
        int index = parts.settings().names().classes().indexOf(command.attribute("c"));
        parts.history()
                .write("shadow.copy", "map", id, "id", "", "key", command.key(), "server", Long.toString(server));
        send(link, command, parts.settings().settings().classes().get(index).deadline(), done);
        return true;
    }

    private void judged(ComparisonResult result) {
        look = null;
        if (result == ComparisonResult.IN_DOUBT) {
            counts.add("left_in_doubt", 1);
            return;
        }
        counts.add(result.counter(), 1);
        if (result == ComparisonResult.WRONG) {
            halted = true;
            parts.history().write("shadow.wrong", "map", id);
            LOG.warn("candidate {} gives wrong answers: stopped here", id);
            giveWay(parts.clock().now());
            publishCounts();
        }
    }

    // ---- giving way ---------------------------------------------------------------------------------------
    /** The first thing that is given up: all that is out ends now. */
    private void giveWay(double now) {
        if (rules != null && rules.givesWay(now, isOrdered(), parts.router())) {
            links.dropAll();
        }
    }

    private void tick() {
        Api.PromotedRing now = parts.promoted().get();
        if (now != promoted) {
            promoted = now;
            parts.promote().accept(now);
        }
        guarded(() -> {
            ShadowPlan current = parts.orders().get();
            if (broken || current == null) {
                return;
            }
            takeUp(current);
            double time = parts.clock().now();
            giveWay(time);
            links.sweep(server -> {
                Eligibility fitness = parts.servers().of(time, server);
                return fitness != Eligibility.ABSENT && fitness != Eligibility.DRAINING;
            });
            if (look != null) {
                look.look(time);
            }
            if (++ticks % PUBLISH_EVERY == 0) {
                publishCounts();
            }
        });
    }

    private void publishCounts() {
        if (counts.sequence() != publishedSequence && parts.publish().test(counts.snapshot(id))) {
            publishedSequence = counts.sequence();
        }
    }

    /** Ends for good: gives back all links. */
    public void stop() {
        broken = true;
        new ArrayList<>(pairs.values()).forEach(p -> pairs.remove(p.real.id()));
        links.dropAll();
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "shadow of %s, %d links", id, links.size());
    }
}
