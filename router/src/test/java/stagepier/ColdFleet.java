package stagepier;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import stagepier.Api.Lookup;
import stagepier.Api.Member;
import stagepier.Api.MemberState;
import stagepier.Api.Outcome;

/**
 * Simulates many instances of the real decision module in virtual time, with servers of known capacity of which some
 * start cold. The seed determines how many start, when each router learns of it, how traffic is distributed and which
 * routers restart. Only sends of routers that know of a start count against the bound, summed over all routers in each
 * sliding span.
 */
final class ColdFleet {
    /**
     * A load scenario.
     *
     * @param load             load as a fraction of the fleet's capacity
     * @param surge            multiple of the load during the surge that follows the starts
     * @param hotShare         fraction of requests for one hot key during the surge
     * @param unreachableShare fraction of servers that are unreachable during the surge
     * @param overloadSpan     duration of an overload after which a cold server fails
     * @param factorScale      multiple of the real overload factor that the routers are configured with
     */
    record Scenario(
            String name,
            double load,
            double surge,
            double hotShare,
            double unreachableShare,
            double overloadSpan,
            double factorScale) {
        /** Returns the same scenario with the routers configured with a multiple of the real overload factor. */
        Scenario withFactorScale(double scale) {
            return new Scenario(name, load, surge, hotShare, unreachableShare, overloadSpan, scale);
        }
    }

    /** The last four have a quarter of the overload span, so that the allowed number of sends is a quarter. */
    static final List<Scenario> SCENARIOS = List.of(
            new Scenario("moderate", 0.6, 1, 0, 0, 1, 1),
            new Scenario("overload", 0.85, 1.5, 0, 0, 1, 1),
            new Scenario("flash", 0.6, 1, 0.5, 0, 1, 1),
            new Scenario("loss", 0.6, 1, 0, 0.4, 1, 1),
            new Scenario("moderate, short", 0.6, 1, 0, 0, 0.25, 1),
            new Scenario("overload, short", 0.85, 1.5, 0, 0, 0.25, 1),
            new Scenario("flash, short", 0.6, 1, 0.5, 0, 0.25, 1),
            new Scenario("loss, short", 0.6, 1, 0, 0.4, 0.25, 1));

    /**
     * Number of cold starts, how many were sent more than the bound, the highest ratio of sends to the bound, number of
     * requests and of those served in time.
     */
    record Result(int starts, int exceeded, double highest, int requests, int served) {
        Result plus(Result o) {
            return new Result(
                    starts + o.starts,
                    exceeded + o.exceeded,
                    Math.max(highest, o.highest),
                    requests + o.requests,
                    served + o.served);
        }
    }

    private static final double COLD_SHARE = 0.3;
    private static final double WARM_UP = 8.9;
    private static final double OVERLOAD_FACTOR = 4;
    private static final int SERVERS = 20;
    private static final int CORES = 2;
    /** Requests of mean work that a warm server serves per second. */
    private static final double CAPACITY = 25;

    private static final double STOPS_AT = 3;
    private static final double STARTS_AT = 4.5;
    private static final double SURGE_STARTS_AT = 7.5;
    private static final double SURGE_ENDS_AT = 10.5;
    private static final double ENDS_AT = 13;
    private static final int RELEASED_AT_ONCE = 120;
    private static final int KEYS = 3000;

    /** A scheduled action: the end of an attempt, a timer, the notice of the starts, or a client's retry. */
    private record Event(double at, Runnable action) {}

    private static final class SimulatedServer {
        final long id;
        final double[] freeAt = new double[CORES];
        final Set<Long> cachedKeys = new HashSet<>();
        boolean starts;
        boolean unreachable;
        final List<Double> countedSends = new ArrayList<>();

        SimulatedServer(long id) {
            this.id = id;
        }
    }

    private final class Router implements Api.Host {
        final SplittableRandom seeds;
        RoutingPolicy policy;
        boolean knowsStarts;
        /** Number of starts of this router; outcomes and timers of an earlier process are dropped. */
        int process;

        final Map<Long, Integer> attempts = new HashMap<>();

        Router(SplittableRandom seeds) {
            this.seeds = seeds;
            restart();
        }

        void restart() {
            process++;
            attempts.clear();
            policy = new RoutingPolicy(settings, seeds.nextLong(), this);
            policy.onMembers(now, true, members(knowsStarts));
        }

        void learnStarts() {
            knowsStarts = true;
            policy.onMembers(now, false, members(true));
        }

