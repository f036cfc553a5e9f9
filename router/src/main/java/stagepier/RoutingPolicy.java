package stagepier;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import stagepier.Api.*;

/**
 * Every decision of one balancer; its interface is {@code Api.java}. A key goes to its owner on a hash ring.
 * Each server, and an origin that is asked from here, is guarded by a {@link CircuitBreaker} and then by a
 * {@link Bulkhead} of tickets; what either turns away goes on to the next ring server, or is refused.
 */
public final class RoutingPolicy implements Events {
    // ---- constants: dimensionless, or in parts of what the settings say; times in shortest deadlines ------
    /** Ring servers asked for one send; part that a weight must change by, as noise must not move keys. */
    private static final int WALK_LIMIT = 16;

    private static final double REWEIGH_AT = 0.25;
    /** Log odds that open a circuit, and calls that raise them: a busy server fails by chance more often. */
    private static final double OPEN_AT = 4;

    private static final double CHANCE_SPAN = 5;
    /** Part of the aim within which no answer counts as late, however quick others are. */
    private static final double LATE_LEAST = 0.01;
    /** First dead time of a circuit, and its jitter to either side. */
    private static final double DEAD_TIME = 2;

    private static final double JITTER = 0.3;
    /** Time constants. A jam builds up sooner than usual concurrency fades; popularity needs averaging. */
    private static final double CONCURRENCY_FADES = 10;

    private static final double EVIDENCE_FADES = 12;
    private static final double FETCH_FADES = 4;
    private static final double POPULARITY_FADES = 40;
    private static final double HINT_FADES = 8;
    private static final double GATE_OPENS = 12;
    /** A key is hot from this part of a server's fair share of all requests. */
    private static final double HOT_SHARE = 0.3;
    /** Deviations that the count of a hot key is taken to be too high by. */
    private static final double HOT_DEVIATIONS = 2;

    private static final int COPIES_MOST = 40;
    /** By own answers, some of which waited for the origin: crowded from here, most is shed so much later. */
    private static final double CROWD_FROM_THROUGH = 0.33;

    private static final double CROWD_RAMP = 0.35;
    /** While no more than this part of requests meets a crowd, it is local, and its keys are spilled. */
    private static final double CROWDED_FEW = 0.06;

    private static final double CROWDED_FEW_THROUGH = 0.5;
    /** Weight of a new answer. Own ones alone are few and vary; of all servers, ten tell a common jam. */
    private static final double LAG_GAIN = 0.4;

    private static final double LAG_GAIN_THROUGH = 0.2;
    private static final double COMMON_GAIN = 0.1;
    /** What is beyond a tenant's share gives way this many times sooner than the rest. */
    private static final double OVER_SHARE_FIRST = 4;
    /** Parts of the stated overload and least capacity that a cold server is offered; spans measured. */
    private static final double COLD_BUDGET = 0.6;

    private static final double COLD_SHARE = 1.4;
    private static final double RATE_SPANS = 4;
    /** Further tries allowed for each request, and how many may be saved up. */
    private static final double RETRY_RATIO = 0.1;

    private static final double RETRY_SAVINGS = 10;
    /** Part of the aim until which a second copy is sent. */
    private static final double COPY_BEFORE = 0.7;
    /** Part of the aim by which a timer is late only if the balancer itself is. */
    private static final double WOKE_LATE = 0.1;
    /** Retry-after in parts of the aim: late enough to spread, early enough to be of use. */
    private static final double RETRY_AFTER_MIN = 0.05;

    private static final double RETRY_AFTER_SPREAD = 0.2;
    /** Part of attempts without a connection from which connections are scarce. */
    private static final double SCARCE = 0.02;
    /** Timers of the list and of the peers; all others carry a request's id, which is not negative. */
    private static final long WATCH_TOKEN = -1;

