package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stagepier.Api.Fetching;
import stagepier.Api.Lookup;
import stagepier.Api.Member;
import stagepier.Api.MemberState;
import stagepier.Api.Outcome;
import stagepier.Api.Repeat;
import stagepier.Api.Scope;
import stagepier.Api.WeightMeaning;

/** Sends long random but valid streams of events, under which the rules must always hold. */
class RandomStreamTest {
    private static final int STEPS = 20_000;

    /** Host that checks the rules at every action. */
    private static final class Checker implements Api.Host {
        private final Api.Settings settings;
        private final Map<Long, LiveRequest> liveRequests = new TreeMap<>();
        private final Map<Long, MemberState> states = new HashMap<>();
        private final List<Attempt> inFlight = new ArrayList<>();
        private final List<long[]> timers = new ArrayList<>();
        private final Map<Long, Integer> answers = new HashMap<>();
        private final StringBuilder log = new StringBuilder();
        private double now;

        Checker(Api.Settings settings) {
            this.settings = settings;
        }

        @Override
        public void send(long request, long server, double timeout) {
            log.append("s ")
                    .append(request)
                    .append(' ')
                    .append(server)
                    .append(' ')
                    .append(timeout)
                    .append('\n');
            LiveRequest r = liveRequests.get(request);
            assertTrue(r != null && !r.ended, "request sent after its end");
            assertEquals(MemberState.READY, states.get(server), "request sent to a draining or gone server");
            Repeat repeat = settings.classes().get(r.request.classIndex()).repeat();
            if (!settings.limits().concurrentAttempts()) {
                assertTrue(r.attempts.stream().allMatch(a -> a.outcome != null), "two concurrent attempts");
            }
            List<Attempt> mayHaveRun = r.mayHaveRun();
            if (!mayHaveRun.isEmpty()) {
                assertFalse(repeat == Repeat.UNSAFE, "unsafe request may run twice");
                if (repeat == Repeat.KEYED) {
                    assertTrue(now
                            <= mayHaveRun.get(0).sentAt
                                    + settings.classes().get(1).dedupWindow());
                    if (settings.classes().get(1).dedupScope() == Scope.ZONE) {
                        assertEquals(mayHaveRun.get(0).server % 3, server % 3);
                    }
                }
            }
            Attempt a = new Attempt(r, server, r.attempts.size(), now, Math.min(r.deadline, now + timeout));
            r.attempts.add(a);
            assertTrue(r.attempts.size() <= settings.limits().maxAttempts());
            inFlight.add(a);
        }

        @Override
        public void cancel(long request, int attempt) {
            log.append("c ").append(request).append(' ').append(attempt).append('\n');
            assertTrue(settings.limits().cancel());
            assertTrue(attempt < liveRequests.get(request).attempts.size());
        }

        @Override
        public void refuse(long request, double retryAfter) {
            log.append("r ").append(request).append(' ').append(retryAfter).append('\n');
            LiveRequest r = liveRequests.get(request);
            Api.RequestClass c = settings.classes().get(r.request.classIndex());
            assertTrue(
                    r.mayHaveRun().isEmpty()
                            || c.repeat() == Repeat.SAFE
                            || c.repeat() == Repeat.KEYED && c.dedupScope() == Scope.ALL,
                    "refused although a retry may not be safe");
            answer(request);
        }

        @Override
        public void fail(long request) {
            log.append("f ").append(request).append('\n');
            answer(request);
        }

        private void answer(long request) {
            LiveRequest r = liveRequests.get(request);
            assertFalse(r.ended, "second final answer");
            assertTrue(now <= r.deadline + 1e-9, "answer after the client's deadline");
            r.ended = true;
            answers.merge(request, 1, Integer::sum);
        }

        @Override
        public void setTimer(double delay, long token) {
            log.append("t ").append(delay).append(' ').append(token).append('\n');
            assertTrue(delay >= 0);
            timers.add(new long[] {Double.doubleToLongBits(now + delay), token});
        }

        @Override
        public void probe(long server) {
            throw new AssertionError("probe sent although the settings forbid probes");
        }

        @Override
        public void closeIdle(long server) {
            log.append("x ").append(server).append('\n');
        }

        @Override
        public void watchMembers() {
            throw new AssertionError("list requested although changes are always delivered");
        }

        @Override
        public void logMessage(String text) {
            log.append("n ").append(text).append('\n');
        }
    }

    private static final class LiveRequest {
        private final Api.Request request;
        private final double deadline;
        private final List<Attempt> attempts = new ArrayList<>();
        private boolean ended;

        LiveRequest(Api.Request request, double deadline) {
            this.request = request;
            this.deadline = deadline;
        }

        List<Attempt> mayHaveRun() {
            return attempts.stream()
                    .filter(a -> a.outcome == null || !a.outcome.neverRan())
                    .toList();
        }
    }

    private static final class Attempt {
        private final LiveRequest request;
        private final long server;
        private final int index;
        private final double sentAt;
        private final double timeoutAt;
        private Outcome outcome;

        Attempt(LiveRequest request, long server, int index, double sentAt, double timeoutAt) {
            this.request = request;
            this.server = server;
            this.index = index;
            this.sentAt = sentAt;
            this.timeoutAt = timeoutAt;
        }
    }

