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
 * All decisions of one router; its interface is {@code Api.java}. A key is sent to its owner on a hash ring.
 * A {@link CircuitBreaker} and a {@link Bulkhead} protect each server, and the origin if the router fetches
 * misses itself. A request that either rejects goes to the next server on the ring, or is refused.
 */
public final class RoutingPolicy implements Events {
    // ---- constants: dimensionless, or as fractions of settings; times in units of the shortest deadline ---
    /** Ring servers tried per send; least relative weight change applied, so that noise moves no keys. */
    private static final int MAX_CANDIDATES = 16;

    private static final double MIN_WEIGHT_CHANGE = 0.25;
    /** Log odds that open a circuit; raised with the sends in a window: busy servers fail more by chance. */
    private static final double OPEN_LOG_ODDS = 4;

    private static final double SENDS_WINDOW = 5;
    /** Fraction of the target within which no answer counts as late, however fast the others are. */
    private static final double MIN_LATE = 0.01;
    /** Duration of a circuit's first opening, and its relative jitter to either side. */
    private static final double OPEN_TIME = 2;

    private static final double JITTER = 0.3;
    /** Decay times. Concurrency decays more slowly than overload builds up; popularity needs averaging. */
    private static final double CONCURRENCY_DECAY = 10;

    private static final double EVIDENCE_DECAY = 12;
    private static final double FETCH_DECAY = 4;
    private static final double POPULARITY_DECAY = 40;
    private static final double HINT_DECAY = 8;
    private static final double GATE_RECOVERY = 12;
    /** A key is hot from this fraction of a server's fair share of all requests. */
    private static final double HOT_SHARE = 0.3;
    /** Deviations subtracted from a key's count, so that random repeats do not make it hot. */
    private static final double HOT_DEVIATIONS = 2;

    private static final int MAX_COPIES = 40;
    /** Wait above which keys are shed if answers may include an origin fetch; and ramp to full shedding. */
    private static final double MAX_WAIT_THROUGH = 0.33;

    private static final double OVERLOAD_RAMP = 0.35;
    /** While at most this fraction of requests meets overload, it is local: keys go to the next server. */
    private static final double LOCAL_OVERLOAD = 0.06;

    private static final double LOCAL_OVERLOAD_THROUGH = 0.5;
    /** Weights of a new answer. Own answers are few and vary; ten of the whole fleet show an overload. */
    private static final double ANSWER_TIME_GAIN = 0.4;

    private static final double ANSWER_TIME_GAIN_THROUGH = 0.2;
    private static final double FLEET_TIME_GAIN = 0.1;
    /** Requests beyond their tenant's share are shed this many times sooner than others. */
    private static final double OVER_SHARE_FACTOR = 4;
    /** Cold servers: budget relative to overload limit, key share relative to capacity; spans averaged. */
    private static final double COLD_BUDGET = 0.6;

    private static final double COLD_SHARE = 1.4;
    private static final double WARM_RATE_SPANS = 4;
    /** Retry tokens earned per request, and the most that can be accumulated. */
    private static final double RETRY_RATIO = 0.1;

    private static final double MAX_RETRY_TOKENS = 10;
    /** Hedged requests are sent up to this fraction of the target. */
    private static final double HEDGE_BEFORE = 0.7;
    /** A timer later than this fraction of the target shows that the router itself was delayed. */
    private static final double TIMER_LATE = 0.1;
    /** Retry-after as fractions of the target: long enough to spread retries, short enough to be useful. */
    private static final double RETRY_AFTER_MIN = 0.05;

    private static final double RETRY_AFTER_SPREAD = 0.2;
    /** Fraction of attempts without a connection from which connections are scarce. */
    private static final double SCARCE_SHARE = 0.02;
    /** Timer tokens of member list and peer reports; all others are request ids, which are not negative. */
    private static final long WATCH_TOKEN = -1;

