package stagepier.exchange;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;
import stagepier.invariants.Invariant;
import stagepier.invariants.InvariantMonitor;
import stagepier.memcache.Command;
import stagepier.overload.LoopDelay;
import stagepier.peers.PeerReport;
import stagepier.peers.PeerReports;
import stagepier.settings.SettingsParser;

/**
 * Hosts the decision module: provides ids, time and timers, keeps the exchanges, and translates what happens on sockets
 * into the module's events. Makes no routing decisions. Runs on the one event loop.
 */
public final class ModuleHost implements Api.Host {
    private static final Logger LOG = LoggerFactory.getLogger(ModuleHost.class);
    private static final float[] NO_REPORT = {};
    /**
     * Seconds kept back from a request's time budget. The client's timer starts before the request arrives here, and
     * the answer still has to travel back; without this margin, an answer at the last moment would arrive after the
     * client left.
     */
    private static final double TRANSIT_MARGIN_S = 0.015;

    /** Upper limit of this margin as a share of the time that the client waits. */
    private static final double TRANSIT_MARGIN_SHARE = 0.1;
    /** Share of a deduplication window reserved for the transfer to a cache server, which is at least the margin. */
    private static final double REPEAT_TRANSIT_SHARE = 0.05;
    /** Seconds after the deadline at which the module has failed to answer and the host answers in its place. */
    private static final double OVERDUE_AFTER_S = 0.01;
    /** Delay of the host answer after that, since executions with late timers first check for their answers again. */
    private static final int OVERDUE_RECHECK_MS = 3;

    /** A request that stayed unread for longer than this is counted as read late; in seconds. */
    private static final double LATE_READ_S = 0.05;
    /** Lower limit of the time of an answer after the router's own delay is subtracted; in seconds. */
    private static final double MIN_ELAPSED_S = 1e-4;

    private static final Pattern WAIT_MS_FORMAT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final EventLoop loop;
    private final Clock clock;
    private final LoopDelay delay;
    private final SettingsParser.Names names;
    private final Api.Settings settings;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final EventQueue events;
    private final RequestCounters counters = new RequestCounters();
    private final RequestLog log = new RequestLog();
    private final RequestIds ids;
    private final InvariantMonitor invariants = new InvariantMonitor();
    private final RepeatGuard repeats;
    private Api.Events module;
    private ServerTransport transport;
    /** Null if the real requests are not observed. */
    private ShadowTap shadowTap;
    /** Null if routers do not exchange reports. */
    private PeerReports peers;

    private Consumer<byte[]> toPeers;
    private long lastId;

    public ModuleHost(EventLoop loop, Clock clock, LoopDelay delay, SettingsParser.Parsed parsed) {
        this.loop = loop;
        this.clock = clock;
        this.delay = delay;
        names = parsed.names();
        settings = parsed.settings();
        events = new EventQueue(clock, delay);
        repeats = new RepeatGuard(settings);
        ids = new RequestIds(settings.classes().stream()
                .mapToDouble(Api.RequestClass::deadline)
                .max()
                .orElseThrow());
    }

    /** Returns whether nothing may be sent before the server list is refreshed; if so, runs {@code then} after that. */
    public boolean mustWaitForList(Runnable then) {
        return events.mustWaitForList(then);
    }

    /**
     * Connects the reports of other routers and the output of messages to them; without this call there are neither.
     */
    public void connectPeers(PeerReports reports, Consumer<byte[]> to) {
        peers = reports;
        toPeers = to;
    }

    /** Sets the function that refreshes the server list after this process stalled and then runs the given callback. */
    public void connectList(Consumer<Runnable> refresher) {
        events.connectList(refresher);
    }

    /** Sets the observer of sends and outcomes; it does not influence them. */
    public void connectShadow(ShadowTap to) {
        shadowTap = to;
    }

    /** Connects the decision module and the server transport; must be called before any other method. */
    public void connect(Api.Events decisions, ServerTransport servers) {
        module = decisions;
        transport = servers;
    }

    /** Returns the monitor that checks the invariants and counts their violations. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    // ---- client side ---------------------------------------------------------------------------------------
    /** Returns why a command cannot become an exchange, or null if it can. */
    public String rejection(Command command) {
        if (!names.classes().contains(String.valueOf(command.attribute("c")))) {
            return "unknown class";
        }
        String time = command.attribute("d");
        if (time != null && !WAIT_MS_FORMAT.matcher(time).matches()) {
            return "bad time";
        }
        return ids.isTaken(command.id(), clock.now()) ? "request id in use" : null;
    }