    private static final long TELL_TOKEN = -2;
    /** Peers are told so often, by so many balancers: fewer see enough, and would only move keys about. */
    private static final double TELLS_EVERY = Api.REPORT_PERIOD_IN_DEADLINES;

    private static final int MANY = 7;
    /** So many others with an open circuit make a server suspect here, too: no single one is believed. */
    private static final int SUSPECTED_BY = 3;

    private final Settings settings;
    private final Host host;
    private final SplittableRandom random;
    private final double deadline;
    /** Time constant of evidence. */
    private final double memory;

    private final HashRing ring = new HashRing();
    /** Its ring has part of the keys; null for none. */
    private PromotedRing promoted;

    private final Map<Long, Server> servers = new HashMap<>();
    private final List<Server> slots = new ArrayList<>();
    private final Map<Long, Pending> open = new HashMap<>();
    private final Latency cacheLatency = new Latency();
    private final Latency originLatency = new Latency();
    private final FetchGate fetches = new FetchGate();
    private double missShare = 1;
    /** Of calls to cache servers, apart for keys expected to hit: misses wait for the origin. */
    private final FailureRate missFailures = new FailureRate();

    private final FailureRate hitFailures = new FailureRate();
    private final KeyTable keys = new KeyTable();
    private final FailureRate fetchFaults = new FailureRate();
    private final FailureRate connects = new FailureRate();
    private final FadingCount requests = new FadingCount();
    private final FadingCount warmSends = new FadingCount();
    private final double warmFades;
    private final TenantShares tenants;
    private Server origin;
    private double referenceWeight;
    private double totalWeight;
    private double warmWeight;
    private double weighedAt = Double.NEGATIVE_INFINITY;
    private final double[] nominalWeight = new double[256];
    private final KindSpeeds speeds = new KindSpeeds();
    private final Bulkhead sentOut = new Bulkhead();
    private double retryTokens = RETRY_SAVINGS / 2;
    private double startedAt = Double.NaN;
    private boolean tellsLookups;
    private double elsewhere;
    /** Whether cache servers fetch what they lack; else misses are fetched from here. */
    private final boolean through;

    private final boolean ownAnswersOnly;
    private double crowdedShare;
    private double usualAim;
    private double commonLag = Double.NaN;
    private double usualWork;
    private int hints;

    /** @throws IllegalArgumentException where the settings make no sense */
    public RoutingPolicy(Settings settings, long seed, Host host) {
        if (settings.classes().isEmpty()) {
            throw new IllegalArgumentException("no request classes");
        }
        through = settings.fetching() == Fetching.THROUGH;
        if (!through && settings.originKind() < 0) {
            throw new IllegalArgumentException("misses are fetched aside, but no member kind is the origin");
        }
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        deadline = settings.classes().stream()
                .mapToDouble(RequestClass::deadline)
                .min()
                .getAsDouble();
        warmFades = RATE_SPANS * Math.max(settings.protection().overloadSpan(), deadline);
        memory = EVIDENCE_FADES * deadline;
        usualAim = settings.classes().get(0).target();
        ownAnswersOnly = through && settings.weights() != WeightMeaning.LIVE;
        tenants = new TenantShares(settings.tenants());
    }

