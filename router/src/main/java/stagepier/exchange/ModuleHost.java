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
 * Hosts the decision module: gives ids, time and timers, keeps the exchanges, and turns what happens on sockets
 * into the module's events. Decides nothing. Runs on the one event loop.
 */
public final class ModuleHost implements Api.Host {
    private static final Logger LOG = LoggerFactory.getLogger(ModuleHost.class);
    private static final float[] NO_REPORT = {};
    /**
     * The client counts its time from before the request came here, and the answer has to travel back: without
     * this margin an answer at the very end would come after the client left.
     */
    private static final double MARGIN = 0.015;

    private static final double MARGIN_PART = 0.1;
    /** Part of a window for repeats that is kept for the way to a cache server, which takes the margin at the least. */
    private static final double WAY_PART = 0.05;
    /** After this the module has broken its promise of an answer, and the host answers in its place. */
    private static final double OVERDUE = 0.01;
    /** Until then it looks once more, as executions do whose timers came late. */
    private static final int LOOKS_AGAIN_MS = 3;

    /** A request that lay unread for so long is counted as come late; in seconds. */
    private static final double LATE = 0.05;
    /** No answer took less than this, whatever is taken off for own delay; in seconds. */
    private static final double SHORTEST = 1e-4;

    private static final Pattern TIME = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final EventLoop loop;
    private final Clock clock;
    private final LoopDelay delay;
    private final SettingsParser.Names names;
    private final Api.Settings settings;
    private final Map<Long, Exchange> open = new HashMap<>();
    private final EventQueue events;
    private final RequestCounters counters = new RequestCounters();
    private final RequestLog log = new RequestLog();
    private final RequestIds ids;
    private final InvariantMonitor invariants = new InvariantMonitor();
    private final RepeatGuard repeats;
    private Api.Events module;
    private ServerTransport transport;
    /** Null where nothing is tried beside the real requests. */
    private ShadowTap tap;
    /** Null where routers tell each other nothing. */
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

    /** Whether nothing may be sent before the list is fresh; that is then run as soon as it is. */
    public boolean mustWaitForList(Runnable then) {
        return events.mustWaitForList(then);
    }

    /** What other routers report, and where messages to them go; until then nothing and nowhere. */
    public void connectPeers(PeerReports reports, Consumer<byte[]> to) {
        peers = reports;
        toPeers = to;
    }

    /** What brings the list up to date after this process stood still, and then runs what it is given. */
    public void connectList(Consumer<Runnable> refresher) {
        events.connectList(refresher);
    }

    /** Who is told of sends and outcomes, and changes nothing. */
    public void connectShadow(ShadowTap to) {
        tap = to;
    }

    /** Before anything else. */
    public void connect(Api.Events decisions, ServerTransport servers) {
        module = decisions;
        transport = servers;
    }

    /** What holds in every run, and how often it was violated. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    // ---- from the client side -----------------------------------------------------------------------------
    /** Why a command cannot become an exchange, or null where it can. */
    public String rejection(Command command) {
        if (!names.classes().contains(String.valueOf(command.attribute("c")))) {
            return "unknown class";
        }
        String time = command.attribute("d");
        if (time != null && !TIME.matcher(time).matches()) {
            return "bad time";
        }
        return ids.isTaken(command.id(), clock.now()) ? "request id in use" : null;
    }