    /**
     * Accepts a request. It gets exactly one final answer unless its client disconnects.
     *
     * @param arrivedAt when its last byte could have been read, as far as is known; its time budget runs from then
     */
    public Exchange take(ReplyListener listener, Command command, double arrivedAt) {
        int classIndex = classIndex(command);
        String time = command.attribute("d");
        double longestWait = settings.classes().get(classIndex).deadline();
        double wait = time == null ? longestWait : Math.min(longestWait, Double.parseDouble(time) / 1e3);
        double now = clock.now();
        double unread = Math.max(0, now - arrivedAt);
        if (unread > LATE_READ_S) {
            counters.readLate();
        }
        double budget = wait - unread - Math.min(TRANSIT_MARGIN_S, TRANSIT_MARGIN_SHARE * wait);
        Exchange x = new Exchange(++lastId, command, listener, now, now + budget);
        exchanges.put(x.id(), x);
        ids.take(command.id(), now);
        counters.taken();
        log.taken(x, unread);
        x.setOverdueTimer(
                loop.schedule(() -> scheduleOverdueCheck(x), micros(budget + OVERDUE_AFTER_S), TimeUnit.MICROSECONDS));
        Api.Request request = new Api.Request(
                x.id(),
                classIndex,
                tenant(command),
                Ids.ofKey(command.key()),
                budget,
                0,
                "1".equals(command.attribute("r")),
                command.isWrite());
        events.post(() -> module.onRequest(clock.now(), request));
        return x;
    }

    /** Returns the tenant's index, -1 for no tenant: {@code indexOf} of an immutable list throws when given null. */
    private int tenant(Command command) {
        String tenant = command.attribute("t");
        return tenant == null ? -1 : names.tenants().indexOf(tenant);
    }

    /**
     * Called when the client has closed its connection. From now on no attempt for the request starts, even before the
     * module receives the event: attempts that wait for a connection are withdrawn, and sends of the module until then
     * end as not sent.
     */
    public void clientGone(Exchange x) {
        if (x.isFinished()) {
            return;
        }
        counters.clientGone();
        log.clientGone(x, clock.now());
        finish(x);
        events.post(() -> {
            module.onClientGone(clock.now(), x.id());
            removeIfDone(x);
        });
        // After the event above, so that the outcome of a withdrawn attempt is not counted for or against its server.
        x.transmissions().forEach(ServerTransport.Transmission::withdraw);
    }

    /**
     * Delays the overdue answer once more. Prevents an answer of the host in place of the module when this router
     * itself ran late: executions that time out in the same loop turn first check for their answers again, and the
     * module learns the outcome after.
     */
    private void scheduleOverdueCheck(Exchange x) {
        x.setOverdueTimer(loop.schedule(() -> answerOverdue(x), OVERDUE_RECHECK_MS, TimeUnit.MILLISECONDS));
    }

    private void answerOverdue(Exchange x) {
        events.post(() -> {
            if (!x.isFinished()) {
                counters.overdue();
                LOG.warn(
                        "request {} had no answer in time from the decision module; answering with a failure",
                        x.command().id());
                answer(x, Reply.FAILED);
                module.onClientGone(clock.now(), x.id());
            }
        });
    }

    private void answer(Exchange x, Reply reply) {
        if (!invariants.check(
                Invariant.ANSWERED_ONCE,
                !x.isFinished(),
                () -> "second final answer: id=" + x.command().id())) {
            return;
        }
        counters.answered(reply.kind());
        log.answered(x, reply.kind(), clock.now());
        if (shadowTap != null) {
            shadowTap.answered(x, reply, clock.now());
        }
        finish(x);
        removeIfDone(x);
        x.listener().answered(x, reply);
    }

    private void finish(Exchange x) {
        x.finish();
        counters.finished();
    }

    private void removeIfDone(Exchange x) {
        if (x.isFinished() && x.addOutstanding(0) == 0) {
            exchanges.remove(x.id());
        }
    }

    /** Returns the number of requests whose final answer is pending. */
    public long unanswered() {
        return counters.unanswered();
    }

    // ---- server side ---------------------------------------------------------------------------------------
    /** Called with the one outcome of an execution; {@code body} is that of a served answer, otherwise null. */
    public void ended(
            Exchange x, int attempt, long server, Api.Outcome outcome, double sentAt, ResponseInfo info, byte[] body) {
        end(x, attempt, server, outcome, sentAt, info, body == null ? null : Reply.served(body));
    }

