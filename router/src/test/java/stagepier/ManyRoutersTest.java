package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stagepier.Api.Lookup;
import stagepier.Api.Outcome;
import stagepier.peers.PeerReport;
import stagepier.peers.PeerView;

/**
 * Many instances of the module side by side under one clock, each with little traffic: what one does is counted over
 * all. Guards against what is harmless alone and harmful when all do it.
 */
class ManyRoutersTest {
    private static final int ROUTERS = 14;
    private static final int SERVERS = 60;
    private static final double REQUESTS_A_SECOND = 900;

    /** How a server answers: what comes, after how long, and what it says of the lookup. */
    private record Answer(Outcome outcome, double after, Lookup lookup) {}

    private interface World {
        Answer answer(long server, double now, SplittableRandom random);
    }

    /** An execution that will end. */
    private record Ending(double at, int router, ScriptedHost.Sent sent, int attempt, Answer answer) {}

    /** A timer of the module that will come due. */
    private record Due(double at, int router, long token) {}

    /** A fleet of routers over the same servers. */
    private static final class Routers {
        private final List<Fixture> all = new ArrayList<>();
        private final int[] told = new int[ROUTERS];
        private final int[] timed = new int[ROUTERS];
        private final int[] gossiped = new int[ROUTERS];
        private final List<PeerView> views = new ArrayList<>();
        private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        private final Api.Settings settings;
        private final List<Map<Long, Integer>> attempts = new ArrayList<>();
        private final PriorityQueue<Ending> endings = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        private final SplittableRandom random = new SplittableRandom(7);
        private final World world;
        private double now = 100;
        private int asked;
        private int timeouts;
        private int messages;
        private final Map<Long, Integer> outcomes = new HashMap<>();

        Routers(World world) {
            this(world, false);
        }

        Routers(World world, boolean peers) {
            this.world = world;
            Api.Settings alone = Fixture.settings(Api.Fetching.THROUGH, true, Api.Scope.ALL, Api.WeightMeaning.NONE);
            settings = new Api.Settings(
                    ROUTERS,
                    0,
                    alone.classes(),
                    alone.tenants(),
                    alone.weights(),
                    alone.fetching(),
                    alone.originKind(),
                    alone.tick(),
                    alone.quotaWorth(),
                    new Api.Limits(3, true, true, false, 0.75, 0.1, peers),
                    alone.protection(),
                    alone.prices(),
                    alone.report(),
                    false);
            for (int i = 0; i < ROUTERS; i++) {
                Fixture f = new Fixture(settings);
                f.members(true, Fixture.fleet(SERVERS, 0));
                all.add(f);
                PeerView view = new PeerView(ROUTERS, 1);
                f.host.others = view::of;
                views.add(view);
                attempts.add(new HashMap<>());
            }
        }

        void play(double seconds) {
            for (double until = now + seconds; now < until; ) {
                now += 1 / REQUESTS_A_SECOND;
                while (!endings.isEmpty() && endings.peek().at() <= now) {
                    end(endings.poll());
                }
                while (!dues.isEmpty() && dues.peek().at() <= now) {
                    Due due = dues.poll();
                    all.get(due.router()).now = due.at();
                    all.get(due.router()).policy.onTimer(due.at(), due.token());
                    collect(due.router());
                }
                int router = random.nextInt(ROUTERS);
                Fixture f = all.get(router);
                f.now = now;
                // Popularity as in life: some keys are asked for far more than most.
                f.request(0, 1 + (long) Math.pow(20_000, random.nextDouble()));
                asked++;
                collect(router);
            }
        }

        private void end(Ending e) {
            Fixture f = all.get(e.router());
            f.now = e.at();
            Outcome outcome = e.answer().outcome();
            outcomes.merge(e.sent().server(), 1, Integer::sum);
            timeouts += outcome == Outcome.TIMEOUT ? 1 : 0;
            f.policy.onOutcome(
                    f.now,
                    e.sent().request(),
                    e.attempt(),
                    e.sent().server(),
                    outcome,
                    e.answer().after(),
                    outcome == Outcome.OK,
                    e.answer().lookup(),
                    Fixture.NO_REPORT);
            collect(e.router());
        }

        private void collect(int router) {
            Fixture f = all.get(router);
            for (; told[router] < f.host.sends.size(); told[router]++) {
                ScriptedHost.Sent s = f.host.sends.get(told[router]);
                int attempt = attempts.get(router).merge(s.request(), 1, Integer::sum) - 1;
                Answer a = world.answer(s.server(), f.now, random);
                endings.add(new Ending(f.now + a.after(), router, s, attempt, a));
            }
            for (; timed[router] < f.host.timers.size(); timed[router]++) {
                ScriptedHost.Timer t = f.host.timers.get(timed[router]);
                dues.add(new Due(f.now + t.delay(), router, t.token()));
            }
            for (; gossiped[router] < f.host.told.size(); gossiped[router]++) {
                List<Api.ServerReport> news = f.host.told.get(gossiped[router]);
                for (int i = 0; i < ROUTERS; i++) {
                    if (i != router) {
                        tell(i, router, news);
                    }
                }
            }
        }

