package stagepier;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import stagepier.Api.*;

/**
 * Every decision of one balancer; its interface is {@code Api.java}. A key goes to its owner on a hash ring.
 * Each server, and an origin that is asked from here, is guarded by a {@link CircuitBreaker} and then by a
 * {@link Bulkhead} of tickets; what either turns away goes on to the next ring server, or is refused.
 */
public final class Brain implements Api.Events {
    // ---- constants: dimensionless, or multiples of what the settings say ----------------------------------
    /** Ring servers asked for one send: beyond these a copy of the key is as good as nowhere. */
    private static final int WALK_LIMIT = 16;
    /** A weight must change by this part before virtual nodes follow: noise must not move keys. */
    private static final double REWEIGH_AT = 0.25;
    /** Answers from which a kind's speed counts, weight of a new one, least speed, change that moves keys. */
    private static final int KIND_TRUSTED = 60;
    private static final double KIND_GAIN = 1.0 / 256;
    private static final double KIND_SLOWEST = 0.4;
    private static final double KIND_CHANGES = 0.15;

    /** Failure rate of a server that deserves an open circuit, and of one that cannot be reached. */
    private static final double BROKEN_RATE = 0.9;
    private static final double UNREACHABLE_RATE = 0.95;
    /** Reference failure rate before anything was seen, and the number of calls that this belief counts. */
    private static final double USUAL_RATE = 0.01;
    private static final double BELIEF_CALLS = 20;
    /** Failures common to all count for less, but a server that only fails is opened all the same. */
    private static final double COMMON_RATE_CAP = 0.6;
    /** Log odds at which a circuit opens for a server seldom called; busier ones need more, see below. */
    private static final double OPEN_AT = 4;
    /** Calls that evidence is weighed against: a busy server fails by chance more often. */
    private static final double CHANCE_SPAN = 5;
    /** Part of a failure that an error or a 'full' is: the server still answers. */
    private static final double MILD_FAILURE = 0.5;
    /** Evidence fades with this time constant, in shortest deadlines. */
    private static final double EVIDENCE_FADES = 12;
    /** First dead time of a circuit in shortest deadlines, its doublings, and its jitter to either side. */
    private static final double DEAD_TIME = 2;
    private static final int DEAD_TIME_DOUBLINGS = 2;
    private static final double JITTER = 0.3;

    /** A key is hot from this part of a server's fair share of all requests. */
    private static final double HOT_SHARE = 0.3;
    private static final int COPIES_MOST = 40;
    /** Popularity is remembered this long, in shortest deadlines: it drifts, but chance needs averaging. */
    private static final double POPULARITY_FADES = 40;
    /** Keys remembered: what a busy balancer is asked for while a copy is kept. */
    private static final int KEY_PLACES = 4096;
    /** The part of fetches admitted: its steps after one in time and one that was not, and its least. */
    private static final double FETCH_RECOVERS = 0.04;
    private static final double FETCH_YIELDS = 0.3;
    private static final double FETCH_LEAST = 0.02;
    /** A gate without news opens within this many shortest deadlines. */
    private static final double GATE_OPENS = 12;
    /** How fetches end at each server is remembered this long, in shortest deadlines. */
    private static final double FETCH_FADES = 4;

    /** A server is crowded from where waiting takes this part of the aim. */
    private static final double CROWD_FROM = 0.14;
    /** By own answers later, where some may have waited for the origin rather than the server. */
    private static final double CROWD_FROM_THROUGH = 0.33;
    /** By own answers most is shed where waiting takes so much more. */
    private static final double CROWD_RAMP = 0.35;
    /** Part of its keys that a crowded server keeps at the least: some must tell how it fares. */
    private static final double CROWD_LEAST = 0.03;
    /** Shortest deadlines for which one that keeps the least rests, and in which all keys come back then. */
    private static final double CROWD_RESTS = 5;
    private static final double CROWD_RETURNS = 4;
    private static final double LAG_GAIN = 0.4;
    /** The same where it alone tells a crowd: single answers vary by more than what makes one. */
    private static final double LAG_GAIN_THROUGH = 0.2;
    /** The same for the answer times of all servers together: some ten answers tell a jam that all are in. */
    private static final double COMMON_GAIN = 0.1;
    /** While no more than this part of requests meets a crowd, it is local, and its keys are spilled. */
    private static final double CROWDED_FEW = 0.06;
    /** By own answers alone: they are few and vary, and a server that is only slow must not cost its keys. */
    private static final double CROWDED_FEW_THROUGH = 0.5;
    /** What is beyond a tenant's share gives way this many times sooner than the rest. */
    private static final double OVER_SHARE_FIRST = 4;
    /** A hint fades with this time constant, in shortest deadlines. */
    private static final double HINT_FADES = 8;

    /** Tickets at the least: with two, one that just started turned away what servers could bear. */
    private static final int TICKET_FLOOR = 12;
    /** Deviations above the usual concurrency that tickets allow: normal work then seldom finds none. */
    private static final double TICKET_DEVIATIONS = 5;
    /** In flight at the least, and deviations above the usual, from which a server is busy by chance. */
    private static final double BUSY_FLOOR = 3;
    private static final double BUSY_DEVIATIONS = 1.5;
    /** Usual concurrency is remembered this long, in shortest deadlines: longer than a jam builds up. */
    private static final double CONCURRENCY_FADES = 10;

    /** Part of the stated overload factor that a cold server's send budget uses. */
    private static final double COLD_BUDGET = 0.6;
    /** Part of its stated least capacity that a cold server is offered: most have more. */
    private static final double COLD_SHARE = 1.4;
    /** Own send rates are measured over this many overload spans. */
    private static final double RATE_SPANS = 4;

    /** Further tries allowed for each request, and how many may be saved up. */
    private static final double RETRY_RATIO = 0.1;
    private static final double RETRY_SAVINGS = 10;
    /** Deviations above the mean answer time after which a further try is worth more than waiting. */
    private static final double LATE_DEVIATIONS = 4;
    /** A copy is likely one more fetch: none while fewer fetches than this part are admitted. */
    private static final double COPY_WHILE_ADMITTED = 0.9;
    /** A copy is sent only if it leaves after at most this part of the aim. */
    private static final double COPY_BEFORE = 0.7;
    /** Answers after which their mean time is taken for what an answer needs that waits for nothing. */
    private static final int ANSWERS_TO_TRUST = 8;
    private static final double LATENCY_GAIN = 1.0 / 64;
    /** Retry-after in parts of the aim: late enough to spread, early enough to be of use. */
    private static final double RETRY_AFTER_MIN = 0.05;
    private static final double RETRY_AFTER_SPREAD = 0.2;