    @Override
    public void onMembers(double now, boolean complete, List<Member> members) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
            if (settings.listOnRequest()) {
                host.watchMembers();
            }
            if (settings.limits().peers() && settings.balancers() >= MANY) {
                host.setTimer(TELLS_EVERY * deadline * random.nextDouble(), TELL_TOKEN);
            }
        }
        if (referenceWeight == 0) {
            // A power of two near the mean weight: balancers that start from different lists agree on it.
            double sum = members.stream().mapToDouble(Member::weight).reduce(0, Double::sum);
            double mean = sum / members.size();
            referenceWeight = sum > 0 ? Math.pow(2, Math.rint(Math.log(mean) / Math.log(2))) : 0;
        }
        servers.values().forEach(s -> s.listed = false);
        members.forEach(m -> learn(now, m));
        if (complete) {
            slots.stream().filter(s -> s != null && !s.listed).forEach(this::retire);
        }
    }

    /** Asks again after a jittered wait: all instances may have lost the same service at once. */
    @Override
    public void onMembersFailed(double now) {
        if (settings.listOnRequest()) {
            host.setTimer(deadline * (1 + random.nextDouble()), WATCH_TOKEN);
        }
    }

    private void learn(double now, Member m) {
        if (m.state() != MemberState.READY) {
            // Draining or gone: nothing new from this moment on, well inside the stated grace.
            if (servers.containsKey(m.id())) {
                retire(servers.get(m.id()));
            }
            return;
        }
        Server s = servers.computeIfAbsent(m.id(), this::admit);
        s.listed = true;
        s.zone = m.zone();
        s.cell = m.cell();
        if (m.startedAt() != s.warmUp.startedAt) {
            // A new process: what the old one did is no evidence against it.
            s.breaker = new CircuitBreaker();
            s.warmUp = new WarmUp(settings.protection(), m.startedAt(), now, random.nextDouble());
        }
        if (!through && m.kind() == settings.originKind()) {
            origin = s;
            s.ready = true;
            lookElsewhere(s);
            return;
        }
        // A live weight says how busy a server was, not how large it is: it must not move keys.
        s.kind = m.kind() & 0xff;
        boolean told = settings.weights() == WeightMeaning.SIZE && m.weight() > 0;
        s.size = told ? m.weight() / referenceWeight : 1;
        if (settings.weights() == WeightMeaning.LIVE && m.weight() > 0) {
            nominalWeight[s.kind] = Math.max(nominalWeight[s.kind], m.weight());
            // One request a core is work, what is beyond waits.
            double waiting = nominalWeight[s.kind] / m.weight() - 2;
            s.shedder.observe(now, waiting * unhurried() / usualAim, deadline);
        }
        place(s, REWEIGH_AT);
    }

    /** Gives a server its part of the ring, unless what it has is that but for a small part. */
    private void place(Server s, double butFor) {
        double weight = s.size * speeds.of(s.kind);
        if (Math.abs(weight - s.weight) > butFor * s.weight) {
            leaveRing(s);
            s.ready = true;
            lookElsewhere(s);
            s.weight = weight;
            totalWeight += weight;
            ring.add(s.slot, s.id, HashRing.virtualNodes(weight));
        }
    }

    @Override
    public void onPromoted(double now, PromotedRing map) {
        promoted = map;
    }

    @Override
    public boolean avoidsOptionalLoad(double now, long server) {
        Server s = servers.get(server);
        boolean well = s != null && s.weight > 0 && !s.breaker.isOpen && s.openElsewhere == 0 && !s.saidFull;
        return !well || s.shedder.admitted(now, deadline) < 1 || s.bulkhead.full(due(sentOut.usual, s));
    }

    private Server admit(long id) {
        if (!slots.contains(null)) {
            slots.add(null);
        }
        int slot = slots.indexOf(null);
        slots.set(slot, new Server(id, slot, settings.protection()));
        return slots.get(slot);
    }

    private void retire(Server s) {
        leaveRing(s);
        s.ready = false;
        lookElsewhere(s);
        origin = s == origin ? null : origin;
        forgetIfIdle(s);
    }

    private void leaveRing(Server s) {
        if (s.weight > 0) {
            totalWeight -= s.weight;
            s.weight = 0;
            ring.remove(s.slot);
        }
    }

    private void forgetIfIdle(Server s) {
        if (!s.ready && s.bulkhead.inFlight == 0) {
            servers.remove(s.id);
            slots.set(s.slot, null);
        }
    }

    @Override
    public void onRequest(double now, Request request) {
        RequestClass rules = settings.classes().get(request.classIndex());
        // Requests without a key have no owner: a random point spreads them evenly.
        long point = request.key() == 0 ? random.nextLong() : HashRing.mix(request.key());
        Pending p = new Pending(request, rules, now, point, settings.limits().maxAttempts());
        requests.add(now, 1, POPULARITY_FADES * deadline);
        if (request.costHint() > 0) {
            usualWork += (request.costHint() - usualWork) / Math.min(++hints, 1 / Latency.GAIN);
        }
        usualAim += Latency.GAIN * (rules.target() - usualAim);
        p.overShare = tenants.exceeds(now, request.tenant(), memory, random);
        fetches.pass(now, GATE_OPENS * deadline);
        p.heat = request.key() == 0 ? 0 : keys.count(now, request.key(), POPULARITY_FADES * deadline);
        open.put(request.id(), p);
        retryTokens = Math.min(RETRY_SAVINGS, retryTokens + RETRY_RATIO);
        if (request.budget() <= 0) {
            end(p);
        } else if (!through && request.write()) {
            sendToOrigin(now, p);
        } else {
            sendOnRing(now, p);
        }
    }

    private void sendOnRing(double now, Pending p) {
        Server s = pick(now, p);
        p.expectsHit = s != null && keys.holds(now, p.request.key(), s, memory);
        send(now, p, s == null || through && !p.expectsHit && !mayFetch(p) ? null : s);
    }

    private void sendToOrigin(double now, Pending p) {
        boolean takes = origin != null && mayFetch(p) && maySend(now, p, origin, origin.bulkhead.usual);
        send(now, p, takes ? origin : null);
    }

    /** Guards against driving a slow origin to a stop: reads likely to be fetched are shed by chance. */
    private boolean mayFetch(Pending p) {
        double admitted = p.overShare ? Math.pow(fetches.admitted, OVER_SHARE_FIRST) : fetches.admitted;
        return p.request.write() || admitted >= 1 || random.nextDouble() < 1 - (1 - admitted) * missShare;
    }

    private Server pick(double now, Pending p) {
        // Guards against a key that is more than one server can bear: ring servers are passed over.
        double bearable = HOT_SHARE * requests.at(now, POPULARITY_FADES * deadline) / servers.size();
        // Where calls are rare, a key asked for twice or thrice is not yet a crowd, and each copy is a fetch.
        double sure = p.heat - HOT_DEVIATIONS * Math.sqrt(p.heat);
        int copies = fetches.isOpen() ? (int) Math.min(COPIES_MOST, Math.ceil(sure / bearable)) : 1;
        int skip = copies > 1 && servers.size() > 1 ? random.nextInt(copies) : 0;
        Server s = skip > 0 ? pick(now, p, skip) : null;
        return s != null ? s : pick(now, p, 0);
    }

    private Server pick(double now, Pending p, int skip) {
        int asked = -skip;
        int turned = 0;
        int busies = 0;
        double least = Double.POSITIVE_INFINITY;
        Server busy = null;
        Server spare = null;
        boolean other = promoted != null && promoted.holds(p.request.key());
        HashRing.Walk walk = (other ? promoted.ring() : ring).from(p.point);
        for (int slot = walk.next(); slot >= 0 && asked < WALK_LIMIT; slot = walk.next()) {
            Server s = other ? servers.get(promoted.serverAt(slot)) : slots.get(slot);
            if (s == null || s.weight <= 0 || ++asked <= 0 || p.tried(s)) {
                continue;
            }
            if (crowded(now, p, s)) {
                crowdedShare += turned++ == 0 ? Latency.GAIN * (1 - crowdedShare) : 0;
                double few = ownAnswersOnly ? CROWDED_FEW_THROUGH : CROWDED_FEW;
                if (crowdedShare > few || !fetches.isOpen()) {
                    // Guards against turning away whose owner is only busy, for a crowd at the next one.
                    return busy;
                }
                continue;
            }
            boolean suspect = !s.breaker.isOpen && s.openElsewhere >= SUSPECTED_BY;
            double share = s.warmUp.share(now);
            if (suspect || !maySend(now, p, s, due(sentOut.usual, s)) || !affords(now, s, share)) {
                continue;
            }
            // Whoever is busy by chance is passed over, but few are asked: a key on many misses on many.
            double busyFrom = Bulkhead.busyFrom(due(sentOut.usual + elsewhere, s), host.peerWeight());
            if (share < 1 && HashRing.fraction(p.point ^ s.id) >= share * COLD_SHARE) {
                spare = spare == null && p.out == 0 && s.bulkhead.inFlight < busyFrom ? s : spare;
                continue;
            }
            double load = (s.bulkhead.inFlight + s.elsewhere) / busyFrom;
            boolean waits = load >= 1;
            busy = !waits || busy == null || elsewhere > 0 && load < least ? s : busy;
            least = Math.min(load, least);
            if (!waits || ++busies >= (fetches.isOpen() ? 2 : 1)) {
                break;
            }
        }
        // Whoever met no crowd counts, sent to a busy server or not: or few crowded servers look like many.
        crowdedShare -= Latency.GAIN * (busy != null && turned == 0 ? crowdedShare : 0);
        // Guards against refusing while cold servers idle: they get what no warm one takes.
        return busy == null ? spare : busy;
    }

    /** Guards against a jam that outlasts its cause: part of its keys, always the same, is turned away. */
    private boolean crowded(double now, Pending p, Server s) {
        // Where only own answers tell and none is on its way, the last late one may have been our own doing.
        boolean tells = !ownAnswersOnly || s.bulkhead.inFlight != 0 || p.overShare;
        // What is long ago at this server gives way to what all show in common, unless that is the origin's.
        double common = through || Double.isNaN(commonLag) ? unhurried() : Math.exp(commonLag);
        double recent = Math.exp((s.lagAt - now) / (HINT_FADES * deadline));
        double wait = (s.lag - common) * recent + common - unhurried();
        double first = p.overShare ? OVER_SHARE_FIRST : 1;
        double over = first * wait / p.rules.target() - (through ? CROWD_FROM_THROUGH : LoadShedder.FROM);
        double told = Math.pow(s.shedder.admitted(now, deadline), first);
        double admitted = Math.max(LoadShedder.LEAST, Math.min(1 - over / CROWD_RAMP, told));
        return tells && admitted < 1 && HashRing.fraction(p.point + s.id) >= admitted;
    }

    /** Time of an answer that waits for nothing: hints of the work tell it before a jam can spoil answers. */
    private double unhurried() {
        return usualWork > 0 ? Math.min(usualWork, cacheLatency.least) : cacheLatency.least;
    }

    /** Guards against pushing a cold server over: whatever goes there keeps to a budget. */
    private boolean affords(double now, Server s, double share) {
        if (now >= weighedAt + TELLS_EVERY * deadline) {
            // The warm ones share what they are sent: else a half cold fleet seems to be asked for less.
            weighedAt = now;
            warmWeight = servers.values().stream()
                    .mapToDouble(x -> x.warmUp.share(now) < 1 ? 0 : x.weight)
                    .sum();
        }
        double perWeight = warmSends.rate(now, startedAt, warmFades) / Math.max(warmWeight, s.weight);
        double whole = settings.protection().overloadFactor() * share * perWeight * s.weight;
        return share >= 1 || s.warmUp.affords(now, whole, COLD_BUDGET, random.nextDouble());
    }

    private double due(double all, Server s) {
        return totalWeight > 0 ? all * s.weight / totalWeight : 0;
    }

    private void send(double now, Pending p, Server s) {
        if (s == null) {
            end(p);
            return;
        }
        s.breaker.onSend(now, p.request.id(), p.attempts);
        if (s != origin) {
            sentOut.add(now, 1, CONCURRENCY_FADES * deadline);
            if (s.warmUp.share(now) >= 1) {
                warmSends.add(now, 1, warmFades);
            } else {
                s.warmUp.spend();
            }
        }
        s.sends.add(now, 1, memory);
        s.bulkhead.add(now, 1, CONCURRENCY_FADES * deadline);
        double startWithin = p.startWithin(now);
        p.onSend(now, s);
        host.send(p.request.id(), s.id, p.deadlineAt - now, startWithin);
        if (s == origin || p.attempts > 1) {
            return;
        }
        boolean repeatable = p.rules.repeat() == Repeat.SAFE && !p.rules.streamed() && p.on.length > 1;
        boolean known = settings.limits().concurrentAttempts() && cacheLatency.seen >= FailureRate.BELIEF;
        if (repeatable && known && cacheLatency.late() < COPY_BEFORE * p.rules.target()) {
            host.setTimer(cacheLatency.late(), p.request.id());
        }
        if (through && !p.expectsHit) {
            host.setTimer(p.aimAt - now, p.request.id());
        }
    }

    @Override
    public void onOutcome(
            double now,
            long request,
            int attempt,
            long server,
            Outcome outcome,
            double elapsed,
            boolean finished,
            Lookup lookup,
            float[] report) {
        Server s = servers.get(server);
        Pending p = open.get(request);
        if (s != null) {
            boolean expectsHit = p != null && p.expectsHit;
            tellsLookups |= lookup != Lookup.UNKNOWN;
            // In through mode a slow origin looks like slow caches: misses say nothing of a server's shedder.
            boolean mayMiss = tellsLookups && outcome == Outcome.TIMEOUT && !expectsHit;
            account(now, s, outcome, elapsed, through && (lookup == Lookup.MISS || mayMiss));
            weigh(now, s, request, attempt, outcome, elapsed, expectsHit ? hitFailures : missFailures);
            forgetIfIdle(s);
            if (s.ready) {
                shareConnections(now, s, outcome);
            }
            if (p != null) {
                learnOfKey(now, p, s, outcome, lookup);
            }
        }
        if (p != null) {
            p.onOutcome(attempt, outcome);
            if (finished) {
                dropLosers(now, p);
                open.remove(request);
            } else if (p.out == 0 || outcome == Outcome.MISS) {
                proceed(now, p, outcome);
            }
        }
    }

    /** A copy has won: what is still out was later than a healthy server, which counts against its server. */
    private void dropLosers(double now, Pending p) {
        for (int out = p.out; out != 0; out &= out - 1) {
            int i = Integer.numberOfTrailingZeros(out);
            if (settings.limits().cancel()) {
                host.cancel(p.request.id(), i);
            }
            FailureRate rate = p.expectsHit && i == 0 ? hitFailures : missFailures;
            weigh(now, p.on[i], p.request.id(), i, Outcome.TIMEOUT, now - p.sentAt[i], rate);
        }
    }

    private void learnOfKey(double now, Pending p, Server s, Outcome outcome, Lookup lookup) {
        if (outcome == Outcome.OK && !p.request.write()) {
            keys.held(now, p.request.key(), s == origin ? p.on[0] : s);
        }
        boolean unknown = through && !p.expectsHit;
        boolean ended = outcome == Outcome.OK
                || outcome == Outcome.TIMEOUT
                || outcome == Outcome.ERROR
                || outcome == Outcome.FULL;
        // Who has just started knows no key, though most are held: not all are to be shed as misses.
        if (unknown && ended && tellsLookups && !p.request.write()) {
            missShare += Latency.GAIN * ((lookup == Lookup.HIT ? 0 : 1) - missShare);
        }
        if (ended && !p.late && (s == origin || unknown && lookup != Lookup.HIT)) {
            boolean inTime = outcome == Outcome.OK && now <= p.aimAt;
            fetches.record(inTime, s == origin ? 1 : originsPart(now, s, inTime));
        }
    }

    /** Guards against few bad servers shutting the gate: what fails at one alone is not the origin's. */
    private double originsPart(double now, Server s, boolean inTime) {
        double fades = FETCH_FADES * deadline;
        fetchFaults.add(now, !inTime, fades);
        s.fetches.add(now, !inTime, fades);
        double elsewhere = fetchFaults.without(s.fetches, now, fades);
        double here = (s.fetches.failures.at(now, fades) + elsewhere) / (s.fetches.ends.at(now, fades) + 1);
        return Math.max(0, 1 - hitFailures.at(now, memory) / missFailures.at(now, memory))
                * Math.min(1, elsewhere / here);
    }

    /** Guards against servers whose connections are all held idle: while some fail, those are given back. */
    private void shareConnections(double now, Server s, Outcome outcome) {
        connects.ends.add(now, 1, memory);
        if (outcome == Outcome.CONNECT_FAILED) {
            s.unreachedAt = now;
            return;
        }
        // One that answers its first trial had no connection left; one that is gone tells nothing of others.
        connects.failures.add(now, now - s.unreachedAt < DEAD_TIME * (1 + JITTER) * deadline ? 1 : 0, memory);
        s.unreachedAt = Double.NEGATIVE_INFINITY;
        boolean scarce = connects.failures.at(now, memory) > SCARCE * connects.ends.at(now, memory);
        if (s.bulkhead.inFlight == 0 && scarce) {
            host.closeIdle(s.id);
        }
    }

    private void account(double now, Server s, Outcome outcome, double elapsed, boolean fetched) {
        s.bulkhead.add(now, -1, CONCURRENCY_FADES * deadline);
        Latency latency = s == origin ? originLatency : cacheLatency;
        if (s != origin) {
            sentOut.add(now, -1, CONCURRENCY_FADES * deadline);
        }
        if (outcome == Outcome.OK) {
            latency.add(elapsed);
            if (s != origin && !fetched && s.warmUp.share(now) >= 1 && speeds.learn(s.kind, elapsed)) {
                slots.stream()
                        .filter(x -> x != null && x.weight > 0 && x.kind == s.kind)
                        .forEach(x -> place(x, 0));
            }
        }
        // 'Full' says that the wait would have been past any patience; a single one among answers does not.
        boolean full = outcome == Outcome.FULL;
        double wait = full ? deadline : elapsed;
        boolean tellsWait = full && s.saidFull || outcome == Outcome.OK || outcome == Outcome.TIMEOUT;
        s.saidFull = full;
        if (s != origin && !fetched && tellsWait) {
            double gain = ownAnswersOnly ? LAG_GAIN_THROUGH : LAG_GAIN;
            s.lag = (now - s.lagAt > HINT_FADES * deadline ? latency.mean : s.lag) * (1 - gain) + gain * wait;
            double before = Double.isNaN(commonLag) ? latency.typical : commonLag;
            commonLag = before + COMMON_GAIN * (Latency.log(wait) - before);
            s.lagAt = now;
        }
    }

    private void weigh(
            double now, Server s, long request, int attempt, Outcome outcome, double took, FailureRate rate) {
        Latency latency = s == origin ? originLatency : cacheLatency;
        double commonRate = s == origin ? 1 : rate.at(now, memory);
        double late = Math.max(latency.late(), LATE_LEAST * usualAim);
        double evidence = CircuitBreaker.evidence(outcome, took, late, commonRate);
        Pending p = open.get(request);
        if (evidence != 0 && s != origin && (p == null || !p.late)) {
            rate.add(now, evidence > 0, memory);
        }
        double openAt = OPEN_AT + Math.log1p(s.sends.rate(now, startedAt, memory) * CHANCE_SPAN * deadline);
        if (s.breaker.record(now, request, attempt, evidence, openAt, memory)) {
            s.breaker.open(now, DEAD_TIME * deadline, 1 + JITTER * (2 * random.nextDouble() - 1));
        }
    }

    private void proceed(double now, Pending p, Outcome outcome) {
        boolean worthless = now >= p.aimAt && p.rules.lateWorth() == 0;
        boolean tooLate = p.deadlineAt - now < cacheLatency.mean / 2;
        boolean atOrigin = !through && (p.request.write() || p.missed);
        if (outcome == Outcome.MISS) {
            sendToOrigin(now, p);
        } else if (worthless || tooLate || atOrigin || retryTokens < 1) {
            end(p);
        } else {
            retryTokens -= 1;
            sendOnRing(now, p);
        }
    }

    /** The one place that decides whether a request may be sent to a server, and whether once more. */
    private boolean maySend(double now, Pending p, Server s, double usual) {
        boolean atOnce = p.out == 0 || settings.limits().concurrentAttempts();
        boolean takes = s.ready && s.breaker.allows(now) && !s.bulkhead.full(usual);
        boolean inBounds = p.attempts < p.on.length && now < p.deadlineAt;
        return atOnce && takes && inBounds && p.mayRepeat(now, settings.tick(), s);
    }

    /** The balancer's own final answer. An attempt still out is left to run: its outcome is ignored. */
    private void end(Pending p) {
        long id = p.request.id();
        if (p.mayRefuse()) {
            double after = p.rules.target() * (RETRY_AFTER_MIN + RETRY_AFTER_SPREAD * random.nextDouble());
            host.refuse(id, Math.min(after, settings.limits().maxRetryAfter()));
        } else {
            host.fail(id);
        }
        open.remove(id);
    }

    @Override
    public void onFirstByte(double now, long request, int attempt) {
        Pending p = open.get(request);
        if (p != null) {
            p.started = true;
        }
    }

    @Override
    public void onClientGone(double now, long request) {
        open.remove(request);
    }

    /** The first attempt is later than healthy servers are: a copy goes to the next ring server. */
    @Override
    public void onTimer(double now, long token) {
        Pending p = open.get(token);
        boolean waits = p != null && p.out != 0;
        if (token == WATCH_TOKEN) {
            host.watchMembers();
        } else if (token == TELL_TOKEN) {
            tell(now);
        } else if (waits && now >= p.aimAt && !p.late) {
            if (now > p.aimAt + WOKE_LATE * p.rules.target()) {
                // It is this balancer that is late: the answer may lie here unread.
                return;
            }
            // Known late now, not only when its time is up: till then an origin that jams would be sent more.
            p.late = true;
            missFailures.add(now, true, memory);
            fetches.record(false, missShare * originsPart(now, p.on[p.attempts - 1], false));
        } else if (waits && p.attempts == 1 && !p.started && retryTokens >= 1 && fetches.isOpen()) {
            Server s = pick(now, p);
            if (s != null) {
                retryTokens -= 1;
                send(now, p, s);
            }
        }
    }

    /** Tells what no other can see: with many balancers, each alone sees too little of any server. */
    private void tell(double now) {
        host.reportToPeers(slots.stream()
                .filter(s -> s != null && s.ready && (s.bulkhead.inFlight > 0 || s.breaker.isOpen))
                .map(s -> new ServerReport(s.id, s.bulkhead.inFlight, s.breaker.isOpen))
                .sorted(Comparator.comparing(ServerReport::open)
                        .thenComparing(ServerReport::inFlight)
                        .reversed())
                .toList());
        host.setTimer(TELLS_EVERY * deadline * (0.5 + random.nextDouble()), TELL_TOKEN);
    }

    @Override
    public void onPeers(double now, Collection<Long> changed) {
        changed.stream().map(servers::get).filter(Objects::nonNull).forEach(this::lookElsewhere);
    }

    /** What others report of a server counts as long as it is ready. */
    private void lookElsewhere(Server s) {
        PeerTotals sum = s.ready ? host.peerTotals(s.id) : PeerTotals.none(s.id);
        elsewhere += sum.inFlight() - s.elsewhere;
        s.elsewhere = sum.inFlight();
        s.openElsewhere = sum.open();
    }
}