    private static final long REPORT_TOKEN = -2;
    /** Period of peer reports, and least number of routers: fewer see enough, and would only move keys. */
    private static final double REPORT_PERIOD = Api.REPORT_PERIOD_IN_DEADLINES;

    private static final int MIN_REPORTING_ROUTERS = 7;
    /** Open circuits at so many peers make a server suspect; a single peer, which may be wrong, does not. */
    private static final int SUSPECT_OPEN_CIRCUITS = 3;

    private final Settings settings;
    private final Host host;
    private final SplittableRandom random;
    private final double deadline;
    /** Decay time of failure evidence in seconds; the deadline above is the shortest of all classes. */
    private final double decayTime;

    private final HashRing ring = new HashRing();
    /** Ring that has taken over part of the keys; null for none. */
    private PromotedRing promoted;

    private final Map<Long, Server> servers = new HashMap<>();
    private final List<Server> slots = new ArrayList<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Latency cacheLatency = new Latency();
    private final Latency originLatency = new Latency();
    private final FetchGate fetchGate = new FetchGate();
    private double missShare = 1;
    /** Failures at cache servers, apart from keys expected to hit, because misses wait for the origin. */
    private final FailureRate missFailures = new FailureRate();

    private final FailureRate hitFailures = new FailureRate();
    private final KeyTable keys = new KeyTable();
    private final FailureRate fetchOutcomes = new FailureRate();
    private final FailureRate connects = new FailureRate();
    private final FadingCount requests = new FadingCount();
    private final FadingCount warmSends = new FadingCount();
    private final double warmDecay;
    private final TenantShares tenants;
    private Server origin;
    private double referenceWeight;
    private double totalWeight;
    private double warmWeight;
    private double warmWeightAt = Double.NEGATIVE_INFINITY;
    private final double[] nominalWeight = new double[256];
    private final KindSpeeds speeds = new KindSpeeds();
    private final Bulkhead fleet = new Bulkhead();
    private double retryTokens = MAX_RETRY_TOKENS / 2;
    private double startedAt = Double.NaN;
    private boolean lookupsReported;
    private double peerInFlight;
    /** Whether cache servers fetch misses; otherwise the router asks the origin. */
    private final boolean through;

    private final boolean ownAnswersOnly;
    private double overloadedShare;
    private double meanTarget;
    private double fleetLogTime = Double.NaN;
    private double meanWork;
    private int workHints;