    /** Part of attempts without a connection from which connections are scarce. */
    private static final double SCARCE_CONNECTIONS = 0.02;

    /** Attempts of one request at the most, whatever the settings say: each is a bit. */
    private static final int MOST_ATTEMPTS = 16;
    /** Timer of a new call for the list; all others carry a request's id, which is not negative. */
    private static final long WATCH_TOKEN = -1;
    private static final long TELL_TOKEN = -2;
    /** What is out and what is open is told to the other balancers so often, in shortest deadlines. */
    private static final double TELLS_EVERY = 0.18;
    /** Balancers from which on it is told: fewer see enough themselves, and would only move keys about. */
    private static final int MANY = 7;
    /** So many others with an open circuit make a server suspect here, too: no single one is believed. */
    private static final int SUSPECTED_BY = 3;

    // ---- state --------------------------------------------------------------------------------------------
    private final Api.Settings settings;
    private final Api.Host host;
    private final SplittableRandom random;
    private final int maxAttempts;
    private final double shortestDeadline;
    private final HashRing ring = new HashRing();
    private final Map<Long, Server> servers = new HashMap<>();
    private final List<Server> slots = new ArrayList<>();
    private final Map<Long, Pending> open = new HashMap<>();
    private final Latency cacheLatency = new Latency();
    private final Latency originLatency = new Latency();
    private final FetchGate fetches = new FetchGate();
    private double missShare = 1;
    /** Calls and failures at cache servers, apart for keys expected to miss [0] and to hit [1]. */
    private final FadingCount[] calls = new FadingCount[2];
    private final FadingCount[] failures = new FadingCount[2];
    private final KeyTable keys = new KeyTable();
    private final FadingCount fetchEnds;
    private final FadingCount fetchFaults;
    private final FadingCount requests;
    private final FadingCount warmSends;
    private final FadingCount[] tenantCalls;
    private final FadingCount allCalls;
    private final double sumOfShares;
    private Server origin;
    private double referenceWeight;
    private double totalWeight;
    private double warmWeight;
    private double weighedAt = Double.NEGATIVE_INFINITY;
    private final double[] nominalWeight = new double[256];
    /** By machine kind: speed that it counts for, in parts of the fastest; mean log answer time; answers. */
    private final double[] kindSpeed = new double[256];
    private final double[] kindTypical = new double[256];
    private final int[] kindAnswers = new int[256];
    private final Bulkhead sentOut;
    private double retryTokens = RETRY_SAVINGS / 2;
    private double startedAt = Double.NaN;
    private boolean tellsLookups;
    private boolean watching;
    private boolean telling;
    private double elsewhere;
    private final FadingCount ends;
    private final FadingCount connectFailures;
    private final boolean ownAnswersOnly;
    private final double fewCrowded;
    private final double lagGain;
    private double crowdedShare;
    private double usualAim;
    private double commonLag = Double.NaN;
    private double usualWork;
    private int hints;

    /** @throws IllegalArgumentException where the settings make no sense */
    public Brain(Api.Settings settings, long seed, Api.Host host) {
        if (settings.classes().isEmpty()) {
            throw new IllegalArgumentException("no request classes");
        }
        if (settings.fetching() == Fetching.ASIDE && settings.originKind() < 0) {
            throw new IllegalArgumentException("misses are fetched aside, but no member kind is the origin");
        }
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        maxAttempts = Math.max(1, Math.min(MOST_ATTEMPTS, settings.limits().maxAttempts()));
        double shortest = settings.classes().stream().mapToDouble(RequestClass::deadline).min().getAsDouble();
        shortestDeadline = shortest;
        Arrays.fill(kindSpeed, 1);
        usualAim = settings.classes().get(0).aim();
        ownAnswersOnly = settings.fetching() == Fetching.THROUGH && settings.weights() != WeightMeaning.LIVE;
        fewCrowded = ownAnswersOnly ? CROWDED_FEW_THROUGH : CROWDED_FEW;
        lagGain = ownAnswersOnly ? LAG_GAIN_THROUGH : LAG_GAIN;
        tenantCalls = new FadingCount[settings.tenants().size()];
        for (FadingCount[] counts : List.of(calls, failures, tenantCalls)) {
            Arrays.setAll(counts, i -> new FadingCount(EVIDENCE_FADES * shortest));
        }
        sumOfShares = settings.tenants().stream().mapToDouble(Tenant::share).sum();
        allCalls = new FadingCount(EVIDENCE_FADES * shortest);
        ends = new FadingCount(EVIDENCE_FADES * shortest);
        connectFailures = new FadingCount(EVIDENCE_FADES * shortest);
        fetchEnds = new FadingCount(FETCH_FADES * shortest);
        fetchFaults = new FadingCount(FETCH_FADES * shortest);
        requests = new FadingCount(POPULARITY_FADES * shortest);
        sentOut = new Bulkhead(CONCURRENCY_FADES * shortest);
        warmSends = new FadingCount(RATE_SPANS * Math.max(settings.protection().overloadSpan(), shortest));
    }

    // ---- the list of servers ------------------------------------------------------------------------------
    @Override
    public void onMembers(double now, boolean complete, List<Member> members) {
        startedAt = Double.isNaN(startedAt) ? now : startedAt;
        if (settings.listOnRequest() && !watching) {
            watching = true;
            host.watchMembers();
        }
        if (!telling && settings.limits().peers() && settings.balancers() >= MANY) {
            telling = true;
            host.setTimer(TELLS_EVERY * shortestDeadline * random.nextDouble(), TELL_TOKEN);
        }
        if (referenceWeight == 0) {
            referenceWeight = referenceWeight(members);
        }
        if (complete) {
            servers.values().forEach(s -> s.listed = false);
        }
        for (Member m : members) {
            learn(now, m);
        }
        if (complete) {
            slots.stream().filter(s -> s != null && !s.listed).forEach(this::retire);
        }
    }

