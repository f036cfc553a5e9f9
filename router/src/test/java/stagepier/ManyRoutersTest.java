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
 * Runs many instances of the module under one clock, each with little traffic, and counts their actions in total.
 * Detects behaviour that is harmless in one router and harmful when all routers show it.
 */
class ManyRoutersTest {
    private static final int ROUTERS = 14;
    private static final int SERVERS = 60;
    private static final double REQUESTS_PER_SECOND = 900;

    /** Answer of a server: outcome, delay in seconds and reported lookup. */
    private record Answer(Outcome outcome, double after, Lookup lookup) {}

    private interface ServerBehaviour {
        Answer answer(long server, double now, SplittableRandom random);
    }

    /** An execution with the outcome that it will have. */
    private record PendingOutcome(double at, int router, ScriptedHost.Sent sent, int attempt, Answer answer) {}

    /** A timer of the module that will expire. */
    private record PendingTimer(double at, int router, long token) {}

    /** A group of routers in front of the same servers. */
    private static final class Routers {
        private final List<Fixture> all = new ArrayList<>();
        private final int[] seenSends = new int[ROUTERS];
        private final int[] seenTimers = new int[ROUTERS];
        private final int[] seenReports = new int[ROUTERS];
        private final List<PeerView> views = new ArrayList<>();
        private final PriorityQueue<PendingTimer> pendingTimers =
                new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        private final Api.Settings settings;
        private final List<Map<Long, Integer>> attempts = new ArrayList<>();
        private final PriorityQueue<PendingOutcome> pendingOutcomes =
                new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        private final SplittableRandom random = new SplittableRandom(7);
        private final ServerBehaviour behaviour;
        private double now = 100;
        private int requests;
        private int timeouts;
        private int messages;
        private final Map<Long, Integer> outcomes = new HashMap<>();

        Routers(ServerBehaviour behaviour) {
            this(behaviour, false);
        }

        Routers(ServerBehaviour behaviour, boolean peers) {
            this.behaviour = behaviour;
            Api.Settings base = Fixture.settings(Api.Fetching.THROUGH, true, Api.Scope.ALL, Api.WeightMeaning.NONE);
            settings = new Api.Settings(
                    ROUTERS,
                    0,
                    base.classes(),
                    base.tenants(),
                    base.weights(),
                    base.fetching(),
                    base.originKind(),
                    base.tick(),
                    base.quotaWorth(),
                    new Api.Limits(3, true, true, false, 0.75, 0.1, peers),
                    base.protection(),
                    base.prices(),
                    base.report(),
                    false);
            for (int i = 0; i < ROUTERS; i++) {
                Fixture f = new Fixture(settings);
                f.members(true, Fixture.fleet(SERVERS, 0));
                all.add(f);
                PeerView view = new PeerView(ROUTERS, 1);
                f.host.peerTotals = view::of;
                views.add(view);
                attempts.add(new HashMap<>());
            }
        }

        void run(double seconds) {
            for (double until = now + seconds; now < until; ) {
                now += 1 / REQUESTS_PER_SECOND;
                while (!pendingOutcomes.isEmpty() && pendingOutcomes.peek().at() <= now) {
                    end(pendingOutcomes.poll());
                }
                while (!pendingTimers.isEmpty() && pendingTimers.peek().at() <= now) {
                    PendingTimer timer = pendingTimers.poll();
                    all.get(timer.router()).now = timer.at();
                    all.get(timer.router()).policy.onTimer(timer.at(), timer.token());
                    collect(timer.router());
                }
                int router = random.nextInt(ROUTERS);
                Fixture f = all.get(router);
                f.now = now;
                // Skewed popularity: a few keys are requested far more often than most.
                f.request(0, 1 + (long) Math.pow(20_000, random.nextDouble()));
                requests++;
                collect(router);
            }
        }

        private void end(PendingOutcome e) {
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
            for (; seenSends[router] < f.host.sends.size(); seenSends[router]++) {
                ScriptedHost.Sent s = f.host.sends.get(seenSends[router]);
                int attempt = attempts.get(router).merge(s.request(), 1, Integer::sum) - 1;
                Answer a = behaviour.answer(s.server(), f.now, random);
                pendingOutcomes.add(new PendingOutcome(f.now + a.after(), router, s, attempt, a));
            }
            for (; seenTimers[router] < f.host.timers.size(); seenTimers[router]++) {
                ScriptedHost.Timer t = f.host.timers.get(seenTimers[router]);
                pendingTimers.add(new PendingTimer(f.now + t.delay(), router, t.token()));
            }
            for (; seenReports[router] < f.host.peerReports.size(); seenReports[router]++) {
                List<Api.ServerReport> reports = f.host.peerReports.get(seenReports[router]);
                for (int i = 0; i < ROUTERS; i++) {
                    if (i != router) {
                        deliver(i, router, reports);
                    }
                }
            }
        }

