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
 * Sends copies of real requests and compares the results. Runs on the event loop; reads the current plan without
 * blocking and hands over counts through a mailbox that drops them when it is full. A failure in this class ends the
 * shadow and never affects a real request.
 */
public final class ShadowCopies implements ShadowTap {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowCopies.class);
    /** Limits the sampled requests that are held at the same time, and thus their heap use. */
    private static final int MAX_SAMPLED_REQUESTS = 256;

    private static final int TICK_MS = 50;
    /**
     * Fraction of the request's time after which the copy is sent at the latest. Normally the copy is sent when the
     * real execution has ended, so that neither time includes the work of the event loop for the other. The limit
     * ensures that requests whose real execution fails late are compared as well.
     */
    private static final double MAX_WAIT_FRACTION = 0.25;
    /**
     * Comparisons at the start that are not scored, since the code for copies runs slowly until the JIT has compiled
     * it.
     */
    private static final int UNSCORED_COMPARISONS = 50;
    /** Ticks between two publications of counts. */
    private static final int PUBLISH_INTERVAL_TICKS = 5;

    /**
     * The dependencies of the copies.
     *
     * @param maxLinks descriptors reserved for copies
     * @param idPrefix prefix of the copies' ids, unique to this process, up to 16 letters and digits
     * @param nanoTime clock of {@code Tasks}
     * @param plan supplies the current plan; null for none
     * @param publish takes counts; false if the mailbox is full
     * @param promoted supplies the ring that serves part of the keys; null for none
     * @param promote passes that ring to the routing module
     */
    public record Parts(
            EventLoop loop,
            Clock clock,
            Connector connector,
            SettingsParser.Parsed settings,
            int maxLinks,
            String idPrefix,
            RouterState router,
            ServerStates servers,
            LongSupplier nanoTime,
            Supplier<ShadowPlan> plan,
            Predicate<Counts.Snapshot> publish,
            Supplier<Api.PromotedRing> promoted,
            Consumer<Api.PromotedRing> promote,
            History history) {}

    /** A real request within the slice, and its copy. */
    private static final class SampledRequest {
        private final Exchange real;
        private final long server;
        private final String className;
        private final long key;
        private boolean first;
        private long candidate;
        private boolean copied;
        private boolean decided;
        /**
         * The copy is sent to the server of the real request, as a control: effects that all copies have show there as
         * well.
         */
        private boolean control;

        private long target;
        private Future<?> timer;
        private int attempts = 1;
        /** The answer that the client received, for the history. */
        private String answer;

        private ExecutionResult realResult;
        private ExecutionResult copyResult;

        SampledRequest(Exchange real, long server, String className, long key) {
            this.real = real;
            this.server = server;
            this.className = className;
            this.key = key;
        }
    }

    private final Parts parts;
    private final ShadowLinks links;
    private final Map<Long, SampledRequest> sampled = new HashMap<>();
    /**
     * Requests that were copied before they were answered, for the history. The eldest are evicted, such as those whose
     * client disconnected.
     */
    private final Map<Long, SampledRequest> copiedUnanswered = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, SampledRequest> eldest) {
            return size() > MAX_SAMPLED_REQUESTS;
        }
    };

    private ShadowPlan plan;
    private ShadowRules rules;
    private RecentKeys recentKeys;
    private Counts counts;
    private String mapId = "";
    private ValueRecheck recheck;
    private Api.PromotedRing promoted;
    private boolean halted;
    private boolean failed;
    private final SplittableRandom random;
    private long lastId;
    /** Number of comparisons since this process started, over all candidates. */
    private long compared;

    private long publishedSequence;
    private int ticks;

    public ShadowCopies(Parts parts) {
        this.parts = parts;
        random = new SplittableRandom(parts.idPrefix().hashCode());
        links = new ShadowLinks(
                parts.loop(),
                parts.clock(),
                parts.connector(),
                parts.maxLinks(),
                parts.settings().idleClose());
    }

    /** Starts the periodic task that closes unused links and publishes the counts. */
    public void start() {
        parts.loop().scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of connections for copies that are open or being opened. */
    public int links() {
        return links.size();
    }

    // ---- callbacks of the real requests -------------------------------------------------------------------
    @Override
    public void sent(Exchange x, int attempt, long server, double now) {
        SampledRequest sample = copiedUnanswered.getOrDefault(x.id(), sampled.get(x.id()));
        if (sample != null) {
            sample.attempts = attempt + 1;
        }
        if (attempt == 0 && !failed) {
            guarded(() -> sampleRequest(x, server));
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
        if (!failed) {
            guarded(() -> {
                parts.servers().recordOutcome(now, server, outcome);
                SampledRequest sample = attempt == 0 ? sampled.get(x.id()) : null;
                if (sample != null) {
                    ServerTransport.Transmission sending = x.sending(0);
                    long value = served == null || served.flow() != null ? 0 : ExecutionResult.checksum(served.body());
                    sample.realResult =
                            new ExecutionResult(outcome, lookup, value, elapsed, sending == null || sending.isAlone());
                    compareIfComplete(sample);
                    // Deferred to the next turn of the event loop: the client's answer has priority.
                    parts.loop().execute(() -> guarded(() -> decideOnCopy(sample)));
                }
            });
        }
    }

    @Override
    public void answered(Exchange x, Reply reply, double now) {
        SampledRequest sample = copiedUnanswered.remove(x.id());
        SampledRequest open = sample == null ? sampled.get(x.id()) : sample;
        if (open != null && parts.history() != History.NONE) {
            guarded(() -> {
                open.answer = reply.kind().name() + " " + Long.toHexString(ExecutionResult.checksum(reply.body()));
                if (sample != null) {
                    writeReal(sample);
                }
            });
        }
        if (!failed && reply.kind() == Reply.Kind.THROTTLE && rules != null) {
            guarded(() -> {
                rules.recordRefusal(now);
                yieldIfRequired(now);
            });
        }
    }

    private void writeReal(SampledRequest sample) {
        parts.history()
                .write(
                        "shadow.real",
                        "id",
                        sample.real.command().id(),
                        "server",
                        Long.toString(sample.server),
                        "attempts",
                        sample.attempts,
                        "answer",
                        sample.answer);
    }

    /**
     * Runs an action and ends the shadow if it throws. Callbacks run while a real request is processed, which must not
     * fail because of a copy.
     */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            failed = true;
            LOG.error("shadow failed; no copies are sent until the router is restarted", e);
            parts.loop().execute(() -> {
                sampled.clear();
                links.closeAll();
            });
        }
    }

    private void sampleRequest(Exchange x, long server) {
        ShadowPlan current = parts.plan().get();
        if (current == null) {
            return;
        }
        adoptPlan(current);
        Command command = x.command();
        String className = command.attribute("c");
        if (!isActive() || command.kind() != Command.Kind.GET || !plan.map().covers(className, command.key())) {
            return;
        }
        long key = Ids.ofKey(command.key());
        if (!plan.slice().contains(key, plan.map().slice())) {
            return;
        }
        counts.add("asked", 1);
        if (sampled.size() >= MAX_SAMPLED_REQUESTS) {
            counts.add(CopyDecision.NO_LINK.counter(), 1);
            return;
        }
        SampledRequest sample = new SampledRequest(x, server, className, key);
        sampled.put(x.id(), sample);
        double maxWait = MAX_WAIT_FRACTION * (x.deadlineAt() - x.takenAt());
        sample.timer = parts.loop()
                .schedule(() -> guarded(() -> decideOnCopy(sample)), (long) (maxWait * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Adopts a new plan; if it is for a different candidate, resets all state. */
    private void adoptPlan(ShadowPlan newPlan) {
        if (newPlan == plan) {
            return;
        }
        if (newPlan.needsNewCounters(plan)) {
            links.closeAll();
            sampled.clear();
            rules = new ShadowRules(newPlan.map(), newPlan.fleet());
            recentKeys = new RecentKeys();
            counts = new Counts();
            mapId = newPlan.map().id();
            recheck = null;
            halted = false;
            publishedSequence = 0;
        }
        plan = newPlan;
    }

    private boolean isActive() {
        return !halted && !failed && plan.isActiveAt(parts.nanoTime().getAsLong());
    }

    // ---- copies -------------------------------------------------------------------------------------------
    private void decideOnCopy(SampledRequest sample) {
        sample.timer.cancel(false);
        if (sample.decided || sampled.get(sample.real.id()) != sample) {
            return;
        }
        sample.decided = true;
        CopyDecision decision = sample.realResult != null && sample.realResult.outcome() == Api.Outcome.CANCELLED
                ? CopyDecision.NOT_SENT
                : decide(sample);
        counts.add(decision.counter(), 1);
        if (decision != CopyDecision.COPY) {
            sampled.remove(sample.real.id());
        }
    }

    private CopyDecision decide(SampledRequest sample) {
        double now = parts.clock().now();
        sample.candidate = plan.ring().owner(sample.key);
        sample.first = recentKeys.isFirst(now, sample.key);
        int index = parts.settings().names().classes().indexOf(sample.className);
        boolean repeatable =
                index >= 0 && parts.settings().settings().classes().get(index).repeat() == Api.Repeat.SAFE;
        long present = plan.present().owner(sample.key);
        countLoad(present, "now");
        countLoad(sample.candidate, "then");
        ServerTransport.Transmission sending = sample.real.sending(0);
        double timeLeft = sample.real.deadlineAt() - now;
        CopyDecision decision = rules.decide(
                now,
                new ShadowRules.OriginalRequest(
                        repeatable,
                        sample.real.command().isWrite(),
                        0,
                        sending != null && sending.isOut(),
                        sample.real.deadlineAt() - sample.real.takenAt(),
                        timeLeft,
                        sample.first),
                new ShadowRules.Owners(sample.server, present, sample.candidate),
                isActive(),
                parts.router(),
                parts.servers().of(now, sample.candidate));
        if (decision != CopyDecision.COPY) {
            return decision;
        }
        if (recheck != null) {
            // A pending recheck has priority.
            return CopyDecision.OVER_BUDGET;
        }
        sample.control = !sample.first && random.nextBoolean();
        sample.target = sample.control ? sample.server : sample.candidate;
        if (sample.control && parts.servers().of(now, sample.target) != Eligibility.FIT) {
            return CopyDecision.NOT_FIT;
        }
        ShadowLink link = links.acquire(sample.target, parts.servers().address(sample.target));
        decision = link == null ? CopyDecision.NO_LINK : rules.reserve(now, sample.first);
        if (decision == CopyDecision.COPY) {
            sample.copied = true;
            String real = sample.real.command().id();
            parts.history()
                    .write(
                            "shadow.copy",
                            "map",
                            mapId,
                            "id",
                            sample.control ? "" : real,
                            "key",
                            sample.real.command().key(),
                            "server",
                            Long.toString(sample.target));
            if (sample.control) {
                counts.add("controls", 1);
            } else if (sample.answer == null) {
                copiedUnanswered.put(sample.real.id(), sample);
            } else {
                writeReal(sample);
            }
            send(link, sample.real.command(), timeLeft, result -> {
                sample.copyResult = result;
                compareIfComplete(sample);
            });
        }
        return decision;
    }

    /**
     * Counts requests by zone and kind, as routed now and by the candidate. Together with {@link RingDifference}, this
     * predicts the load.
     */
    private void countLoad(long server, String when) {
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

    private void send(ShadowLink link, Command command, double timeLeft, Consumer<ExecutionResult> done) {
        String copyId = parts.idPrefix() + Long.toHexString(++lastId);
        counts.add("copies", 1);
        links.send(link, new ShadowRequest(copyId, command, timeLeft, result -> guarded(() -> done.accept(result))));
    }

    /** Compares the two results once both executions have ended. */
    private void compareIfComplete(SampledRequest sample) {
        if (sample.realResult == null || sample.copied && sample.copyResult == null || !sample.copied) {
            return;
        }
        if (sampled.remove(sample.real.id(), sample)) {
            compare(sample);
        }
    }

    private void compare(SampledRequest sample) {
        double now = parts.clock().now();
        parts.servers().recordOutcome(now, sample.target, sample.copyResult.outcome());
        long previousValue = recentKeys.previousValue(sample.key, sample.realResult.value());
        ComparisonResult result = Comparison.of(sample.realResult, sample.copyResult, sample.first, previousValue);
        recentKeys.recordValue(sample.key, sample.realResult.value());
        double score = Comparison.score(result, sample.realResult, sample.copyResult, sample.copyResult.exclusive());
        if (++compared > UNSCORED_COMPARISONS) {
            counts.addScore(sample.control, score);
        }
        if (!Double.isNaN(score) && sample.realResult.isServed() && sample.copyResult.isServed()) {
            counts.recordTime(sample.className + ".real", sample.realResult.elapsed());
            counts.recordTime(sample.className + (sample.control ? ".control" : ".copy"), sample.copyResult.elapsed());
        }
        if (sample.control) {
            return;
        }
        if (sample.copyResult.isServed()) {
            recentKeys.recordCopy(now, sample.key);
        }
        if (!sample.first && sample.copyResult.isMiss()) {
            rules.recordFetch(now);
        }
        counts.add(result.counter(), 1);
        if (!sample.first && sample.realResult.isHit() && sample.copyResult.isMiss()) {
            counts.add("miss_for_hit", 1);
        } else if (!sample.first && sample.realResult.isMiss() && sample.copyResult.isHit()) {
            counts.add("hit_for_miss", 1);
        }
        if (result == ComparisonResult.IN_DOUBT && recheck == null) {
            Command command = sample.real.command();
            recheck = new ValueRecheck(
                    (server, done) -> sendRecheck(server, command, done),
                    sample.server,
                    sample.candidate,
                    sample.realResult,
                    sample.copyResult,
                    now,
                    this::onRecheckResult);
        }
    }

    /**
     * Queries a server again for a recheck.
     *
     * @return whether the query was sent
     */
    private boolean sendRecheck(long server, Command command, Consumer<ExecutionResult> done) {
        double now = parts.clock().now();
        if (rules.mustYield(now, isActive(), parts.router()) || parts.servers().of(now, server) != Eligibility.FIT) {
            return false;
        }
        ShadowLink link = links.acquire(server, parts.servers().address(server));
        if (link == null || rules.reserve(now, false) != CopyDecision.COPY) {
            return false;
        }
        int index = parts.settings().names().classes().indexOf(command.attribute("c"));
        parts.history()
                .write("shadow.copy", "map", mapId, "id", "", "key", command.key(), "server", Long.toString(server));
        send(link, command, parts.settings().settings().classes().get(index).deadline(), done);
        return true;
    }

    private void onRecheckResult(ComparisonResult result) {
        recheck = null;
        if (result == ComparisonResult.IN_DOUBT) {
            counts.add("left_in_doubt", 1);
            return;
        }
        counts.add(result.counter(), 1);
        if (result == ComparisonResult.WRONG) {
            halted = true;
            parts.history().write("shadow.wrong", "map", mapId);
            LOG.warn("candidate {} returned a wrong value; copies are stopped on this router", mapId);
            yieldIfRequired(parts.clock().now());
            publishCounts();
        }
    }

    // ---- yielding to real requests ------------------------------------------------------------------------
    /** Drops all copies in flight if copies have to yield. Copies are the first load to be shed. */
    private void yieldIfRequired(double now) {
        if (rules != null && rules.mustYield(now, isActive(), parts.router())) {
            links.closeAll();
        }
    }

    private void tick() {
        Api.PromotedRing now = parts.promoted().get();
        if (now != promoted) {
            promoted = now;
            parts.promote().accept(now);
        }
        guarded(() -> {
            ShadowPlan current = parts.plan().get();
            if (failed || current == null) {
                return;
            }
            adoptPlan(current);
            double time = parts.clock().now();
            yieldIfRequired(time);
            links.closeUnused(server -> {
                Eligibility eligibility = parts.servers().of(time, server);
                return eligibility != Eligibility.ABSENT && eligibility != Eligibility.DRAINING;
            });
            if (recheck != null) {
                recheck.proceed(time);
            }
            if (++ticks % PUBLISH_INTERVAL_TICKS == 0) {
                publishCounts();
            }
        });
    }

    private void publishCounts() {
        if (counts.sequence() != publishedSequence && parts.publish().test(counts.snapshot(mapId))) {
            publishedSequence = counts.sequence();
        }
    }

    /** Stops copying for good and closes all links. */
    public void stop() {
        failed = true;
        new ArrayList<>(sampled.values()).forEach(sample -> sampled.remove(sample.real.id()));
        links.closeAll();
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "shadow of %s, %d links", mapId, links.size());
    }
}
