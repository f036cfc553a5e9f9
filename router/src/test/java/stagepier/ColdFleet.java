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
 * One day in virtual time: many instances of the real module before servers of known capacity, some of which start
 * cold. The seed decides how many start, who is told when, how traffic is shared out and which routers restart.
 * Only what routers send that know of a start counts against the bound, over all of them and each sliding span.
 */
final class ColdFleet {
    /** Load as a part of the fleet's capacity, and how much more comes in the jam that follows the starts. */
    record Day(String name, double load, double surge, double flash, double silent, double span, double told) {
        /** The same day where the routers are told so many times what a cold server bears. */
        Day told(double times) {
            return new Day(name, load, surge, flash, silent, span, times);
        }
    }

    /** The last four: what a cold server falls by is counted over a quarter of the time, so N is a quarter. */
    static final List<Day> DAYS = List.of(
            new Day("moderate", 0.6, 1, 0, 0, 1, 1),
            new Day("jam", 0.85, 1.5, 0, 0, 1, 1),
            new Day("flash", 0.6, 1, 0.5, 0, 1, 1),
            new Day("loss", 0.6, 1, 0, 0.4, 1, 1),
            new Day("moderate, short", 0.6, 1, 0, 0, 0.25, 1),
            new Day("jam, short", 0.85, 1.5, 0, 0, 0.25, 1),
            new Day("flash, short", 0.6, 1, 0.5, 0, 0.25, 1),
            new Day("loss, short", 0.6, 1, 0, 0.4, 0.25, 1));

    /** Cold starts of a day, those sent more than the bound, the highest part of the bound sent, requests and served. */
    record Result(int starts, int over, double highest, int asked, int served) {
        Result plus(Result o) {
            return new Result(
                    starts + o.starts, over + o.over, Math.max(highest, o.highest), asked + o.asked, served + o.served);
        }
    }

    private static final double COLD_SHARE = 0.3;
    private static final double WARM_UP = 8.9;
    private static final double OVERLOAD_FACTOR = 4;
    private static final int SERVERS = 20;
    private static final int CORES = 2;
    /** Requests of mean work that a warm server does in a second. */
    private static final double CAPACITY = 25;

    private static final double DIES_AT = 3;
    private static final double STARTS_AT = 4.5;
    private static final double SURGE_AT = 7.5;
    private static final double SURGE_ENDS = 10.5;
    private static final double ENDS_AT = 13;
    private static final int QUEUED = 120;
    private static final int KEYS = 3000;

    /** What happens at a time: the end of an attempt, a timer, word of the starts, a client that comes again. */
    private record Event(double at, Runnable what) {}

    private static final class Machine {
        final long id;
        final double[] freeAt = new double[CORES];
        final Set<Long> held = new HashSet<>();
        boolean starts;
        boolean silent;
        final List<Double> sentByTold = new ArrayList<>();

        Machine(long id) {
            this.id = id;
        }
    }

    private final class Router implements Api.Host {
        final SplittableRandom seeds;
        RoutingPolicy policy;
        boolean told;
        /** Of this process: what an earlier one began is no outcome here. */
        int process;

        final Map<Long, Integer> attempts = new HashMap<>();

        Router(SplittableRandom seeds) {
            this.seeds = seeds;
            begin();
        }

        void begin() {
            process++;
            attempts.clear();
            policy = new RoutingPolicy(settings, seeds.nextLong(), this);
            policy.onMembers(now, true, members(told));
        }

        void learn() {
            told = true;
            policy.onMembers(now, false, members(true));
        }

        @Override
        public void send(long request, long server, double timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            Machine m = machines.get(server);
            if (m.starts && told) {
                m.sentByTold.add(now);
            }
            answer(m, request, timeout, (after, outcome, lookup) -> {
                int by = process;
                double sentAt = now;
                later(after, () -> {
                    if (by == process) {
                        boolean ok = outcome == Outcome.OK;
                        served += ok && waiting.remove(request) ? now <= dueAt.get(request) ? 1 : 0 : 0;
                        policy.onOutcome(
                                now, request, attempt, server, outcome, now - sentAt, ok, lookup, Fixture.NO_REPORT);
                    }
                });
            });
        }