        void deliver(int to, int from, List<Api.ServerReport> reports) {
            messages++;
            Fixture f = all.get(to);
            f.now = Math.max(f.now, now);
            f.policy.onPeers(f.now, views.get(to).take(f.now, from, PeerReport.plain(reports)));
        }

        int refused() {
            return all.stream().mapToInt(f -> f.host.finalAnswers()).sum();
        }

        int closeIdleCalls() {
            return all.stream().mapToInt(f -> f.host.closeIdleCalls).sum();
        }
    }

    private static Answer normalAnswer(SplittableRandom random) {
        boolean miss = random.nextInt(3) == 0;
        return new Answer(
                Outcome.OK, (miss ? 0.15 : 0.05) + 0.1 * random.nextDouble(), miss ? Lookup.MISS : Lookup.HIT);
    }

    /** Servers have equal listed sizes, but one machine kind takes twice the time, which no list states. */
    @Test
    void slowMachineKindGetsFewerKeys() {
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
        routers.run(5);
        routers.outcomes.clear();
        routers.run(5);
        int slow = routers.outcomes.entrySet().stream()
                .filter(e -> e.getKey() % 2 == 0)
                .mapToInt(Map.Entry::getValue)
                .sum();
        int all = routers.outcomes.values().stream().mapToInt(i -> i).sum();
        assertTrue(slow < 0.42 * all && slow > 0.25 * all, slow + " of " + all + " requests at the slow half");
    }

    @Test
    void failuresOfFewServersDoNotShutTheFetchGate() {
        Routers routers = new Routers((server, now, random) -> server <= 8 && random.nextInt(4) > 0
                ? new Answer(Outcome.ERROR, 0.05, Lookup.UNKNOWN)
                : normalAnswer(random));
        routers.run(4);
        int before = routers.refused();
        routers.requests = 0;
        routers.run(8);
        double refused = (routers.refused() - before) / (double) routers.requests;
        assertTrue(refused < 0.05, refused + " of all requests refused while 52 of 60 servers are healthy");
    }

    @Test
    void failingOriginShutsTheFetchGate() {
        Routers routers = new Routers((server, now, random) ->
                random.nextInt(2) == 0 ? new Answer(Outcome.ERROR, 0.3, Lookup.UNKNOWN) : normalAnswer(random));
        routers.run(6);
        assertTrue(
                routers.refused() > routers.requests / 5, "refused " + routers.refused() + " of " + routers.requests);
    }

    @Test
    void unreachableServersDoNotCloseIdleConnectionsToOthers() {
        Routers routers = new Routers((server, now, random) -> server <= 15 && now > 104
                ? new Answer(Outcome.CONNECT_FAILED, 0.25, Lookup.UNKNOWN)
                : normalAnswer(random));
        routers.run(12);
        assertEquals(
                0,
                routers.closeIdleCalls(),
                "idle connections closed, which healthy servers would have to accept again");
    }

    @Test
    void serversOutOfConnectionsMakeRoutersCloseIdleOnes() {
        Routers routers = new Routers((server, now, random) -> random.nextInt(10) == 0
                ? new Answer(Outcome.CONNECT_FAILED, 0.05, Lookup.UNKNOWN)
                : normalAnswer(random));
        routers.run(6);
        assertTrue(routers.closeIdleCalls() > 100, "idle connections closed: " + routers.closeIdleCalls());
    }

    private static Routers runWithUnresponsiveZone(boolean peers) {
        Routers routers = new Routers(
                (server, now, random) -> server <= 15 && now > 104
                        ? new Answer(Outcome.TIMEOUT, 1, Lookup.UNKNOWN)
                        : normalAnswer(random),
                peers);
        routers.run(14);
        return routers;
    }

    /** With little traffic each router alone opens circuits late, and has its own timeouts at 15 silent servers. */
    @Test
    void peerReportsReduceTimeoutsAtUnresponsiveServers() {
        int timeoutsAlone = runWithUnresponsiveZone(false).timeouts;
        Routers withReports = runWithUnresponsiveZone(true);
        assertTrue(
                withReports.timeouts < 0.6 * timeoutsAlone,
                withReports.timeouts + " timeouts, without reports " + timeoutsAlone);
        double perSecond = withReports.messages / 14.0 / ROUTERS / (ROUTERS - 1);
        assertTrue(perSecond < 8, perSecond + " messages per second from each router to each other one");
    }