    /** Asks again after a jittered wait: all instances may have lost the same service at once. */
    @Override
    public void onMembersFailed(double now) {
        if (settings.listOnRequest()) {
            host.setTimer(shortestDeadline * (1 + random.nextDouble()), WATCH_TOKEN);
        }
    }

    /** A power of two near the mean weight: balancers that start from different lists agree on it. */
    private static double referenceWeight(List<Member> members) {
        double sum = 0;
        for (Member m : members) {
            sum += m.weight();
        }
        return sum > 0 ? Math.pow(2, Math.rint(Math.log(sum / members.size()) / Math.log(2))) : 0;
    }

    private void learn(double now, Member m) {
        Server s = servers.get(m.id());
        if (m.state() != MemberState.READY) {
            // Draining or gone: nothing new from this moment on, well inside the stated grace.
            if (s != null) {
                s.listed = true;
                retire(s);
            }
            return;
        }
        if (s == null) {
            s = admit(m);
        }
        s.listed = true;
        s.zone = m.zone();
        s.cell = m.cell();
        if (m.startedAt() != s.warmUp.startedAt) {
            // A new process: what the old one did is no evidence against it.
            s.breaker.reset();
            s.warmUp.restart(m.startedAt(), now, random.nextDouble());
        }
        if (settings.fetching() == Fetching.ASIDE && m.kind() == settings.originKind()) {
            origin = s;
            s.ready = true;
            return;
        }
        // A live weight says how busy a server was, not how large it is: it must not move keys.
        s.kind = m.kind() & 0xff;
        s.size = settings.weights() == WeightMeaning.SIZE && m.weight() > 0 && referenceWeight > 0
                ? m.weight() / referenceWeight : 1;
        if (settings.weights() == WeightMeaning.LIVE && m.weight() > 0) {
            nominalWeight[s.kind] = Math.max(nominalWeight[s.kind], m.weight());
            // One request a core is work, what is beyond waits.
            double waiting = nominalWeight[s.kind] / m.weight() - 2;
            s.crowd.judge(now, waiting * unhurried() / usualAim, shortestDeadline);
        }
        place(s, REWEIGH_AT);
    }

    /** Gives a server its part of the ring, unless what it has is that but for a small part. */
    private void place(Server s, double butFor) {
        double weight = s.size * kindSpeed[s.kind];
        if (s.ready && Math.abs(weight - s.weight) <= butFor * s.weight) {
            return;
        }
        leaveRing(s);
        s.ready = true;
        s.weight = weight;
        totalWeight += weight;
        ring.add(s.slot, s.id, HashRing.virtualNodes(weight));
    }

    /** Guards against all balancers filling the slow kind first: size says nothing of a kind's speed. */
    private void learnSpeed(double now, Server s, double elapsed) {
        int k = s.kind;
        double gain = Math.max(KIND_GAIN, 1.0 / ++kindAnswers[k]);
        kindTypical[k] += gain * (Math.log(Math.max(1e-6, elapsed)) - kindTypical[k]);
        double best = kindTypical[k];
        for (int i = 0; i < kindTypical.length; i++) {
            best = kindAnswers[i] < KIND_TRUSTED ? best : Math.min(best, kindTypical[i]);
        }
        double speed = Math.max(KIND_SLOWEST, Math.exp(best - kindTypical[k]));
        if (kindAnswers[k] >= KIND_TRUSTED && Math.abs(speed - kindSpeed[k]) > KIND_CHANGES * kindSpeed[k]) {
            kindSpeed[k] = speed;
            slots.stream().filter(x -> x != null && x.weight > 0 && x.kind == k).forEach(x -> place(x, 0));
        }
    }

    private Server admit(Member m) {
        int slot = slots.indexOf(null);
        if (slot < 0) {
            slot = slots.size();
            slots.add(null);
        }
        Server s = new Server(m.id(), slot);
        slots.set(slot, s);
        servers.put(m.id(), s);
        return s;
    }

    private void retire(Server s) {
        leaveRing(s);
        s.ready = false;
        if (s == origin) {
            origin = null;
        }
        forgetIfIdle(s);
    }