    /** @throws IllegalArgumentException if the settings have no request class, or no origin to fetch from */
    public RoutingPolicy(Settings settings, long seed, Host host) {
        if (settings.classes().isEmpty()) {
            throw new IllegalArgumentException("settings define no request class");
        }
        through = settings.fetching() == Fetching.THROUGH;
        if (!through && settings.originKind() < 0) {
            throw new IllegalArgumentException("fetching is ASIDE, but originKind names no member kind");
        }
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        deadline = settings.classes().stream()
                .mapToDouble(RequestClass::deadline)
                .min()
                .getAsDouble();
        warmDecay = WARM_RATE_SPANS * Math.max(settings.protection().overloadSpan(), deadline);
        decayTime = EVIDENCE_DECAY * deadline;
        meanTarget = settings.classes().get(0).target();
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
            if (settings.limits().peers() && settings.balancers() >= MIN_REPORTING_ROUTERS) {
                host.setTimer(REPORT_PERIOD * deadline * random.nextDouble(), REPORT_TOKEN);
            }
        }
        if (referenceWeight == 0) {
            // A power of two near the mean weight, on which routers that start from different lists agree.
            double sum = members.stream().mapToDouble(Member::weight).reduce(0, Double::sum);
            double mean = sum / members.size();
            referenceWeight = sum > 0 ? Math.pow(2, Math.rint(Math.log(mean) / Math.log(2))) : 0;
        }
        servers.values().forEach(s -> s.listed = false);
        members.forEach(m -> updateMember(now, m));
        if (complete) {
            slots.stream().filter(s -> s != null && !s.listed).forEach(this::retire);
        }
    }

    /** Retries after a jittered delay, since all routers may have lost the same service at once. */
    @Override
    public void onMembersFailed(double now) {
        if (settings.listOnRequest()) {
            host.setTimer(deadline * (1 + random.nextDouble()), WATCH_TOKEN);
        }
    }

    private void updateMember(double now, Member m) {
        if (m.state() != MemberState.READY) {
            // Draining or gone: no new sends from now on, well within the configured grace period.
            if (servers.containsKey(m.id())) {
                retire(servers.get(m.id()));
            }
            return;
        }
        Server s = servers.computeIfAbsent(m.id(), this::addServer);
        s.listed = true;
        s.zone = m.zone();
        s.cell = m.cell();
        if (m.startedAt() != s.warmUp.startedAt) {
            // A new process: failures of the previous one are no evidence against it.
            s.breaker = new CircuitBreaker();
            s.warmUp = new WarmUp(settings.protection(), m.startedAt(), now, random.nextDouble());
        }
        if (!through && m.kind() == settings.originKind()) {
            origin = s;
            s.ready = true;
            updatePeerTotals(s);
            return;
        }
        // A live weight reflects how busy a server was, not its size, and must not move keys.
        s.kind = m.kind() & 0xff;
        boolean reported = settings.weights() == WeightMeaning.SIZE && m.weight() > 0;
        s.size = reported ? m.weight() / referenceWeight : 1;
        if (settings.weights() == WeightMeaning.LIVE && m.weight() > 0) {
            nominalWeight[s.kind] = Math.max(nominalWeight[s.kind], m.weight());
            // One request per core is being worked on; those beyond are queued.
            double waiting = nominalWeight[s.kind] / m.weight() - 2;
            s.shedder.observe(now, waiting * unloadedTime() / meanTarget, deadline);
        }
        placeOnRing(s, MIN_WEIGHT_CHANGE);
    }

    /** Places a server on the ring, unless its weight there differs by less than a fraction. */
    private void placeOnRing(Server s, double minChange) {
        double weight = s.size * speeds.of(s.kind);
        if (Math.abs(weight - s.weight) > minChange * s.weight) {
            removeFromRing(s);
            s.ready = true;
            updatePeerTotals(s);
            s.weight = weight;
            totalWeight += weight;
            ring.add(s.slot, s.id, HashRing.virtualNodes(weight));
        }
    }

    @Override
    public void onPromoted(double now, PromotedRing promotedRing) {
        promoted = promotedRing;
    }

    @Override
    public boolean avoidsOptionalLoad(double now, long server) {
        Server s = servers.get(server);
        boolean healthy = s != null && s.weight > 0 && !s.breaker.isOpen && s.openAtPeers == 0 && !s.wasFull;
        return !healthy || s.shedder.admitted(now, deadline) < 1 || s.bulkhead.isFull(portion(fleet.mean, s));
    }

    private Server addServer(long id) {
        if (!slots.contains(null)) {
            slots.add(null);
        }
        int slot = slots.indexOf(null);
        slots.set(slot, new Server(id, slot, settings.protection()));
        return slots.get(slot);
    }

    private void retire(Server s) {
        removeFromRing(s);
        s.ready = false;
        updatePeerTotals(s);
        origin = s == origin ? null : origin;
        removeIfIdle(s);
    }

    private void removeFromRing(Server s) {
        if (s.weight > 0) {
            totalWeight -= s.weight;
            s.weight = 0;
            ring.remove(s.slot);
        }
    }

    private void removeIfIdle(Server s) {
        if (!s.ready && s.bulkhead.inFlight == 0) {
            servers.remove(s.id);
            slots.set(s.slot, null);
        }
    }

    @Override
    public void onRequest(double now, Request request) {
        RequestClass rules = settings.classes().get(request.classIndex());
        // Requests without a key have no owner: a random hash spreads them evenly.
        long hash = request.key() == 0 ? random.nextLong() : HashRing.mix(request.key());
        Pending p = new Pending(request, rules, now, hash, settings.limits().maxAttempts());
        requests.add(now, 1, POPULARITY_DECAY * deadline);
        if (request.costHint() > 0) {
            meanWork += (request.costHint() - meanWork) / Math.min(++workHints, 1 / Latency.GAIN);
        }
        meanTarget += Latency.GAIN * (rules.target() - meanTarget);
        p.overShare = tenants.exceeds(now, request.tenant(), decayTime, random);
        fetchGate.recover(now, GATE_RECOVERY * deadline);
        p.keyCount = request.key() == 0 ? 0 : keys.count(now, request.key(), POPULARITY_DECAY * deadline);
        pending.put(request.id(), p);
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_RATIO);
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
        p.expectsHit = s != null && keys.wasServedBy(now, p.request.key(), s, decayTime);
        send(now, p, s == null || through && !p.expectsHit && !mayFetch(p) ? null : s);
    }

    private void sendToOrigin(double now, Pending p) {
        boolean accepts = origin != null && mayFetch(p) && maySend(now, p, origin, origin.bulkhead.mean);
        send(now, p, accepts ? origin : null);
    }

    /** Randomly sheds reads that are likely fetches, so that a slow origin is not overloaded further. */
    private boolean mayFetch(Pending p) {
        double admitted = p.overShare ? Math.pow(fetchGate.admitted, OVER_SHARE_FACTOR) : fetchGate.admitted;
        return p.request.write() || admitted >= 1 || random.nextDouble() < 1 - (1 - admitted) * missShare;
    }

    private Server pick(double now, Pending p) {
        // Spreads a key that exceeds the capacity of one server: a random number of ring servers is skipped.
        double fairCount = HOT_SHARE * requests.value(now, POPULARITY_DECAY * deadline) / servers.size();
        // With few requests, two or three for one key do not make it hot, and each copy costs a fetch.
        double certainCount = p.keyCount - HOT_DEVIATIONS * Math.sqrt(p.keyCount);
        int copies = fetchGate.isOpen() ? (int) Math.min(MAX_COPIES, Math.ceil(certainCount / fairCount)) : 1;
        int skip = copies > 1 && servers.size() > 1 ? random.nextInt(copies) : 0;
        Server s = skip > 0 ? pick(now, p, skip) : null;
        return s != null ? s : pick(now, p, 0);
    }

    private Server pick(double now, Pending p, int skip) {
        int candidates = -skip;
        int overloaded = 0;
        int busyCount = 0;
        double leastLoad = Double.POSITIVE_INFINITY;
        Server busy = null;
        Server cold = null;
        boolean usePromoted = promoted != null && promoted.holds(p.request.key());
        HashRing.Walk walk = (usePromoted ? promoted.ring() : ring).from(p.hash);
        for (int slot = walk.next(); slot >= 0 && candidates < MAX_CANDIDATES; slot = walk.next()) {
            Server s = usePromoted ? servers.get(promoted.serverAt(slot)) : slots.get(slot);
            if (s == null || s.weight <= 0 || ++candidates <= 0 || p.hasTried(s)) {
                continue;
            }
            if (sheds(now, p, s)) {
                overloadedShare += overloaded++ == 0 ? Latency.GAIN * (1 - overloadedShare) : 0;
                double localLimit = ownAnswersOnly ? LOCAL_OVERLOAD_THROUGH : LOCAL_OVERLOAD;
                if (overloadedShare > localLimit || !fetchGate.isOpen()) {
                    // A merely busy owner is used, rather than refusing because the next one is overloaded.
                    return busy;
                }
                continue;
            }
            boolean suspect = !s.breaker.isOpen && s.openAtPeers >= SUSPECT_OPEN_CIRCUITS;
            double share = s.warmUp.share(now);
            if (suspect || !maySend(now, p, s, portion(fleet.mean, s)) || !withinBudget(now, s, share)) {
                continue;
            }
            // A server busy by chance is skipped, but only few are tried: each further one is likely to miss.
            double busyAt = Bulkhead.busyThreshold(portion(fleet.mean + peerInFlight, s), host.peerWeight());
            if (share < 1 && HashRing.fraction(p.hash ^ s.id) >= share * COLD_SHARE) {
                cold = cold == null && p.inFlight == 0 && s.bulkhead.inFlight < busyAt ? s : cold;
                continue;
            }
            double load = (s.bulkhead.inFlight + s.peerInFlight) / busyAt;
            boolean isBusy = load >= 1;
            busy = !isBusy || busy == null || peerInFlight > 0 && load < leastLoad ? s : busy;
            leastLoad = Math.min(load, leastLoad);
            if (!isBusy || ++busyCount >= (fetchGate.isOpen() ? 2 : 1)) {
                break;
            }
        }
        // Requests that met no overload count, even at a busy server: else a few overloads look like many.
        overloadedShare -= Latency.GAIN * (busy != null && overloaded == 0 ? overloadedShare : 0);
        // Cold servers get what no warm one accepts, so that nothing is refused while they are idle.
        return busy == null ? cold : busy;
    }

    /** Sheds a fixed subset of a server's keys by hash, so that an overload does not outlast its cause. */
    private boolean sheds(double now, Pending p, Server s) {
        // With own answers only and none in flight, the last late one may result from this router's own load.
        boolean conclusive = !ownAnswersOnly || s.bulkhead.inFlight != 0 || p.overShare;
        // Old answer times yield to the fleet's, unless servers fetch misses: that wait may be the origin's.
        double fleetTime = through || Double.isNaN(fleetLogTime) ? unloadedTime() : Math.exp(fleetLogTime);
        double recency = Math.exp((s.lagAt - now) / (HINT_DECAY * deadline));
        double wait = (s.lag - fleetTime) * recency + fleetTime - unloadedTime();
        double factor = p.overShare ? OVER_SHARE_FACTOR : 1;
        double over = factor * wait / p.rules.target() - (through ? MAX_WAIT_THROUGH : LoadShedder.MAX_WAIT);
        double reported = Math.pow(s.shedder.admitted(now, deadline), factor);
        double admitted = Math.max(LoadShedder.MIN_ADMITTED, Math.min(1 - over / OVERLOAD_RAMP, reported));
        return conclusive && admitted < 1 && HashRing.fraction(p.hash + s.id) >= admitted;
    }

    /** Returns the time of an answer that does not queue; cost hints give it even if overloaded at start. */
    private double unloadedTime() {
        return meanWork > 0 ? Math.min(meanWork, cacheLatency.unloaded) : cacheLatency.unloaded;
    }

    /** Keeps sends to a cold server within its budget, so that it is not overloaded. */
    private boolean withinBudget(double now, Server s, double share) {
        if (now >= warmWeightAt + REPORT_PERIOD * deadline) {
            // Averaged over warm servers only: else a fleet that is half cold would seem to get less load.
            warmWeightAt = now;
            warmWeight = servers.values().stream()
                    .mapToDouble(x -> x.warmUp.share(now) < 1 ? 0 : x.weight)
                    .sum();
        }
        double perWeight = warmSends.rate(now, startedAt, warmDecay) / Math.max(warmWeight, s.weight);
        double tolerated = settings.protection().overloadFactor() * share * perWeight * s.weight;
        return share >= 1 || s.warmUp.hasBudget(now, tolerated, COLD_BUDGET, random.nextDouble());
    }

    private double portion(double all, Server s) {
        return totalWeight > 0 ? all * s.weight / totalWeight : 0;
    }

    private void send(double now, Pending p, Server s) {
        if (s == null) {
            end(p);
            return;
        }
        s.breaker.onSend(now, p.request.id(), p.attempts);
        if (s != origin) {
            fleet.add(now, 1, CONCURRENCY_DECAY * deadline);
            if (s.warmUp.share(now) >= 1) {
                warmSends.add(now, 1, warmDecay);
            } else {
                s.warmUp.spend();
            }
        }
        s.sends.add(now, 1, decayTime);
        s.bulkhead.add(now, 1, CONCURRENCY_DECAY * deadline);
        double startWithin = p.startWithin(now);
        p.onSend(now, s);
        host.send(p.request.id(), s.id, p.deadlineAt - now, startWithin);
        if (s == origin || p.attempts > 1) {
            return;
        }
        boolean mayHedge = p.rules.repeat() == Repeat.SAFE && !p.rules.streamed() && p.servers.length > 1;
        boolean latencyKnown =
                settings.limits().concurrentAttempts() && cacheLatency.samples >= FailureRate.PRIOR_WEIGHT;
        if (mayHedge && latencyKnown && cacheLatency.lateAfter() < HEDGE_BEFORE * p.rules.target()) {
            host.setTimer(cacheLatency.lateAfter(), p.request.id());
        }
        if (through && !p.expectsHit) {
            host.setTimer(p.targetAt - now, p.request.id());
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
        Pending p = pending.get(request);
        if (s != null) {
            boolean expectsHit = p != null && p.expectsHit;
            lookupsReported |= lookup != Lookup.UNKNOWN;
            // Where servers fetch misses, a slow origin delays their answers: misses show no server overload.
            boolean mayMiss = lookupsReported && outcome == Outcome.TIMEOUT && !expectsHit;
            recordOutcome(now, s, outcome, elapsed, through && (lookup == Lookup.MISS || mayMiss));
            addEvidence(now, s, request, attempt, outcome, elapsed, expectsHit ? hitFailures : missFailures);
            removeIfIdle(s);
            if (s.ready) {
                releaseScarceConnections(now, s, outcome);
            }
            if (p != null) {
                recordKeyOutcome(now, p, s, outcome, lookup);
            }
        }
        if (p != null) {
            p.onOutcome(attempt, outcome);
            if (finished) {
                cancelLosers(now, p);
                pending.remove(request);
            } else if (p.inFlight == 0 || outcome == Outcome.MISS) {
                retryOrEnd(now, p, outcome);
            }
        }
    }

    /** Cancels attempts that lost to a copy; being slower than a healthy server counts as a timeout. */
    private void cancelLosers(double now, Pending p) {
        for (int left = p.inFlight; left != 0; left &= left - 1) {
            int i = Integer.numberOfTrailingZeros(left);
            if (settings.limits().cancel()) {
                host.cancel(p.request.id(), i);
            }
            FailureRate rate = p.expectsHit && i == 0 ? hitFailures : missFailures;
            addEvidence(now, p.servers[i], p.request.id(), i, Outcome.TIMEOUT, now - p.sentAt[i], rate);
        }
    }

    private void recordKeyOutcome(double now, Pending p, Server s, Outcome outcome, Lookup lookup) {
        if (outcome == Outcome.OK && !p.request.write()) {
            keys.recordServed(now, p.request.key(), s == origin ? p.servers[0] : s);
        }
        boolean likelyMiss = through && !p.expectsHit;
        boolean ended = outcome == Outcome.OK
                || outcome == Outcome.TIMEOUT
                || outcome == Outcome.ERROR
                || outcome == Outcome.FULL;
        // Just after a start all keys are unknown here, though most are cached: not all count as misses.
        if (likelyMiss && ended && lookupsReported && !p.request.write()) {
            missShare += Latency.GAIN * ((lookup == Lookup.HIT ? 0 : 1) - missShare);
        }
        if (ended && !p.fetchLate && (s == origin || likelyMiss && lookup != Lookup.HIT)) {
            boolean inTime = outcome == Outcome.OK && now <= p.targetAt;
            fetchGate.record(inTime, s == origin ? 1 : originFaultShare(now, s, inTime));
        }
    }

    /** Returns the origin's share of a failure. Failures at few servers only must not shut the fetch gate. */
    private double originFaultShare(double now, Server s, boolean inTime) {
        double decay = FETCH_DECAY * deadline;
        fetchOutcomes.add(now, !inTime, decay);
        s.fetches.add(now, !inTime, decay);
        double atOthers = fetchOutcomes.excluding(s.fetches, now, decay);
        double rateAtServer =
                (s.fetches.failures.value(now, decay) + atOthers) / (s.fetches.total.value(now, decay) + 1);
        return Math.max(0, 1 - hitFailures.estimate(now, decayTime) / missFailures.estimate(now, decayTime))
                * Math.min(1, atOthers / rateAtServer);
    }

    /** Closes idle connections while connects fail, as servers may have all their connections taken. */
    private void releaseScarceConnections(double now, Server s, Outcome outcome) {
        connects.total.add(now, 1, decayTime);
        if (outcome == Outcome.CONNECT_FAILED) {
            s.failedAt = now;
            return;
        }
        // An answer soon after a failed connect means that connections ran out; a down server proves nothing.
        connects.failures.add(now, now - s.failedAt < OPEN_TIME * (1 + JITTER) * deadline ? 1 : 0, decayTime);
        s.failedAt = Double.NEGATIVE_INFINITY;
        boolean isScarce =
                connects.failures.value(now, decayTime) > SCARCE_SHARE * connects.total.value(now, decayTime);
        if (s.bulkhead.inFlight == 0 && isScarce) {
            host.closeIdle(s.id);
        }
    }

    private void recordOutcome(double now, Server s, Outcome outcome, double elapsed, boolean fetched) {
        s.bulkhead.add(now, -1, CONCURRENCY_DECAY * deadline);
        Latency latency = s == origin ? originLatency : cacheLatency;
        if (s != origin) {
            fleet.add(now, -1, CONCURRENCY_DECAY * deadline);
        }
        if (outcome == Outcome.OK) {
            latency.add(elapsed);
            if (s != origin && !fetched && s.warmUp.share(now) >= 1 && speeds.record(s.kind, elapsed)) {
                slots.stream()
                        .filter(x -> x != null && x.weight > 0 && x.kind == s.kind)
                        .forEach(x -> placeOnRing(x, 0));
            }
        }
        // Two 'full' answers in a row mean a wait beyond the deadline; a single one among others does not.
        boolean full = outcome == Outcome.FULL;
        double wait = full ? deadline : elapsed;
        boolean waitKnown = full && s.wasFull || outcome == Outcome.OK || outcome == Outcome.TIMEOUT;
        s.wasFull = full;
        if (s != origin && !fetched && waitKnown) {
            double gain = ownAnswersOnly ? ANSWER_TIME_GAIN_THROUGH : ANSWER_TIME_GAIN;
            s.lag = (now - s.lagAt > HINT_DECAY * deadline ? latency.mean : s.lag) * (1 - gain) + gain * wait;
            double previous = Double.isNaN(fleetLogTime) ? latency.meanLog : fleetLogTime;
            fleetLogTime = previous + FLEET_TIME_GAIN * (Latency.log(wait) - previous);
            s.lagAt = now;
        }
    }

    private void addEvidence(
            double now, Server s, long request, int attempt, Outcome outcome, double time, FailureRate rate) {
        Latency latency = s == origin ? originLatency : cacheLatency;
        double commonRate = s == origin ? 1 : rate.estimate(now, decayTime);
        double lateAfter = Math.max(latency.lateAfter(), MIN_LATE * meanTarget);
        double evidence = CircuitBreaker.evidence(outcome, time, lateAfter, commonRate);
        Pending p = pending.get(request);
        if (evidence != 0 && s != origin && (p == null || !p.fetchLate)) {
            rate.add(now, evidence > 0, decayTime);
        }
        double threshold =
                OPEN_LOG_ODDS + Math.log1p(s.sends.rate(now, startedAt, decayTime) * SENDS_WINDOW * deadline);
        if (s.breaker.record(now, request, attempt, evidence, threshold, decayTime)) {
            s.breaker.open(now, OPEN_TIME * deadline, 1 + JITTER * (2 * random.nextDouble() - 1));
        }
    }

    private void retryOrEnd(double now, Pending p, Outcome outcome) {
        boolean worthless = now >= p.targetAt && p.rules.lateWorth() == 0;
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

    /** The single check whether a request may be sent, or sent again, to a server. */
    private boolean maySend(double now, Pending p, Server s, double meanInFlight) {
        boolean concurrencyAllowed = p.inFlight == 0 || settings.limits().concurrentAttempts();
        boolean accepts = s.ready && s.breaker.allows(now) && !s.bulkhead.isFull(meanInFlight);
        boolean inBounds = p.attempts < p.servers.length && now < p.deadlineAt;
        return concurrencyAllowed && accepts && inBounds && p.mayRepeat(now, settings.tick(), s);
    }

    /** Ends a request with an answer of the router's own. Attempts in flight continue, but are ignored. */
    private void end(Pending p) {
        long id = p.request.id();
        if (p.mayRefuse()) {
            double after = p.rules.target() * (RETRY_AFTER_MIN + RETRY_AFTER_SPREAD * random.nextDouble());
            host.refuse(id, Math.min(after, settings.limits().maxRetryAfter()));
        } else {
            host.fail(id);
        }
        pending.remove(id);
    }

    @Override
    public void onFirstByte(double now, long request, int attempt) {
        Pending p = pending.get(request);
        if (p != null) {
            p.streaming = true;
        }
    }

    @Override
    public void onClientGone(double now, long request) {
        pending.remove(request);
    }

    /** Hedges a first attempt slower than healthy servers by a copy to the next one; runs other timers. */
    @Override
    public void onTimer(double now, long token) {
        Pending p = pending.get(token);
        boolean isWaiting = p != null && p.inFlight != 0;
        if (token == WATCH_TOKEN) {
            host.watchMembers();
        } else if (token == REPORT_TOKEN) {
            reportToPeers(now);
        } else if (isWaiting && now >= p.targetAt && !p.fetchLate) {
            if (now > p.targetAt + TIMER_LATE * p.rules.target()) {
                // The router itself is late: the answer may be waiting unread.
                return;
            }
            // Counted as late now: until the timeout, an overloaded origin would be sent more requests.
            p.fetchLate = true;
            missFailures.add(now, true, decayTime);
            fetchGate.record(false, missShare * originFaultShare(now, p.servers[p.attempts - 1], false));
        } else if (isWaiting && p.attempts == 1 && !p.streaming && retryTokens >= 1 && fetchGate.isOpen()) {
            Server s = pick(now, p);
            if (s != null) {
                retryTokens -= 1;
                send(now, p, s);
            }
        }
    }

    /** Reports own sends and circuits: one router among many sees too little of each server itself. */
    private void reportToPeers(double now) {
        host.reportToPeers(slots.stream()
                .filter(s -> s != null && s.ready && (s.bulkhead.inFlight > 0 || s.breaker.isOpen))
                .map(s -> new ServerReport(s.id, s.bulkhead.inFlight, s.breaker.isOpen))
                .sorted(Comparator.comparing(ServerReport::open)
                        .thenComparing(ServerReport::inFlight)
                        .reversed())
                .toList());
        host.setTimer(REPORT_PERIOD * deadline * (0.5 + random.nextDouble()), REPORT_TOKEN);
    }

    @Override
    public void onPeers(double now, Collection<Long> changed) {
        changed.stream().map(servers::get).filter(Objects::nonNull).forEach(this::updatePeerTotals);
    }

    /** Applies the totals that peers report of a server while it is ready. */
    private void updatePeerTotals(Server s) {
        PeerTotals sum = s.ready ? host.peerTotals(s.id) : PeerTotals.none(s.id);
        peerInFlight += sum.inFlight() - s.peerInFlight;
        s.peerInFlight = sum.inFlight();
        s.openAtPeers = sum.open();
    }
}