    /** A single peer with false reports removes no server from use. */
    @Test
    void reportsOfASinglePeerOpenNoCircuit() {
        Routers routers = new Routers((server, now, random) -> normalAnswer(random), true);
        List<Api.ServerReport> falseReports = Fixture.fleet(SERVERS, 0).stream()
                .map(m -> new Api.ServerReport(m.id(), 0, true))
                .toList();
        for (int i = 0; i < 40; i++) {
            routers.run(0.1);
            for (int to = 1; to < ROUTERS; to++) {
                routers.deliver(to, 0, falseReports);
            }
        }
        assertEquals(0, routers.refused());
        assertEquals(SERVERS, routers.outcomes.size(), "all servers get requests");
    }

    /** Of a key's first two servers the less busy one is used; while fetches are shed, only the owner. */
    @Test
    void nextServerIsUsedWhilePeersKeepTheOwnerBusy() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        setPeerTotals(f, new Api.PeerTotals(owner, 30, 0));
        long next = f.serve(0, 5);
        assertTrue(next != owner, "the owner has 30 attempts of peers in flight");
        setPeerTotals(f, new Api.PeerTotals(owner, 30, 0), new Api.PeerTotals(next, 40, 0));
        assertEquals(owner, f.serve(0, 5), "both are busy, the owner is less so");
        setPeerTotals(f, new Api.PeerTotals(owner, 40, 0), new Api.PeerTotals(next, 30, 0));
        assertEquals(next, f.serve(0, 5), "both are busy, the next server is less so");
        setPeerTotals(f, Api.PeerTotals.none(owner), Api.PeerTotals.none(next));
        assertEquals(owner, f.serve(0, 5), "peers report no attempts in flight");
    }

    /** Sets the peer totals of these servers; all others have none from now on. */
    private static void setPeerTotals(Fixture f, Api.PeerTotals... sums) {
        Map<Long, Api.PeerTotals> all = new HashMap<>();
        for (Api.PeerTotals sum : sums) {
            all.put(sum.server(), sum);
        }
        f.host.peerTotals = server -> all.getOrDefault(server, Api.PeerTotals.none(server));
        f.policy.onPeers(f.now, all.keySet());
    }

    /** A server that leaves and returns between two reports is rated by its peer totals, not as idle. */
    @Test
    void peerTotalsApplyToAServerThatReturns() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        setPeerTotals(f, new Api.PeerTotals(owner, 30, 3));
        assertTrue(f.policy.avoidsOptionalLoad(f.now, owner));
        long next = f.serve(0, 5);
        assertTrue(next != owner, "three peers have a circuit open against the owner");
        f.members(false, List.of(Fixture.member(owner, Api.MemberState.GONE, 0)));
        setPeerTotals(f, new Api.PeerTotals(owner, 30, 0));
        f.members(false, List.of(Fixture.member(owner, Api.MemberState.READY, 0)));
        assertEquals(next, f.serve(0, 5), "the owner is back and has 30 attempts of peers in flight");
        setPeerTotals(f, Api.PeerTotals.none(owner));
        assertEquals(owner, f.serve(0, 5));
    }

    /** When each reported attempt stands for several, random variation is larger, and so is the busy threshold. */
    @Test
    void sampledPeerTotalsRaiseTheBusyThreshold() {
        Fixture f = Fixture.through(10);
        f.warm(500);
        long owner = f.serve(0, 5);
        Api.PeerTotals[] sums = new Api.PeerTotals[10];
        Arrays.setAll(sums, i -> new Api.PeerTotals(i + 1, i + 1 == owner ? 140 : 100, 0));
        setPeerTotals(f, sums);
        assertTrue(f.serve(0, 5) != owner, "140 exceeds 104 plus 1.5 deviations of 10");
        f.host.peerWeight = 16;
        assertEquals(owner, f.serve(0, 5), "140 does not exceed 104 plus 1.5 deviations of 40");
    }

    /** Few routers each see enough traffic themselves, and reports would only move keys. */
    @Test
    void fewRoutersExchangeNoReports() {
        Api.Settings many = new Routers((server, now, random) -> normalAnswer(random), true).settings;
        assertEquals(1, reportsSent(many, 7));
        assertEquals(0, reportsSent(many, 6));
    }

    private static int reportsSent(Api.Settings s, int routers) {
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
        return f.host.peerReports.size();
    }
}