    private void leaveRing(Server s) {
        if (s.ready && s.weight > 0) {
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

    // ---- requests -----------------------------------------------------------------------------------------
    @Override
    public void onRequest(double now, Api.Request request) {
        RequestClass rules = settings.classes().get(request.classIndex());
        // Requests without a key have no owner: a random point spreads them evenly.
        long point = request.key() == 0 ? random.nextLong() : HashRing.mix(request.key());
        Pending p = new Pending(request, rules, now, point, maxAttempts);
        requests.add(now, 1);
        if (request.costHint() > 0) {
            usualWork += (request.costHint() - usualWork) / Math.min(++hints, 1 / LATENCY_GAIN);
        }
        usualAim += LATENCY_GAIN * (rules.aim() - usualAim);
        p.overShare = overShare(now, request.tenant());
        fetches.pass(now, GATE_OPENS * shortestDeadline);
        p.heat = request.key() == 0 ? 0 : keys.count(now, request.key(), requests.fades);
        open.put(request.id(), p);
        retryTokens = Math.min(RETRY_SAVINGS, retryTokens + RETRY_RATIO);
        if (request.budget() <= 0) {
            end(now, p);
        } else if (settings.fetching() == Fetching.ASIDE && request.write()) {
            sendToOrigin(now, p);
        } else {
            sendOnRing(now, p);
        }
    }

    /** Beyond its tenant's share: by chance, as often as the tenant's part of requests exceeds that share. */
    private boolean overShare(double now, int tenant) {
        if (tenant < 0 || tenant >= tenantCalls.length || sumOfShares <= 0) {
            return false;
        }
        tenantCalls[tenant].add(now, 1);
        allCalls.add(now, 1);
        double due = allCalls.at(now) * settings.tenants().get(tenant).share() / sumOfShares;
        return random.nextDouble() * tenantCalls[tenant].at(now) > due + Math.sqrt(due);
    }

    /** The ordinary path: the ring owner, or the next ring server that is not turned away. */
    private void sendOnRing(double now, Pending p) {
        Server s = pick(now, p);
        if (s != null) {
            p.expectsHit = keys.holds(now, p.request.key(), s, EVIDENCE_FADES * shortestDeadline);
        }
        if (s == null || settings.fetching() == Fetching.THROUGH && !p.expectsHit && !mayFetch(p)) {
            end(now, p);
        } else {
            send(now, p, s);
        }
    }

    private void sendToOrigin(double now, Pending p) {
        Server s = origin;
        if (s == null || !mayFetch(p) || !maySend(now, p, s) || !s.breaker.allows(now)
                || !s.bulkhead.allows(Bulkhead.cap(s.bulkhead.usual))) {
            end(now, p);
        } else {
            send(now, p, s);
        }
    }

    /** Guards against driving a slow origin to a stop: reads likely to be fetched are shed by chance. */
    private boolean mayFetch(Pending p) {
        double admitted = p.overShare ? Math.pow(fetches.admitted, OVER_SHARE_FIRST) : fetches.admitted;
        return p.request.write() || admitted >= 1 || random.nextDouble() < 1 - (1 - admitted) * missShare;
    }

    private Server pick(double now, Pending p) {
        int skip = spread(now, p);
        Server s = skip > 0 ? pick(now, p, skip) : null;
        return s != null ? s : pick(now, p, 0);
    }

    /** Guards against a key that is more than one server can bear: ring servers to pass over. */
    private int spread(double now, Pending p) {
        if (p.heat <= 1 || servers.size() < 2) {
            return 0;
        }
        double bearable = HOT_SHARE * requests.at(now) / servers.size();
        // One deviation off the count: where calls are rare, a key asked for twice is not yet a crowd.
        int copies = (int) Math.min(COPIES_MOST, Math.ceil((p.heat - Math.sqrt(p.heat)) / bearable));
        return copies > 1 ? random.nextInt(copies) : 0;
    }

    private Server pick(double now, Pending p, int skip) {
        int asked = -skip;
        int turned = 0;
        int busies = 0;
        double least = Double.POSITIVE_INFINITY;
        Server busy = null;
        Server spare = null;
        HashRing.Walk walk = ring.from(p.point);
        for (int slot = walk.next(); slot >= 0 && asked < WALK_LIMIT; slot = walk.next()) {
            Server s = slots.get(slot);
            asked++;
            if (asked <= 0 || p.tried(s)) {
                continue;
            }
            if (crowded(now, p, s)) {
                if (turned++ == 0) {
                    crowdedShare += LATENCY_GAIN * (1 - crowdedShare);
                }
                if (crowdedShare > fewCrowded || fetches.admitted < COPY_WHILE_ADMITTED) {
                    // Guards against turning away whose owner is only busy, for a crowd at the next one.
                    return busy;
                }
                continue;
            }
            boolean suspect = !s.breaker.isOpen && s.openElsewhere >= SUSPECTED_BY;
            if (maySend(now, p, s) && !suspect && s.breaker.allows(now) && s.bulkhead.allows(tickets(s))
                    && affordsCold(now, s)) {
                if (!warmEnough(now, p, s)) {
                    boolean idles = p.out == 0 && s.bulkhead.inFlight < busyFrom(s);
                    spare = spare == null && idles ? s : spare;
                    continue;
                }
                double load = (s.bulkhead.inFlight + s.elsewhere) / busyFrom(s);
                if (load >= 1) {
                    busy = busy == null || elsewhere > 0 && load < least ? s : busy;
                    least = Math.min(load, least);
                    if (++busies >= (fetches.admitted < COPY_WHILE_ADMITTED ? 1 : 2)) {
                        break;
                    }
                    continue;
                }
                busy = s;
                break;
            }
        }
        // Whoever met no crowd counts, sent to a busy server or not: or few crowded servers look like many.
        crowdedShare -= LATENCY_GAIN * (busy != null && turned == 0 ? crowdedShare : 0);
        // Guards against refusing while cold servers idle: they get what no warm one takes, on budget.
        return busy == null ? spare : busy;
    }

    /** Guards against a jam that outlasts its cause: part of its keys, always the same, is turned away. */
    private boolean crowded(double now, Pending p, Server s) {
        // What is long ago at this server gives way to what all show in common, unless that is the origin's.
        boolean through = settings.fetching() == Fetching.THROUGH;
        // Where only own answers tell and none is on its way, the last late one may have been our own doing.
        if (ownAnswersOnly && s.bulkhead.inFlight == 0 && !p.overShare) {
            return false;
        }
        double common = through || Double.isNaN(commonLag) ? unhurried() : Math.exp(commonLag);
        double recent = Math.exp((s.lagAt - now) / (HINT_FADES * shortestDeadline));
        double wait = (s.lag - common) * recent + common - unhurried();
        double first = p.overShare ? OVER_SHARE_FIRST : 1;
        double from = through ? CROWD_FROM_THROUGH : CROWD_FROM;
        double own = 1 - (first * wait / p.rules.aim() - from) / CROWD_RAMP;
        double told = Math.pow(s.crowd.admitted(now, shortestDeadline), first);
        double admitted = Math.max(CROWD_LEAST, Math.min(own, told));
        return admitted < 1 && HashRing.unit(HashRing.mix(p.point + s.id)) >= admitted;
    }

    /** Time of an answer that waits for nothing: hints of the work tell it before a jam can spoil answers. */
    private double unhurried() {
        return usualWork > 0 ? Math.min(usualWork, cacheLatency.least) : cacheLatency.least;
    }

    /** Part of its keys goes to a server that is not warm. */
    private boolean warmEnough(double now, Pending p, Server s) {
        double share = s.warmUp.share(now, settings.protection());
        return share >= 1 || HashRing.unit(HashRing.mix(p.point ^ s.id)) < share * COLD_SHARE;
    }

    /** Guards against pushing a cold server over: whatever goes there keeps to a budget. */
    private boolean affordsCold(double now, Server s) {
        double share = s.warmUp.share(now, settings.protection());
        double perWeight = warmSends.rate(now, startedAt) / Math.max(warmWeight(now), s.weight);
        double rate = COLD_BUDGET * settings.protection().overloadFactor() * share * perWeight * s.weight;
        return share >= 1
                || s.warmUp.affords(now, rate, Math.max(1, rate * settings.protection().overloadSpan() / 2));
    }

    /** Of the warm ones, who share what they are sent: else a half cold fleet seems to be asked for less. */
    private double warmWeight(double now) {
        if (now >= weighedAt + TELLS_EVERY * shortestDeadline) {
            weighedAt = now;
            warmWeight = servers.values().stream().mapToDouble(s ->
                    s.warmUp.share(now, settings.protection()) < 1 ? 0 : s.weight).sum();
        }
        return warmWeight;
    }

    /** Busy by chance: the next may have no wait; no more are asked, for a key on many misses on many. */
    private double busyFrom(Server s) {
        double usual = totalWeight > 0 ? (sentOut.usual + elsewhere) * s.weight / totalWeight : 0;
        return Math.max(BUSY_FLOOR, usual + BUSY_DEVIATIONS * Math.sqrt(usual));
    }

    private int tickets(Server s) {
        return Bulkhead.cap(totalWeight > 0 ? sentOut.usual * s.weight / totalWeight : 0);
    }

    private void send(double now, Pending p, Server s) {
        s.breaker.onSend(now, p.request.id(), p.attempts);
        if (s != origin) {
            sentOut.add(now, 1);
            if (s.warmUp.share(now, settings.protection()) >= 1) {
                warmSends.add(now, 1);
            } else {
                s.warmUp.spend();
            }
        }
        s.sends.add(now, 1);
        s.bulkhead.add(now, 1);
        p.onSend(now, s);
        host.send(p.request.id(), s.id, p.deadlineAt - now);
        if (s != origin && p.attempts == 1 && mayCopy(p)) {
            host.setTimer(cacheLatency.late(), p.request.id());
        }
    }

    /** Second copies: only where the host allows them, the class is safe, and some experience says when. */
    private boolean mayCopy(Pending p) {
        return settings.limits().concurrentAttempts() && p.rules.repeat() == Repeat.SAFE
                && !p.rules.streamed() && maxAttempts > 1 && cacheLatency.seen >= BELIEF_CALLS
                && cacheLatency.late() < COPY_BEFORE * p.rules.aim();
    }

    // ---- outcomes -----------------------------------------------------------------------------------------
    @Override
    public void onOutcome(double now, long request, int attempt, long server, Outcome outcome, double elapsed,
            boolean finished, Lookup lookup, float[] report) {
        Server s = servers.get(server);
        Pending p = open.get(request);
        if (s != null) {
            boolean expectsHit = p != null && p.expectsHit;
            tellsLookups |= lookup != Lookup.UNKNOWN;
            // In through mode a slow origin looks like slow caches: misses say nothing of a server's crowd.
            boolean waitedForOrigin = settings.fetching() == Fetching.THROUGH
                    && (lookup == Lookup.MISS || tellsLookups && outcome == Outcome.TIMEOUT && !expectsHit);
            account(now, s, request, attempt, outcome, elapsed, expectsHit, waitedForOrigin);
        }
        if (s != null && s.ready) {
            shareConnections(now, s, outcome);
        }
        if (s != null && p != null) {
            learnOfKey(now, p, s, outcome, lookup);
        }
        if (p == null) {
            return;
        }
        p.onOutcome(attempt, outcome);
        if (finished) {
            dropLosers(now, p);
            open.remove(request);
        } else if (p.out == 0 || outcome == Outcome.MISS) {
            proceed(now, p, outcome);
        }
    }

    /** A copy has won: what is still out was later than a healthy server, which counts against its server. */
    private void dropLosers(double now, Pending p) {
        for (int i = 0; i < p.attempts; i++) {
            if ((p.out & 1 << i) != 0) {
                if (settings.limits().cancel()) {
                    host.cancel(p.request.id(), i);
                }
                weigh(now, p.on[i], p.request.id(), i, Outcome.TIMEOUT, now - p.sentAt[i],
                        p.expectsHit && i == 0);
            }
        }
    }

    private void learnOfKey(double now, Pending p, Server s, Outcome outcome, Lookup lookup) {
        if (outcome == Outcome.OK && !p.request.write()) {
            keys.held(now, p.request.key(), s == origin ? p.on[0] : s);
        }
        boolean unknown = settings.fetching() == Fetching.THROUGH && !p.expectsHit;
        boolean ended = outcome == Outcome.OK || outcome == Outcome.TIMEOUT || outcome == Outcome.ERROR
                || outcome == Outcome.FULL;
        // Who has just started knows no key, though most are held: not all are to be shed as misses.
        if (unknown && ended && tellsLookups && !p.request.write()) {
            missShare += LATENCY_GAIN * ((lookup == Lookup.HIT ? 0 : 1) - missShare);
        }
        if (ended && (s == origin || unknown && lookup != Lookup.HIT)) {
            boolean inTime = outcome == Outcome.OK && now <= p.aimAt;
            fetches.record(inTime, s == origin ? 1 : originsPart(now, s, inTime));
        }
    }

    /** Guards against few bad servers shutting the gate: what fails at one alone is not the origin's. */
    private double originsPart(double now, Server s, boolean inTime) {
        fetchEnds.add(now, 1);
        fetchFaults.add(now, inTime ? 0 : 1);
        s.fetchEnds.add(now, 1);
        s.fetchFaults.add(now, inTime ? 0 : 1);
        double elsewhere = rate(fetchFaults.at(now) - s.fetchFaults.at(now),
                fetchEnds.at(now) - s.fetchEnds.at(now));
        double here = (s.fetchFaults.at(now) + elsewhere) / (s.fetchEnds.at(now) + 1);
        return Math.max(0, 1 - failureRate(now, 1) / failureRate(now, 0)) * Math.min(1, elsewhere / here);
    }

    /** Guards against servers whose connections are all held idle: while some fail, those are given back. */
    private void shareConnections(double now, Server s, Outcome outcome) {
        ends.add(now, 1);
        if (outcome == Outcome.CONNECT_FAILED) {
            s.unreachedAt = now;
            return;
        }
        // One that answers its first trial had no connection left; one that is gone tells nothing of others.
        connectFailures.add(now, now - s.unreachedAt < DEAD_TIME * (1 + JITTER) * shortestDeadline ? 1 : 0);
        s.unreachedAt = Double.NEGATIVE_INFINITY;
        if (s.bulkhead.inFlight == 0 && connectFailures.at(now) > SCARCE_CONNECTIONS * ends.at(now)) {
            host.closeIdle(s.id);
        }
    }

    private void account(double now, Server s, long request, int attempt, Outcome outcome, double elapsed,
            boolean expectsHit, boolean waitedForOrigin) {
        s.bulkhead.add(now, -1);
        Latency latency = s == origin ? originLatency : cacheLatency;
        if (s != origin) {
            sentOut.add(now, -1);
        }
        if (outcome == Outcome.OK) {
            latency.add(elapsed);
            if (s != origin && !waitedForOrigin && s.warmUp.share(now, settings.protection()) >= 1) {
                learnSpeed(now, s, elapsed);
            }
        }
        // 'Full' says that the wait would have been past any patience; a single one among answers does not.
        double wait = outcome == Outcome.FULL ? shortestDeadline : elapsed;
        boolean tellsWait = outcome == Outcome.OK || outcome == Outcome.TIMEOUT
                || outcome == Outcome.FULL && s.saidFull;
        s.saidFull = outcome == Outcome.FULL;
        if (s != origin && !waitedForOrigin && tellsWait) {
            s.lag = (now - s.lagAt > HINT_FADES * shortestDeadline ? latency.mean : s.lag) * (1 - lagGain)
                    + lagGain * wait;
            double before = Double.isNaN(commonLag) ? latency.typical : commonLag;
            commonLag = before + COMMON_GAIN * (Math.log(Math.max(1e-6, wait)) - before);
            s.lagAt = now;
        }
        weigh(now, s, request, attempt, outcome, elapsed, expectsHit);
        forgetIfIdle(s);
    }

    private void weigh(double now, Server s, long request, int attempt, Outcome outcome, double elapsed,
            boolean expectsHit) {
        Latency latency = s == origin ? originLatency : cacheLatency;
        // A miss waits for the origin: what misses suffer is compared with what misses suffer elsewhere.
        int kind = expectsHit ? 1 : 0;
        double commonRate = s == origin ? COMMON_RATE_CAP : Math.min(COMMON_RATE_CAP, failureRate(now, kind));
        double evidence = 0;
        switch (outcome) {
            case OK, MISS -> evidence = elapsed > latency.late()
                    ? MILD_FAILURE * Math.log(BROKEN_RATE / commonRate)
                    : Math.log((1 - BROKEN_RATE) / (1 - commonRate));
            // A connection that fails is no matter of the load that all servers share.
            case CONNECT_FAILED -> evidence = Math.log(UNREACHABLE_RATE / USUAL_RATE);
            // A time-out says less the less time the server was given.
            case TIMEOUT -> evidence = Math.log(BROKEN_RATE / commonRate)
                    * Math.min(1, elapsed / Math.max(1e-9, latency.late()));
            // A connection may end for reasons of its own; of a process that died the next connect tells.
            case RESET, ERROR, FULL -> evidence = MILD_FAILURE * Math.log(BROKEN_RATE / commonRate);
            default -> {
                // Own cancels and sends that never left say nothing.
            }
        }
        if (evidence != 0 && s != origin) {
            calls[kind].add(now, 1);
            failures[kind].add(now, evidence > 0 ? 1 : 0);
        }
        double openAt = OPEN_AT + Math.log1p(s.sends.rate(now, startedAt) * CHANCE_SPAN * shortestDeadline);
        if (s.breaker.record(now, request, attempt, evidence, openAt, EVIDENCE_FADES * shortestDeadline)) {
            double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
            s.breaker.open(now, DEAD_TIME * shortestDeadline, jitter);
        }
    }

    private double failureRate(double now, int kind) {
        return rate(failures[kind].at(now), calls[kind].at(now));
    }

    private static double rate(double failures, double calls) {
        return (failures + BELIEF_CALLS * USUAL_RATE) / (calls + BELIEF_CALLS);
    }

    private void proceed(double now, Pending p, Outcome outcome) {
        if (outcome == Outcome.MISS) {
            sendToOrigin(now, p);
            return;
        }
        boolean worthless = now >= p.aimAt && p.rules.lateWorth() == 0;
        boolean tooLate = p.deadlineAt - now < cacheLatency.mean / 2;
        boolean atOrigin = settings.fetching() == Fetching.ASIDE && (p.request.write() || p.missed);
        if (worthless || tooLate || atOrigin || retryTokens < 1) {
            end(now, p);
            return;
        }
        retryTokens -= 1;
        sendOnRing(now, p);
    }

    // ---- the rules of repeats -----------------------------------------------------------------------------
    /** The one place that decides whether a further send of this request to this server is allowed. */
    private boolean maySend(double now, Pending p, Server s) {
        if (!s.ready || p.attempts >= maxAttempts || now >= p.deadlineAt
                || p.out != 0 && !settings.limits().concurrentAttempts()) {
            return false;
        }
        if (p.mayHaveRun == 0) {
            return true;
        }
        return switch (p.rules.repeat()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED -> sameGroup(p, s)
                    && now + settings.tick() < p.firstThatMayHaveRun() + p.rules.dedupWindow();
        };
    }

    private static boolean sameGroup(Pending p, Server s) {
        Server first = p.on[Integer.numberOfTrailingZeros(p.mayHaveRun)];
        Scope scope = p.rules.dedupScope();
        return scope == Scope.ALL || (scope == Scope.ZONE ? s.zone == first.zone : s.cell == first.cell);
    }

    /** The one place that decides whether the client may be told that asking again does no harm. */
    private static boolean mayRefuse(Pending p) {
        return p.mayHaveRun == 0 || p.rules.repeat() == Repeat.SAFE
                || p.rules.repeat() == Repeat.KEYED && p.rules.dedupScope() == Scope.ALL;
    }

    /** The balancer's own final answer. An attempt still out is left to run: its outcome is ignored. */
    private void end(double now, Pending p) {
        long id = p.request.id();
        if (mayRefuse(p)) {
            double after = p.rules.aim() * (RETRY_AFTER_MIN + RETRY_AFTER_SPREAD * random.nextDouble());
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
        if (token == WATCH_TOKEN) {
            host.watchMembers();
            return;
        }
        if (token == TELL_TOKEN) {
            tell(now);
            return;
        }
        Pending p = open.get(token);
        if (p == null || p.attempts != 1 || p.out == 0 || p.started || retryTokens < 1
                || fetches.admitted < COPY_WHILE_ADMITTED) {
            return;
        }
        Server s = pick(now, p);
        if (s != null) {
            retryTokens -= 1;
            send(now, p, s);
        }
    }

    /** Tells what no other can see: with many balancers, each alone sees too little of any server. */
    private void tell(double now) {
        List<Api.News> news = new ArrayList<>();
        for (Server s : slots) {
            if (s != null && s.ready && (s.bulkhead.inFlight > 0 || s.breaker.isOpen)) {
                news.add(new Api.News(s.id, s.bulkhead.inFlight, s.breaker.isOpen));
            }
        }
        news.sort((a, b) -> a.open() != b.open() ? a.open() ? -1 : 1 : b.inFlight() - a.inFlight());
        host.tellPeers(news);
        host.setTimer(TELLS_EVERY * shortestDeadline * (0.5 + random.nextDouble()), TELL_TOKEN);
    }

    @Override
    public void onPeers(double now, List<Api.Elsewhere> told) {
        elsewhere = 0;
        servers.values().forEach(s -> s.elsewhere = s.openElsewhere = 0);
        for (Api.Elsewhere e : told) {
            Server s = servers.get(e.server());
            if (s != null && s.ready) {
                s.elsewhere = e.inFlight();
                s.openElsewhere = e.open();
                elsewhere += e.inFlight();
            }
        }
    }

    /** A server as this balancer knows it. */
    private final class Server {
        private final long id;
        private final int slot;
        private final CircuitBreaker breaker = new CircuitBreaker();
        private final Bulkhead bulkhead = new Bulkhead(CONCURRENCY_FADES * shortestDeadline);
        private final WarmUp warmUp = new WarmUp();
        private final FadingCount sends = new FadingCount(EVIDENCE_FADES * shortestDeadline);
        private final FadingCount fetchEnds = new FadingCount(FETCH_FADES * shortestDeadline);
        private final FadingCount fetchFaults = new FadingCount(FETCH_FADES * shortestDeadline);
        /** When it last could not be reached and had not answered since. */
        private double unreachedAt = Double.NEGATIVE_INFINITY;
        private int zone;
        private int cell;
        private int kind;
        private int elsewhere;
        private int openElsewhere;
        private double size;
        private double weight;
        private boolean ready;
        private boolean listed;
        private final Crowd crowd = new Crowd();
        /** Running mean of its own answer times to this balancer. */
        private double lag;
        private double lagAt = Double.NEGATIVE_INFINITY;
        /** Its last outcome was 'full'. */
        private boolean saidFull;

        Server(long id, int slot) {
            this.id = id;
            this.slot = slot;
        }
    }

    /** A request that still needs its final answer. */
    private static final class Pending {
        private final Server[] on;
        private final double[] sentAt;
        private final Api.Request request;
        private final RequestClass rules;
        private final long point;
        private final double deadlineAt;
        private final double aimAt;
        private int attempts;
        /** One bit for each attempt that is out. */
        private int out;
        private boolean started;
        /** One bit for each attempt without proof that it never ran. */
        private int mayHaveRun;
        private boolean missed;
        private boolean expectsHit;
        private boolean overShare;
        /** Fading count of requests for its key at this balancer. */
        private double heat;

        Pending(Api.Request r, RequestClass c, double now, long ringPoint, int most) {
            request = r;
            rules = c;
            point = ringPoint;
            deadlineAt = now + r.budget();
            aimAt = now + c.aim();
            on = new Server[most];
            sentAt = new double[most];
        }

        void onSend(double now, Server s) {
            on[attempts] = s;
            sentAt[attempts] = now;
            mayHaveRun |= 1 << attempts;
            out |= 1 << attempts;
            attempts++;
        }

        void onOutcome(int attempt, Outcome outcome) {
            out &= ~(1 << attempt);
            missed |= outcome == Outcome.MISS;
            if (outcome.neverRan()) {
                mayHaveRun &= ~(1 << attempt);
            }
        }

        double firstThatMayHaveRun() {
            return sentAt[Integer.numberOfTrailingZeros(mayHaveRun)];
        }

        boolean tried(Server s) {
            return Arrays.asList(on).contains(s);
        }
    }

    /** Evidence is the log odds that a server is broken rather than like the rest; it fades, and opens. */
    static final class CircuitBreaker {
        private double evidence;
        private double evidenceAt;
        private boolean isOpen;
        private double openUntil;
        private double closedAt = Double.NEGATIVE_INFINITY;
        private int openings;
        private boolean trialOut;
        private long trialRequest;
        private int trialAttempt;

        void reset() {
            evidence = 0;
            isOpen = false;
            trialOut = false;
            openings = 0;
        }

        /** Closed, or dead time over and no trial out. */
        boolean allows(double now) {
            return !isOpen || now >= openUntil && !trialOut;
        }

        void onSend(double now, long request, int attempt) {
            if (isOpen) {
                trialOut = true;
                trialRequest = request;
                trialAttempt = attempt;
            }
        }

        /** Returns whether the circuit has to open, anew or again. */
        boolean record(double now, long request, int attempt, double weight, double openAt, double fades) {
            if (isOpen) {
                if (!trialOut || request != trialRequest || attempt != trialAttempt) {
                    return false;
                }
                trialOut = false;
                if (weight < 0) {
                    isOpen = false;
                    evidence = 0;
                    closedAt = now;
                }
                return weight > 0;
            }
            evidence = Math.max(0, evidence * Math.exp((evidenceAt - now) / fades) + weight);
            evidenceAt = now;
            return evidence >= openAt;
        }

        void open(double now, double deadTime, double jitter) {
            // The dead time grows while openings follow on each other: trials of a long trouble thin out.
            if (!isOpen && now - closedAt > deadTime * (1 << DEAD_TIME_DOUBLINGS)) {
                openings = 0;
            }
            openUntil = now + deadTime * (1 << Math.min(openings, DEAD_TIME_DOUBLINGS)) * jitter;
            openings++;
            isOpen = true;
        }
    }

    /** Tickets of one server: sends in flight, against a cap from the balancer's own usual concurrency. */
    static final class Bulkhead {
        private final double fades;
        private int inFlight;
        private double usual;
        private double at = Double.NaN;

        Bulkhead(double fades) {
            this.fades = fades;
        }

        static int cap(double usual) {
            return Math.max(TICKET_FLOOR, (int) Math.ceil(usual + TICKET_DEVIATIONS * Math.sqrt(usual)));
        }

        boolean allows(int cap) {
            return inFlight < cap;
        }

        void add(double now, int change) {
            if (!Double.isNaN(at)) {
                usual += (inFlight - usual) * -Math.expm1((at - now) / fades);
            }
            at = now;
            inFlight += change;
        }
    }

    /** Warm-up of a just-started server, and the budget of sends that keeps bursts off it. */
    static final class WarmUp {
        private double startedAt;
        private double tokens;
        private double tokensAt;

        /** A random first token: by chance, all balancers together then send what their budgets add up to. */
        void restart(double started, double now, double chance) {
            startedAt = started;
            tokens = chance;
            tokensAt = now;
        }

        double share(double now, Api.Protection p) {
            if (startedAt == 0 || p.warmUp() <= 0 || now - startedAt >= p.warmUp()) {
                return 1;
            }
            double age = Math.max(0, now - startedAt);
            return Math.min(1, p.coldShare() + (1 - p.coldShare()) * age / p.warmUp());
        }

        boolean affords(double now, double rate, double most) {
            tokens = Math.min(most, tokens + (now - tokensAt) * rate);
            tokensAt = now;
            return tokens >= 1;
        }

        void spend() {
            tokens -= 1;
        }
    }

    /** Fading counts of keys, and who served each last. A key takes a place whose count has faded. */
    private static final class KeyTable {
        private final long[] keys = new long[KEY_PLACES];
        private final double[] counts = new double[KEY_PLACES];
        private final double[] at = new double[KEY_PLACES];
        private final Server[] holders = new Server[KEY_PLACES];
        private final double[] heldAt = new double[KEY_PLACES];

        private static int place(long key) {
            return (int) HashRing.mix(key) & KEY_PLACES - 1;
        }

        double count(double now, long key, double fades) {
            int i = place(key);
            double left = counts[i] == 0 ? 0 : counts[i] * Math.exp((at[i] - now) / fades);
            at[i] = now;
            if (keys[i] == key) {
                counts[i] = left + 1;
                return counts[i];
            }
            counts[i] = left - 1;
            if (left < 1) {
                keys[i] = key;
                counts[i] = 1;
                holders[i] = null;
            }
            return 1;
        }

        void held(double now, long key, Server s) {
            int i = place(key);
            if (keys[i] == key) {
                holders[i] = s;
                heldAt[i] = now;
            }
        }

        boolean holds(double now, long key, Server s, double memory) {
            int i = place(key);
            return keys[i] == key && holders[i] == s && now - heldAt[i] < memory;
        }
    }

    /** Part of its keys that a crowded server keeps: back slowly, or all leave and return together. */
    static final class Crowd {
        private double kept = 1;
        private double at = Double.NEGATIVE_INFINITY;

        double admitted(double now, double deadline) {
            if (kept >= 1) {
                return 1;
            }
            double cut = (1 - kept) * (1 - kept);
            double rested = (now - at) / deadline - CROWD_RESTS * cut * cut;
            return Math.min(1, kept + Math.max(0, rested) / CROWD_RETURNS);
        }

        /** {@code wait} in parts of the aim. What was cut last must have had time to show. */
        void judge(double now, double wait, double deadline) {
            if (wait > CROWD_FROM && now - at >= deadline) {
                kept = Math.max(CROWD_LEAST, admitted(now, deadline) * CROWD_FROM / wait);
                at = now;
            }
        }
    }

    /** Part of the fetches that go to the origin: falls with each that fails or is late, and recovers. */
    private static final class FetchGate {
        private double admitted = 1;
        private double at;

        /** Opens with time, too: nearly shut, it sees too few fetches to learn that the trouble is over. */
        void pass(double now, double opensIn) {
            admitted = Math.min(1, admitted + (now - at) / opensIn);
            at = now;
        }

        /** {@code fault} tells how far a failure is the origin's rather than the server's. */
        void record(boolean inTime, double fault) {
            admitted = inTime ? Math.min(1, admitted + FETCH_RECOVERS)
                    : Math.max(FETCH_LEAST, admitted * (1 - FETCH_YIELDS * fault));
        }
    }

    /** Running mean and mean deviation of answer times. */
    private static final class Latency {
        private double mean;
        private double deviation;
        /** Mean of the logarithms: a few answers that waited for the origin hardly move it. */
        private double typical;
        /** The typical time when it was least: about that of an answer that waits for nothing. */
        private double least;
        private int seen;

        void add(double elapsed) {
            double gain = Math.max(LATENCY_GAIN, 1.0 / ++seen);
            deviation += gain * (Math.abs(elapsed - mean) - deviation);
            mean += gain * (elapsed - mean);
            // Known after few answers: a fleet that jams at once leaves no time for more.
            typical += gain * (Math.log(Math.max(1e-6, elapsed)) - typical);
            least = seen <= ANSWERS_TO_TRUST ? Math.exp(typical) : Math.min(Math.exp(typical), least);
        }

        double late() {
            return mean + LATE_DEVIATIONS * deviation;
        }
    }

    private static final class FadingCount {
        private final double fades;
        private double count;
        private double at;

        FadingCount(double fades) {
            this.fades = fades;
        }

        void add(double now, double n) {
            count = at(now) + n;
            at = now;
        }

        double at(double now) {
            return count == 0 ? 0 : count * Math.exp((at - now) / fades);
        }

        /** Events a second, also while the count has run for less than its memory. */
        double rate(double now, double since) {
            double covered = -fades * Math.expm1((since - now) / fades);
            return covered > 0 ? at(now) / covered : 0;
        }
    }
}