    /** Drives one module instance with a random stream of events. */
    private static final class Driver {
        private final Api.Settings settings;
        private final Checker checker;
        private final RoutingPolicy policy;
        private final SplittableRandom random;
        private long nextId = 1;
        private double now = 50;

        Driver(Api.Settings settings, long seed) {
            this.settings = settings;
            checker = new Checker(settings);
            policy = new RoutingPolicy(settings, seed, checker);
            random = new SplittableRandom(seed * 31);
            List<Member> members = new ArrayList<>(Fixture.fleet(12, 0));
            if (settings.fetching() == Fetching.ASIDE) {
                members.add(new Member(Fixture.ORIGIN, 0, 0, Fixture.ORIGIN_KIND, MemberState.READY, 1, 0));
            }
            members.forEach(m -> checker.states.put(m.id(), m.state()));
            policy.onMembers(now, true, members);
        }

        void step() {
            now += random.nextDouble() * 0.01;
            checker.now = now;
            expireAttempts();
            fireTimers();
            int choice = random.nextInt(100);
            if (choice < 45) {
                request();
            } else if (choice < 97) {
                if (!checker.inFlight.isEmpty()) {
                    endAttempt(checker.inFlight.get(random.nextInt(checker.inFlight.size())), randomOutcome());
                }
            } else if (choice < 98) {
                changeMember();
            } else {
                disconnectClient();
            }
        }

        private void expireAttempts() {
            for (Attempt a : new ArrayList<>(checker.inFlight)) {
                if (a.timeoutAt <= now && checker.inFlight.contains(a)) {
                    double actualNow = now;
                    now = checker.now = Math.min(now, a.timeoutAt);
                    endAttempt(a, Outcome.TIMEOUT);
                    now = checker.now = actualNow;
                }
            }
        }

        private void fireTimers() {
            for (long[] t : new ArrayList<>(checker.timers)) {
                if (Double.longBitsToDouble(t[0]) <= now) {
                    checker.timers.remove(t);
                    policy.onTimer(now, t[1]);
                }
            }
        }

        private void request() {
            int classIndex = random.nextInt(3);
            double budget = 0.2 + random.nextDouble() * 0.8;
            Api.Request r =
                    new Api.Request(nextId++, classIndex, 0, 1 + random.nextInt(60), budget, 0, false, classIndex > 0);
            checker.liveRequests.put(r.id(), new LiveRequest(r, now + budget));
            policy.onRequest(now, r);
        }

        private Outcome randomOutcome() {
            Outcome[] all = {
                Outcome.OK,
                Outcome.OK,
                Outcome.OK,
                Outcome.ERROR,
                Outcome.FULL,
                Outcome.CONNECT_FAILED,
                Outcome.RESET,
                Outcome.MISS
            };
            return all[random.nextInt(all.length)];
        }

        private void endAttempt(Attempt a, Outcome outcome) {
            boolean miss = outcome == Outcome.MISS;
            if (miss && (settings.fetching() != Fetching.ASIDE || a.server == Fixture.ORIGIN)) {
                outcome = Outcome.OK;
            }
            checker.inFlight.remove(a);
            a.outcome = outcome;
            boolean finished = a.request.ended || outcome == Outcome.OK;
            if (outcome == Outcome.OK && !a.request.ended) {
                a.request.ended = true;
                checker.answers.merge(a.request.request.id(), 1, Integer::sum);
            }
            policy.onOutcome(
                    now,
                    a.request.request.id(),
                    a.index,
                    a.server,
                    outcome,
                    now - a.sentAt,
                    finished,
                    Lookup.UNKNOWN,
                    Fixture.NO_REPORT);
        }

        private void changeMember() {
            long id = 1 + random.nextInt(12);
            MemberState state = MemberState.values()[random.nextInt(3)];
            checker.states.put(id, state);
            policy.onMembers(now, false, List.of(Fixture.member(id, state, random.nextBoolean() ? 0 : now - 1)));
        }

        private void disconnectClient() {
            for (LiveRequest r : checker.liveRequests.values()) {
                if (!r.ended) {
                    r.ended = true;
                    checker.answers.merge(r.request.id(), 1, Integer::sum);
                    policy.onClientGone(now, r.request.id());
                    return;
                }
            }
        }

        void finish() {
            while (!checker.inFlight.isEmpty()) {
                now += 0.05;
                checker.now = now;
                expireAttempts();
                fireTimers();
            }
            for (long id = 1; id < nextId; id++) {
                assertEquals(1, checker.answers.getOrDefault(id, 0), "answers to request " + id);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"THROUGH,true,ALL", "THROUGH,false,ZONE", "ASIDE,true,ALL", "ASIDE,false,ZONE"})
    void rulesHoldAndInstancesAreIndependent(Fetching fetching, boolean concurrent, Scope scope) {
        Api.Settings settings = Fixture.settings(fetching, concurrent, scope, WeightMeaning.NONE);
        Driver first = new Driver(settings, 7);
        Driver second = new Driver(settings, 8);
        for (int i = 0; i < STEPS; i++) {
            first.step();
            second.step();
        }
        first.finish();
        second.finish();
        Driver alone = new Driver(settings, 7);
        for (int i = 0; i < STEPS; i++) {
            alone.step();
        }
        alone.finish();
        assertEquals(first.checker.log.toString(), alone.checker.log.toString());
        assertTrue(first.checker.log.length() > STEPS, "the streams caused fewer actions than expected");
    }
}