        @Override
        public void send(long request, long server, double timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            SimulatedServer m = servers.get(server);
            if (m.starts && knowsStarts) {
                m.countedSends.add(now);
            }
            answer(m, request, timeout, (after, outcome, lookup) -> {
                int sender = process;
                double sentAt = now;
                schedule(after, () -> {
                    if (sender == process) {
                        boolean ok = outcome == Outcome.OK;
                        served += ok && unanswered.remove(request) ? now <= dueAt.get(request) ? 1 : 0 : 0;
                        policy.onOutcome(
                                now, request, attempt, server, outcome, now - sentAt, ok, lookup, Fixture.NO_REPORT);
                    }
                });
            });
        }

        @Override
        public void setTimer(double delay, long token) {
            int sender = process;
            schedule(delay, () -> {
                if (sender == process) {
                    policy.onTimer(now, token);
                }
            });
        }

        @Override
        public void refuse(long request, double retryAfter) {
            retry(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            retry(request, 0.1);
        }

        /** Every second client retries once, within its remaining time. */
        private void retry(long request, double after) {
            if (unanswered.remove(request) && request % 4 == 0 && now + after < dueAt.get(request)) {
                schedule(after, () -> sendRequest(this, request + 1, keyOf.get(request), dueAt.get(request)));
            }
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void probe(long server) {}

        @Override
        public void closeIdle(long server) {}

        @Override
        public void watchMembers() {}

        @Override
        public void logMessage(String text) {}
    }

    private interface AnswerCallback {
        void onAnswer(double after, Outcome outcome, Lookup lookup);
    }

    private final Api.Settings settings;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final Map<Long, SimulatedServer> servers = new HashMap<>();
    private final List<SimulatedServer> serverList = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final double[] cumulativeTraffic;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    private final Set<Long> unanswered = new HashSet<>();
    private final Map<Long, Double> dueAt = new HashMap<>();
    private final Map<Long, Long> keyOf = new HashMap<>();
    private double now = 1;
    private long hot;
    private int requests;
    private int served;

    private ColdFleet(int count, Scenario scenario, long seed) {
        Api.Settings base = Fixture.settings(Api.Fetching.THROUGH, true, Api.Scope.ALL, Api.WeightMeaning.NONE);
        settings = new Api.Settings(
                count,
                0,
                base.classes(),
                base.tenants(),
                base.weights(),
                base.fetching(),
                base.originKind(),
                base.tick(),
                base.quotaWorth(),
                new Api.Limits(3, true, true, false, 0.75, 0.1),
                new Api.Protection(
                        0.5, COLD_SHARE, WARM_UP, scenario.factorScale() * OVERLOAD_FACTOR, scenario.overloadSpan()),
                base.prices(),
                base.report(),
                false);
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        for (int i = 0; i < SERVERS; i++) {
            SimulatedServer m = new SimulatedServer(random.nextLong() >>> 1);
            servers.put(m.id, m);
            serverList.add(m);
        }
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            serverList.get(i).starts = true;
        }
        for (int i = 0; i < scenario.unreachableShare() * SERVERS; i++) {
            serverList.get(SERVERS - 1 - i).unreachable = true;
        }
        HashRing ring = new HashRing();
        for (int i = 0; i < SERVERS; i++) {
            ring.add(i, serverList.get(i).id, HashRing.virtualNodes(1));
        }
        // The hot key of the surge: one of those that a cold server is given from its start on.
        for (hot = KEYS + 1; hot < KEYS + 10_000; hot++) {
            SimulatedServer owner = serverList.get(ring.from(HashRing.mix(hot)).next());
            if (owner.starts && HashRing.fraction(HashRing.mix(hot) ^ owner.id) < COLD_SHARE) {
                break;
            }
        }
        // With every second seed one router has five times the traffic of each other one.
        cumulativeTraffic = IntStream.range(0, count)
                .mapToDouble(i -> i == 0 && seed % 2 == 0 ? 5 : 1)
                .toArray();
        Arrays.parallelPrefix(cumulativeTraffic, Double::sum);
        for (int i = 0; i < count; i++) {
            routers.add(new Router(random.split()));
        }
        // The routers learn of the starts at the same time, or each at its own time.
        double spread = seed / 2 % 2 == 0 ? 0 : 1.5 * random.nextDouble();
        double learnedAt = STARTS_AT + 0.3;
        routers.forEach(r -> events.add(new Event(learnedAt + spread * random.nextDouble(), r::learnStarts)));
        if (seed / 4 % 2 == 0) {
            // Seven in ten are restarted during the surge and have no record of earlier sends.
            for (Router r : routers) {
                if (random.nextInt(10) < 7) {
                    events.add(new Event(SURGE_STARTS_AT + 1, r::restart));
                }
            }
        }
    }