    /**
     * Takes a request. From here on one final answer is owed.
     *
     * @param cameAt when its last byte was there to be read, as far as is known: its time has been running since then
     */
    public Exchange take(ReplyListener listener, Command command, double cameAt) {
        int classIndex = classIndex(command);
        String time = command.attribute("d");
        double most = settings.classes().get(classIndex).deadline();
        double wait = time == null ? most : Math.min(most, Double.parseDouble(time) / 1e3);
        double now = clock.now();
        double unread = Math.max(0, now - cameAt);
        if (unread > LATE) {
            counters.readLate();
        }
        double budget = wait - unread - Math.min(MARGIN, MARGIN_PART * wait);
        Exchange x = new Exchange(++lastId, command, listener, now, now + budget);
        open.put(x.id(), x);
        ids.take(command.id(), now);
        counters.taken();
        log.taken(x, unread);
        x.backstop(loop.schedule(() -> pastItsTime(x), micros(budget + OVERDUE), TimeUnit.MICROSECONDS));
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

    /** Guards against a request without a tenant: an immutable list throws where it is asked for null. */
    private int tenant(Command command) {
        String tenant = command.attribute("t");
        return tenant == null ? -1 : names.tenants().indexOf(tenant);
    }

    /**
     * The client has closed its connection. From this moment on no attempt for it begins, whatever the module has still to be
     * told: what waits for a connection is withdrawn, and what the module sends before it is told counts as not sent.
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
            forgetIfOver(x);
        });
        // After that word: what is withdrawn tells nothing of its server.
        x.sendings().forEach(ServerTransport.Transmission::withdraw);
    }

    /**
     * Guards against answering in the module's place where it was this router that woke late: executions whose time is up in the
     * same turn first look once more for their answers, and the module is told only then.
     */
    private void pastItsTime(Exchange x) {
        x.backstop(loop.schedule(() -> overdue(x), LOOKS_AGAIN_MS, TimeUnit.MILLISECONDS));
    }

    private void overdue(Exchange x) {
        events.post(() -> {
            if (!x.isFinished()) {
                counters.overdue();
                LOG.warn("request {} had no answer in time", x.command().id());
                answer(x, Reply.FAILED);
                module.onClientGone(clock.now(), x.id());
            }
        });
    }

    private void answer(Exchange x, Reply reply) {
        if (!invariants.check(
                Invariant.ANSWERED_ONCE,
                !x.isFinished(),
                () -> "answered again: id=" + x.command().id())) {
            return;
        }
        counters.answered(reply.kind());
        log.answered(x, reply.kind(), clock.now());
        if (tap != null) {
            tap.answered(x, reply, clock.now());
        }
        finish(x);
        forgetIfOver(x);
        x.listener().answered(x, reply);
    }

    private void finish(Exchange x) {
        x.finish();
        counters.finished();
    }

    private void forgetIfOver(Exchange x) {
        if (x.isFinished() && x.outstanding(0) == 0) {
            open.remove(x.id());
        }
    }

    /** Requests that still need their final answer. */
    public long unanswered() {
        return counters.unanswered();
    }

    // ---- from the server side -----------------------------------------------------------------------------
    /** The one outcome of an execution. {@code body} is that of a served answer. */
    public void ended(
            Exchange x, int attempt, long server, Api.Outcome outcome, double sentAt, ResponseInfo info, byte[] body) {
        end(x, attempt, server, outcome, sentAt, info, body == null ? null : Reply.served(body));
    }

    /** The one outcome of an execution whose value has begun to come: well ended, whatever becomes of the rest. */
    public void begun(Exchange x, int attempt, long server, double sentAt, ResponseInfo info, ValueFlow flow) {
        end(x, attempt, server, Api.Outcome.OK, sentAt, info, Reply.served(flow));
    }

    private void end(
            Exchange x, int attempt, long server, Api.Outcome outcome, double sentAt, ResponseInfo info, Reply served) {
        x.attempts().ended(attempt, outcome);
        events.post(() -> {
            double now = clock.now();
            double elapsed = now - sentAt;
            if (tap != null) {
                tap.ended(x, attempt, server, outcome, info.lookup(), served, elapsed, now);
            }
            if (outcome != Api.Outcome.TIMEOUT && outcome != Api.Outcome.CANCELLED) {
                // What lay here unread is this router's own delay: no server may be judged by it.
                elapsed = Math.max(Math.min(elapsed, SHORTEST), elapsed - delay.unreadFor(now));
            }
            counters.ended(outcome);
            log.ended(x, attempt, server, outcome, elapsed);
            x.outstanding(-1);
            if (outcome == Api.Outcome.OK && !x.isFinished()) {
                answer(x, served);
            } else if (served != null && served.flow() != null) {
                served.flow().abandon();
            }
            forgetIfOver(x);
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
     * A write goes on to the origin, and the simulator says so of each that was answered. On sockets a receipt says
     * nothing of the lookup. Guards against a write's wait for the origin being held against its cache server, whose
     * keys are then turned away.
     */
    private Api.Lookup lookup(boolean write, Api.Outcome outcome, Api.Lookup received) {
        boolean carriedOn = write
                && settings.fetching() == Api.Fetching.THROUGH
                && (outcome == Api.Outcome.OK || outcome == Api.Outcome.ERROR);
        return carriedOn && received == Api.Lookup.UNKNOWN ? Api.Lookup.MISS : received;
    }

    public void probed(long server, Api.Outcome outcome, double sentAt) {
        events.post(() -> {
            double now = clock.now();
            module.onProbe(now, server, outcome, now - sentAt, NO_REPORT);
        });
    }

    // ---- from discovery -----------------------------------------------------------------------------------
    public void members(boolean complete, List<Api.Member> members) {
        events.postList(() -> module.onMembers(clock.now(), complete, members));
    }

    public void membersFailed() {
        events.post(() -> module.onMembersFailed(clock.now()));
    }

    // ---- from what is tried beside the real requests ------------------------------------------------------
    /** Another ring has part of the keys from now on; null for none. */
    public void promoted(Api.PromotedRing map) {
        events.post(() -> module.onPromoted(clock.now(), map));
    }

    /** Whether the module spares a server what is not needed. Not asked inside an event: it is spared then. */
    public boolean avoidsOptionalLoad(double now, long server) {
        return events.isRunning() || module.avoidsOptionalLoad(now, server);
    }

    // ---- the module's actions -----------------------------------------------------------------------------
    @Override
    public void send(long request, long server, double timeout) {
        send(request, server, timeout, Double.POSITIVE_INFINITY);
    }

    @Override
    public void send(long request, long server, double timeout, double startWithin) {
        Exchange x = open.get(request);
        if (x == null) {
            LOG.error("a send for a request that is over: {}", request);
            return;
        }
        int attempt = x.sendings().size();
        double now = clock.now();
        double left = x.deadlineAt() - now;
        double latestStart = now + startWithin - wayToServer(x);
        String rejection = rejection(x, attempt, left, latestStart, now);
        x.outstanding(1);
        x.attempts().began(now);
        if (rejection != null) {
            log.notSent(x, attempt, server, rejection);
            x.sendings().add(() -> {});
            ended(x, attempt, server, Api.Outcome.NOT_SENT, now, ResponseInfo.NONE, null);
        } else if (timeout < 0) {
            x.sendings().add(() -> {});
            ended(x, attempt, server, Api.Outcome.TIMEOUT, now, ResponseInfo.NONE, null);
        } else {
            log.sent(x, attempt, server, now);
            x.sendings()
                    .add(transport.send(
                            x, attempt, server, timeout == 0 ? left : Math.min(timeout, left), latestStart));
            if (tap != null) {
                tap.sent(x, attempt, server, now);
            }
        }
    }

    /** Why an attempt may not begin; null where it may. */
    private String rejection(Exchange x, int attempt, double left, double latestStart, double now) {
        if (x.isFinished()) {
            return "finished";
        }
        if (left <= 0) {
            return "time is up";
        }
        if (latestStart < now || attempt >= settings.limits().maxAttempts()) {
            return "out of bounds";
        }
        boolean allowed = invariants.check(
                Invariant.REPEATED_ONLY_AS_CLASS_ALLOWS,
                repeats.allows(x, classIndex(x.command()), now),
                () -> "id=" + x.command().id() + " attempt=" + attempt);
        return allowed ? null : "its class allows no repeat";
    }

    /**
     * What is kept back of a window for repeats: a repeat has to arrive within it. How long the way to a cache server is, is
     * not known here, for a handshake and an answer hold the server's own work; it grows with what a site takes for long.
     */
    private double wayToServer(Exchange x) {
        return Math.max(
                MARGIN,
                WAY_PART * settings.classes().get(classIndex(x.command())).dedupWindow());
    }

    /** Whether it does no harm if a request runs more often than the module knows. */
    public boolean mayRunTwice(Exchange x) {
        return settings.classes().get(classIndex(x.command())).repeat() == Api.Repeat.SAFE;
    }

    private int classIndex(Command command) {
        return names.classes().indexOf(command.attribute("c"));
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange x = open.get(request);
        if (x != null && attempt < x.sendings().size()) {
            x.sendings().get(attempt).cancel();
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
        Exchange x = open.get(request);
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
        // The one thing that happens regularly: where nothing comes from others any more, old sums end here.
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

    /** Another router has reported something. */
    public void reported(int peer, PeerReport report) {
        events.post(() -> {
            double now = clock.now();
            module.onPeers(now, peers.take(now, peer, report));
        });
    }

    /** The watch of discovery runs from the start and renews itself. */
    @Override
    public void watchMembers() {}

    @Override
    public void logMessage(String text) {
        LOG.info("{}", text);
    }

    private static long micros(double seconds) {
        return Math.max(0, (long) (seconds * 1e6));
    }

    /** What was taken, answered and how executions ended. */
    public void count(ObjLongConsumer<String> to) {
        if (peers != null) {
            peers.count(to);
        }
        counters.count(to);
        invariants.count(to);
        to.accept("loop_stood_still", events.standstills());
        to.accept("loop_turns", delay.turns());
        to.accept("loop_late_mean_us", Math.round(delay.mean() * 1e6));
        to.accept("loop_late_worst_us", Math.round(delay.worst() * 1e6));
    }
}