    /** Called when the value of an execution starts to arrive: the outcome is OK, whether or not the rest arrives. */
    public void begun(Exchange x, int attempt, long server, double sentAt, ResponseInfo info, ValueFlow flow) {
        end(x, attempt, server, Api.Outcome.OK, sentAt, info, Reply.served(flow));
    }

    private void end(
            Exchange x, int attempt, long server, Api.Outcome outcome, double sentAt, ResponseInfo info, Reply served) {
        x.attempts().ended(attempt, outcome);
        events.post(() -> {
            double now = clock.now();
            double elapsed = now - sentAt;
            if (shadowTap != null) {
                shadowTap.ended(x, attempt, server, outcome, info.lookup(), served, elapsed, now);
            }
            if (outcome != Api.Outcome.TIMEOUT && outcome != Api.Outcome.CANCELLED) {
                // The time that an answer stayed unread is this router's own delay and must not count against a server.
                elapsed = Math.max(Math.min(elapsed, MIN_ELAPSED_S), elapsed - delay.unreadFor(now));
            }
            counters.ended(outcome);
            log.ended(x, attempt, server, outcome, elapsed);
            x.addOutstanding(-1);
            if (outcome == Api.Outcome.OK && !x.isFinished()) {
                answer(x, served);
            } else if (served != null && served.flow() != null) {
                served.flow().abandon();
            }
            removeIfDone(x);
            module.onOutcome(
                    now,
                    x.id(),
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    x.isFinished(),
                    lookup(x.command().isWrite(), outcome, info.lookup()),
                    info.report());
        });
    }

    /**
     * Returns the lookup result to report to the module. A write goes on to the origin; the simulator reports each
     * answered write as a miss, whereas a receipt on a socket carries no lookup result. Without this translation, the
     * time that a write waits for the origin would count against its cache server, and requests for its keys would be
     * refused.
     */
    private Api.Lookup lookup(boolean write, Api.Outcome outcome, Api.Lookup received) {
        boolean reachedOrigin = write
                && settings.fetching() == Api.Fetching.THROUGH
                && (outcome == Api.Outcome.OK || outcome == Api.Outcome.ERROR);
        return reachedOrigin && received == Api.Lookup.UNKNOWN ? Api.Lookup.MISS : received;
    }

    public void probed(long server, Api.Outcome outcome, double sentAt) {
        events.post(() -> {
            double now = clock.now();
            module.onProbe(now, server, outcome, now - sentAt, NO_REPORT);
        });
    }

    // ---- discovery ----------------------------------------------------------------------------------------
    public void members(boolean complete, List<Api.Member> members) {
        events.postList(() -> module.onMembers(clock.now(), complete, members));
    }

    public void membersFailed() {
        events.post(() -> module.onMembersFailed(clock.now()));
    }

    // ---- promotion of a candidate map ---------------------------------------------------------------------
    /** Reports to the module that another ring owns part of the keys from now on; null if no other ring does. */
    public void promoted(Api.PromotedRing map) {
        events.post(() -> module.onPromoted(clock.now(), map));
    }

    /** Returns whether the module keeps optional load off a server; true without asking it while an event runs. */
    public boolean avoidsOptionalLoad(double now, long server) {
        return events.isRunning() || module.avoidsOptionalLoad(now, server);
    }

    // ---- actions of the module -----------------------------------------------------------------------------
    @Override
    public void send(long request, long server, double timeout) {
        send(request, server, timeout, Double.POSITIVE_INFINITY);
    }

    @Override
    public void send(long request, long server, double timeout, double startWithin) {
        Exchange x = exchanges.get(request);
        if (x == null) {
            LOG.error("ignored send for request {}: the request has ended", request);
            return;
        }
        int attempt = x.transmissions().size();
        double now = clock.now();
        double left = x.deadlineAt() - now;
        double latestStart = now + startWithin - transitReserve(x);
        String rejection = rejection(x, attempt, left, latestStart, now);
        x.addOutstanding(1);
        x.attempts().started(now);
        if (rejection != null) {
            log.notSent(x, attempt, server, rejection);
            x.transmissions().add(() -> {});
            ended(x, attempt, server, Api.Outcome.NOT_SENT, now, ResponseInfo.NONE, null);
        } else if (timeout < 0) {
            x.transmissions().add(() -> {});
            ended(x, attempt, server, Api.Outcome.TIMEOUT, now, ResponseInfo.NONE, null);
        } else {
            log.sent(x, attempt, server, now);
            x.transmissions()
                    .add(transport.send(
                            x, attempt, server, timeout == 0 ? left : Math.min(timeout, left), latestStart));
            if (shadowTap != null) {
                shadowTap.sent(x, attempt, server, now);
            }
        }
    }