        void tell(int to, int from, List<Api.ServerReport> news) {
            messages++;
            Fixture f = all.get(to);
            f.now = Math.max(f.now, now);
            f.policy.onPeers(f.now, views.get(to).take(f.now, from, PeerReport.plain(news)));
        }

        int refused() {
            return all.stream().mapToInt(f -> f.host.answers()).sum();
        }

        int closes() {
            return all.stream().mapToInt(f -> f.host.closes).sum();
        }
    }

    private static Answer good(SplittableRandom random) {
        boolean miss = random.nextInt(3) == 0;
        return new Answer(
                Outcome.OK, (miss ? 0.15 : 0.05) + 0.1 * random.nextDouble(), miss ? Lookup.MISS : Lookup.HIT);
    }

    /** Machines of one stated size of which one kind needs twice the time: no list tells which. */
    @Test
    void aSlowKindGetsFewerKeysAtEveryRouter() {
        Routers routers = new Routers((server, now, random) ->
                new Answer(Outcome.OK, (server % 2 == 0 ? 0.1 : 0.05) * (0.5 + random.nextDouble()), Lookup.HIT));
        for (Fixture f : routers.all) {
            f.members(
                    true,
                    Fixture.fleet(SERVERS, 0).stream()
                            .map(m -> new Api.Member(
                                    m.id(), m.zone(), m.cell(), (int) m.id() % 2, m.state(), m.weight(), m.startedAt()))
                            .toList());
        }
        routers.play(5);
        routers.outcomes.clear();
        routers.play(5);
        int slow = routers.outcomes.entrySet().stream()
                .filter(e -> e.getKey() % 2 == 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
        int all = routers.outcomes.values().stream().mapToInt(i -> i).sum();
        assertTrue(slow < 0.42 * all && slow > 0.25 * all, slow + " of " + all + " at the slow half");
    }

    @Test
    void fewServersThatFailShutNoGateBeforeTheOrigin() {
        Routers routers = new Routers((server, now, random) ->
                server <= 8 && random.nextInt(4) > 0 ? new Answer(Outcome.ERROR, 0.05, Lookup.UNKNOWN) : good(random));
        routers.play(4);
        int before = routers.refused();
        routers.asked = 0;
        routers.play(8);
        double refused = (routers.refused() - before) / (double) routers.asked;
        assertTrue(refused < 0.05, refused + " of all requests refused while 52 of 60 servers are well");
    }

    @Test
    void anOriginThatFailsStillShutsTheGate() {
        Routers routers = new Routers((server, now, random) ->
                random.nextInt(2) == 0 ? new Answer(Outcome.ERROR, 0.3, Lookup.UNKNOWN) : good(random));
        routers.play(6);
        assertTrue(routers.refused() > routers.asked / 5, "of " + routers.asked + " refused " + routers.refused());
    }

    @Test
    void serversThatAreGoneMakeNobodyGiveUpConnectionsToTheRest() {
        Routers routers = new Routers((server, now, random) ->
                server <= 15 && now > 104 ? new Answer(Outcome.CONNECT_FAILED, 0.25, Lookup.UNKNOWN) : good(random));
        routers.play(12);
        assertEquals(0, routers.closes(), "connections given back, each to be opened again at a server's cost");
    }

    @Test
    void serversWhoseConnectionsAreAllTakenMakeAllGiveBackIdleOnes() {
        Routers routers = new Routers((server, now, random) ->
                random.nextInt(10) == 0 ? new Answer(Outcome.CONNECT_FAILED, 0.05, Lookup.UNKNOWN) : good(random));
        routers.play(6);
        assertTrue(routers.closes() > 100, "only " + routers.closes());
    }

    private static Routers zoneGoesSilent(boolean peers) {
        Routers routers = new Routers(
                (server, now, random) ->
                        server <= 15 && now > 104 ? new Answer(Outcome.TIMEOUT, 1, Lookup.UNKNOWN) : good(random),
                peers);
        routers.play(14);
        return routers;
    }

    /** With thin traffic each router alone trips late: fifteen silent servers cost every router its own lesson. */
    @Test
    void oneLessonServesAllWhereRoutersTellEachOther() {
        int alone = zoneGoesSilent(false).timeouts;
        Routers together = zoneGoesSilent(true);
        assertTrue(together.timeouts < 0.6 * alone, together.timeouts + " timed out, alone " + alone);
        double aSecond = together.messages / 14.0 / ROUTERS / (ROUTERS - 1);
        assertTrue(aSecond < 8, aSecond + " messages a second from each router to each");
    }

    /** A peer that lies, or is wrong, takes no server away and keeps none busy for ever. */
    @Test
    void onePeerAloneIsNotBelieved() {
        Routers routers = new Routers((server, now, random) -> good(random), true);
        List<Api.ServerReport> lies = Fixture.fleet(SERVERS, 0).stream()
                .map(m -> new Api.ServerReport(m.id(), 0, true))
                .toList();
        for (int i = 0; i < 40; i++) {
            routers.play(0.1);
            for (int to = 1; to < ROUTERS; to++) {
                routers.tell(to, 0, lies);
            }
        }
        assertEquals(0, routers.refused());
        assertEquals(SERVERS, routers.outcomes.size(), "all servers are asked");
    }

    /** Of a key's first two servers the less busy one is asked, and only its owner while fetches are shed. */
    @Test
    void whereOthersKeepTheOwnerBusyTheNextIsAsked() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        tell(f, new Api.PeerTotals(owner, 30, 0));
        long next = f.serve(0, 5);
        assertTrue(next != owner, "the owner has thirty in flight from others");
        tell(f, new Api.PeerTotals(owner, 30, 0), new Api.PeerTotals(next, 40, 0));
        assertEquals(owner, f.serve(0, 5), "both are busy, the owner less");
        tell(f, new Api.PeerTotals(owner, 40, 0), new Api.PeerTotals(next, 30, 0));
        assertEquals(next, f.serve(0, 5), "both are busy, the next less");
        tell(f, Api.PeerTotals.none(owner), Api.PeerTotals.none(next));
        assertEquals(owner, f.serve(0, 5), "nothing is told any more");
    }