        @Override
        public void setTimer(double delay, long token) {
            int by = process;
            later(delay, () -> {
                if (by == process) {
                    policy.onTimer(now, token);
                }
            });
        }

        @Override
        public void refuse(long request, double retryAfter) {
            comeAgain(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            comeAgain(request, 0.1);
        }

        /** Every second client asks once more, with what is left of its time. */
        private void comeAgain(long request, double after) {
            if (waiting.remove(request) && request % 4 == 0 && now + after < dueAt.get(request)) {
                later(after, () -> ask(this, request + 1, keyOf.get(request), dueAt.get(request)));
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

    private interface Answered {
        void with(double after, Outcome outcome, Lookup lookup);
    }

    private final Api.Settings settings;
    private final Day day;
    private final SplittableRandom random;
    private final Map<Long, Machine> machines = new HashMap<>();
    private final List<Machine> order = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final double[] reach;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    private final Set<Long> waiting = new HashSet<>();
    private final Map<Long, Double> dueAt = new HashMap<>();
    private final Map<Long, Long> keyOf = new HashMap<>();
    private double now = 1;
    private long hot;
    private int asked;
    private int served;

    private ColdFleet(int count, Day day, long seed) {
        Api.Settings alone = Fixture.settings(Api.Fetching.THROUGH, true, Api.Scope.ALL, Api.WeightMeaning.NONE);
        settings = new Api.Settings(
                count,
                0,
                alone.classes(),
                alone.tenants(),
                alone.weights(),
                alone.fetching(),
                alone.originKind(),
                alone.tick(),
                alone.quotaWorth(),
                new Api.Limits(3, true, true, false, 0.75, 0.1),
                new Api.Protection(0.5, COLD_SHARE, WARM_UP, day.told() * OVERLOAD_FACTOR, day.span()),
                alone.prices(),
                alone.report(),
                false);
        this.day = day;
        random = new SplittableRandom(seed);
        for (int i = 0; i < SERVERS; i++) {
            Machine m = new Machine(random.nextLong() >>> 1);
            machines.put(m.id, m);
            order.add(m);
        }
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            order.get(i).starts = true;
        }
        for (int i = 0; i < day.silent() * SERVERS; i++) {
            order.get(SERVERS - 1 - i).silent = true;
        }
        HashRing ring = new HashRing();
        for (int i = 0; i < SERVERS; i++) {
            ring.add(i, order.get(i).id, HashRing.virtualNodes(1));
        }
        // Popular from the surge on, and of the part of its keys that a cold server gets from the first.
        for (hot = KEYS + 1; hot < KEYS + 10_000; hot++) {
            Machine owner = order.get(ring.from(HashRing.mix(hot)).next());
            if (owner.starts && HashRing.fraction(HashRing.mix(hot) ^ owner.id) < COLD_SHARE) {
                break;
            }
        }
        // On every second day one router has five times the traffic of the rest.
        reach = IntStream.range(0, count)
                .mapToDouble(i -> i == 0 && seed % 2 == 0 ? 5 : 1)
                .toArray();
        Arrays.parallelPrefix(reach, Double::sum);
        for (int i = 0; i < count; i++) {
            routers.add(new Router(random.split()));
        }
        // Told in step, or each at its own time.
        double spread = seed / 2 % 2 == 0 ? 0 : 1.5 * random.nextDouble();
        double told = STARTS_AT + 0.3;
        routers.forEach(r -> events.add(new Event(told + spread * random.nextDouble(), r::learn)));
        if (seed / 4 % 2 == 0) {
            // Seven in ten are killed in the jam and know nothing of what was sent before.
            for (Router r : routers) {
                if (random.nextInt(10) < 7) {
                    events.add(new Event(SURGE_AT + 1, r::begin));
                }
            }
        }
    }

    static Result play(int routers, Day day, long seed) {
        ColdFleet fleet = new ColdFleet(routers, day, seed);
        fleet.run();
        return fleet.result();
    }

    private List<Member> members(boolean told) {
        return order.stream()
                .map(m -> new Member(m.id, 0, 0, 0, MemberState.READY, 1, m.starts && told ? STARTS_AT : 0))
                .toList();
    }

    private void later(double after, Runnable what) {
        events.add(new Event(now + after, what));
    }

    private void run() {
        long id = 0;
        int released = 0;
        for (double next = now; next < ENDS_AT; ) {
            boolean inSurge = next >= SURGE_AT && next < SURGE_ENDS;
            // A queue that releases at once: a part of a second's traffic comes in one moment, over all routers.
            if (!inSurge || released++ >= QUEUED) {
                next -= Math.log(1 - random.nextDouble())
                        / (day.load() * (inSurge ? day.surge() : 1) * CAPACITY * SERVERS);
            }
            while (!events.isEmpty() && events.peek().at() <= next) {
                Event e = events.poll();
                now = e.at();
                e.what().run();
            }
            now = next;
            int at = Arrays.binarySearch(reach, random.nextDouble() * reach[reach.length - 1]);
            boolean hotOne = inSurge && random.nextDouble() < day.flash();
            long key = hotOne ? hot : 1 + (long) Math.pow(KEYS, random.nextDouble());
            ask(routers.get(at < 0 ? -at - 1 : at), id += 2, key, now + 0.5);
            asked++;
        }
    }

    private void ask(Router router, long id, long key, double due) {
        waiting.add(id);
        dueAt.put(id, due);
        keyOf.put(id, key);
        router.policy.onRequest(now, new Api.Request(id, 0, 0, key, due + 0.5 - now, 0, false, false));
    }

    private static double share(double age) {
        return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, age) / WARM_UP);
    }