    /** Returns why an attempt may not start; null if it may. */
    private String rejection(Exchange x, int attempt, double left, double latestStart, double now) {
        if (x.isFinished()) {
            return "request finished";
        }
        if (left <= 0) {
            return "deadline passed";
        }
        if (latestStart < now || attempt >= settings.limits().maxAttempts()) {
            return "latest start passed or attempt limit reached";
        }
        boolean allowed = invariants.check(
                Invariant.REPEATED_ONLY_AS_CLASS_ALLOWS,
                repeats.allows(x, classIndex(x.command()), now),
                () -> "id=" + x.command().id() + " attempt=" + attempt);
        return allowed ? null : "class allows no repeat";
    }

    /**
     * Returns the seconds reserved at the end of a deduplication window, since a repeat has to reach the server within
     * it. The transfer time to a cache server cannot be measured here, because handshakes and answers include the
     * server's own work; the reserve therefore grows with the window, which reflects the time scale of the site.
     */
    private double transitReserve(Exchange x) {
        return Math.max(
                TRANSIT_MARGIN_S,
                REPEAT_TRANSIT_SHARE
                        * settings.classes().get(classIndex(x.command())).dedupWindow());
    }

    /** Returns whether a request may run more often than the module knows. */
    public boolean mayRunTwice(Exchange x) {
        return settings.classes().get(classIndex(x.command())).repeat() == Api.Repeat.SAFE;
    }

    private int classIndex(Command command) {
        return names.classes().indexOf(command.attribute("c"));
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange x = exchanges.get(request);
        if (x != null && attempt < x.transmissions().size()) {
            x.transmissions().get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long request, double retryAfter) {
        finalAnswer(request, Reply.throttle(retryAfter));
    }

    @Override
    public void fail(long request) {
        finalAnswer(request, Reply.FAILED);
    }

    private void finalAnswer(long request, Reply reply) {
        Exchange x = exchanges.get(request);
        if (x != null && !x.isFinished()) {
            answer(x, reply);
        }
    }

    @Override
    public void setTimer(double delay, long token) {
        loop.schedule(
                () -> events.post(() -> module.onTimer(clock.now(), token)), micros(delay), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(long server) {
        transport.probe(server);
    }

    @Override
    public void closeIdle(long server) {
        transport.closeIdle(server);
    }

    @Override
    public void reportToPeers(List<Api.ServerReport> news) {
        if (peers == null) {
            return;
        }
        byte[] message = peers.message(clock.now(), news);
        if (message != null) {
            toPeers.accept(message);
        }
        // Reports are the only regular activity, so the totals of routers that no longer send reports expire here.
        events.post(() -> {
            double now = clock.now();
            Collection<Long> changed = peers.forget(now);
            if (!changed.isEmpty()) {
                module.onPeers(now, changed);
            }
        });
    }

    @Override
    public Api.PeerTotals peerTotals(long server) {
        return peers == null ? Api.PeerTotals.none(server) : peers.of(server);
    }

    @Override
    public double peerWeight() {
        return peers == null ? 1 : peers.weight();
    }

    /** Called with the report of another router. */
    public void reported(int peer, PeerReport report) {
        events.post(() -> {
            double now = clock.now();
            module.onPeers(now, peers.take(now, peer, report));
        });
    }

    /** Does nothing: the watch of discovery runs from the start and renews itself. */
    @Override
    public void watchMembers() {}

    @Override
    public void logMessage(String text) {
        LOG.info("{}", text);
    }

    private static long micros(double seconds) {
        return Math.max(0, (long) (seconds * 1e6));
    }

    /** Passes the counters of requests, answers, executions and the event loop to a consumer. */
    public void count(ObjLongConsumer<String> to) {
        if (peers != null) {
            peers.count(to);
        }
        counters.count(to);
        invariants.count(to);
        to.accept("loop_stood_still", events.stalls());
        to.accept("loop_turns", delay.turns());
        to.accept("loop_late_mean_us", Math.round(delay.mean() * 1e6));
        to.accept("loop_late_worst_us", Math.round(delay.worst() * 1e6));
    }
}