    /** What others report of these servers is this from now on, and nothing of any other. */
    private static void tell(Fixture f, Api.PeerTotals... sums) {
        Map<Long, Api.PeerTotals> all = new HashMap<>();
        for (Api.PeerTotals sum : sums) {
            all.put(sum.server(), sum);
        }
        f.host.others = server -> all.getOrDefault(server, Api.PeerTotals.none(server));
        f.policy.onPeers(f.now, all.keySet());
    }

    /** A server that leaves and returns between two reports is judged by what is told of it, not as idle. */
    @Test
    void whatOthersReportCountsAgainForAServerThatReturns() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        tell(f, new Api.PeerTotals(owner, 30, 3));
        assertTrue(f.policy.avoidsOptionalLoad(f.now, owner));
        long next = f.serve(0, 5);
        assertTrue(next != owner, "three others have a circuit open against the owner");
        f.members(false, List.of(Fixture.member(owner, Api.MemberState.GONE, 0)));
        tell(f, new Api.PeerTotals(owner, 30, 0));
        f.members(false, List.of(Fixture.member(owner, Api.MemberState.READY, 0)));
        assertEquals(next, f.serve(0, 5), "the owner is back, and has thirty in flight from others");
        tell(f, Api.PeerTotals.none(owner));
        assertEquals(owner, f.serve(0, 5));
    }

    /** Where each attempt told of stands for many, what looks busy is chance up to a higher sum. */
    @Test
    void sumsOfASampleAreBusyOnlyBeyondTheirOwnDeviations() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        Api.PeerTotals[] sums = new Api.PeerTotals[10];
        Arrays.setAll(sums, i -> new Api.PeerTotals(i + 1, i + 1 == owner ? 140 : 100, 0));
        tell(f, sums);
        assertTrue(f.serve(0, 5) != owner, "140 are more than 104 and one and a half deviations of 10");
        f.host.othersWeight = 16;
        assertEquals(owner, f.serve(0, 5), "but not more than 104 and one and a half deviations of 40");
    }

    /** Guards against messages among few: each sees enough itself, and keys would only be moved about. */
    @Test
    void fewRoutersTellEachOtherNothing() {
        Api.Settings many = new Routers((server, now, random) -> good(random), true).settings;
        assertEquals(1, told(many, 7));
        assertEquals(0, told(many, 6));
    }

    private static int told(Api.Settings s, int routers) {
        Fixture f = new Fixture(new Api.Settings(
                routers,
                s.zone(),
                s.classes(),
                s.tenants(),
                s.weights(),
                s.fetching(),
                s.originKind(),
                s.tick(),
                s.quotaWorth(),
                s.limits(),
                s.protection(),
                s.prices(),
                s.report(),
                false));
        f.members(true, Fixture.fleet(3, 0));
        f.host.timers.stream().map(ScriptedHost.Timer::token).toList().forEach(token -> f.policy.onTimer(f.now, token));
        return f.host.told.size();
    }
}