    private void answer(Machine m, long request, double timeout, Answered then) {
        if (m.starts && now >= DIES_AT && now < STARTS_AT || m.silent && now >= SURGE_AT && now < SURGE_ENDS) {
            then.with(0.005, Outcome.CONNECT_FAILED, Lookup.UNKNOWN);
            return;
        }
        int core = m.freeAt[0] <= m.freeAt[1] ? 0 : 1;
        double starts = Math.max(now, m.freeAt[core]);
        if (starts - now > 0.6) {
            then.with(0.003, Outcome.FULL, Lookup.UNKNOWN);
            return;
        }
        boolean cold = m.starts && now >= STARTS_AT;
        double speed = cold ? share(now - STARTS_AT) : 1;
        double work = (0.5 + random.nextDouble()) * CORES / CAPACITY / speed;
        boolean hit = cold ? !m.held.add(keyOf.get(request)) : random.nextInt(10) > 0;
        m.freeAt[core] = starts + work;
        double after = starts + work - now + (hit ? 0 : 0.08);
        boolean inTime = after < timeout;
        then.with(
                inTime ? after : timeout,
                inTime ? Outcome.OK : Outcome.TIMEOUT,
                !inTime ? Lookup.UNKNOWN : hit ? Lookup.HIT : Lookup.MISS);
    }

    /** What the settings allow in a span, and chance: N + 2 x root of N + 2. */
    private double bound(double until) {
        double n = OVERLOAD_FACTOR * CAPACITY * day.span() * share(until - STARTS_AT - day.span() / 2);
        return n + 2 * Math.sqrt(n) + 2;
    }

    private Result result() {
        int starts = 0;
        int over = 0;
        double highest = 0;
        for (Machine m : order) {
            if (m.starts) {
                starts++;
                ArrayDeque<Double> span = new ArrayDeque<>();
                double most = 0;
                for (double at : m.sentByTold) {
                    span.add(at);
                    while (span.peek() <= at - day.span()) {
                        span.poll();
                    }
                    most = Math.max(most, span.size() / bound(at));
                }
                over += most > 1 ? 1 : 0;
                highest = Math.max(highest, most);
            }
        }
        return new Result(starts, over, highest, asked, served);
    }
}