    static Result run(int routers, Scenario scenario, long seed) {
        ColdFleet fleet = new ColdFleet(routers, scenario, seed);
        fleet.run();
        return fleet.result();
    }

    private List<Member> members(boolean startsKnown) {
        return serverList.stream()
                .map(m -> new Member(m.id, 0, 0, 0, MemberState.READY, 1, m.starts && startsKnown ? STARTS_AT : 0))
                .toList();
    }

    private void schedule(double delay, Runnable action) {
        events.add(new Event(now + delay, action));
    }

    private void run() {
        long id = 0;
        int released = 0;
        for (double next = now; next < ENDS_AT; ) {
            boolean inSurge = next >= SURGE_STARTS_AT && next < SURGE_ENDS_AT;
            // A queue that is released at once: this many requests arrive at the same moment, over all routers.
            if (!inSurge || released++ >= RELEASED_AT_ONCE) {
                next -= Math.log(1 - random.nextDouble())
                        / (scenario.load() * (inSurge ? scenario.surge() : 1) * CAPACITY * SERVERS);
            }
            while (!events.isEmpty() && events.peek().at() <= next) {
                Event e = events.poll();
                now = e.at();
                e.action().run();
            }
            now = next;
            int at = Arrays.binarySearch(
                    cumulativeTraffic, random.nextDouble() * cumulativeTraffic[cumulativeTraffic.length - 1]);
            boolean requestsHotKey = inSurge && random.nextDouble() < scenario.hotShare();
            long key = requestsHotKey ? hot : 1 + (long) Math.pow(KEYS, random.nextDouble());
            sendRequest(routers.get(at < 0 ? -at - 1 : at), id += 2, key, now + 0.5);
            requests++;
        }
    }

    private void sendRequest(Router router, long id, long key, double due) {
        unanswered.add(id);
        dueAt.put(id, due);
        keyOf.put(id, key);
        router.policy.onRequest(now, new Api.Request(id, 0, 0, key, due + 0.5 - now, 0, false, false));
    }

    private static double share(double age) {
        return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, age) / WARM_UP);
    }

    private void answer(SimulatedServer m, long request, double timeout, AnswerCallback callback) {
        if (m.starts && now >= STOPS_AT && now < STARTS_AT
                || m.unreachable && now >= SURGE_STARTS_AT && now < SURGE_ENDS_AT) {
            callback.onAnswer(0.005, Outcome.CONNECT_FAILED, Lookup.UNKNOWN);
            return;
        }
        int core = m.freeAt[0] <= m.freeAt[1] ? 0 : 1;
        double starts = Math.max(now, m.freeAt[core]);
        if (starts - now > 0.6) {
            callback.onAnswer(0.003, Outcome.FULL, Lookup.UNKNOWN);
            return;
        }
        boolean cold = m.starts && now >= STARTS_AT;
        double speed = cold ? share(now - STARTS_AT) : 1;
        double work = (0.5 + random.nextDouble()) * CORES / CAPACITY / speed;
        boolean hit = cold ? !m.cachedKeys.add(keyOf.get(request)) : random.nextInt(10) > 0;
        m.freeAt[core] = starts + work;
        double after = starts + work - now + (hit ? 0 : 0.08);
        boolean inTime = after < timeout;
        callback.onAnswer(
                inTime ? after : timeout,
                inTime ? Outcome.OK : Outcome.TIMEOUT,
                !inTime ? Lookup.UNKNOWN : hit ? Lookup.HIT : Lookup.MISS);
    }

    /** Returns the bound on sends in a span: the N that the settings allow plus random variation, 2 sqrt(N) + 2. */
    private double bound(double until) {
        double n = OVERLOAD_FACTOR
                * CAPACITY
                * scenario.overloadSpan()
                * share(until - STARTS_AT - scenario.overloadSpan() / 2);
        return n + 2 * Math.sqrt(n) + 2;
    }

    private Result result() {
        int starts = 0;
        int exceeded = 0;
        double highest = 0;
        for (SimulatedServer m : serverList) {
            if (m.starts) {
                starts++;
                ArrayDeque<Double> span = new ArrayDeque<>();
                double highestHere = 0;
                for (double at : m.countedSends) {
                    span.add(at);
                    while (span.peek() <= at - scenario.overloadSpan()) {
                        span.poll();
                    }
                    highestHere = Math.max(highestHere, span.size() / bound(at));
                }
                exceeded += highestHere > 1 ? 1 : 0;
                highest = Math.max(highest, highestHere);
            }
        }
        return new Result(starts, exceeded, highest, requests, served);
    }
}
