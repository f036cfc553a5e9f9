package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stagepier.Api.Fetching;
import stagepier.Api.Lookup;
import stagepier.Api.Outcome;
import stagepier.Api.Scope;
import stagepier.Api.WeightMeaning;

/** Whether another attempt may follow the first, by outcome and class, and how a request ends without one. */
class RepeatRulesTest {
    @ParameterizedTest
    @CsvSource({
        "0,ERROR,true", "0,FULL,true", "0,TIMEOUT,true", "0,CONNECT_FAILED,true", "0,RESET,true",
        "1,ERROR,true", "1,FULL,true", "1,TIMEOUT,true", "1,CONNECT_FAILED,true", "1,RESET,true",
        "2,ERROR,false", "2,FULL,true", "2,TIMEOUT,false", "2,CONNECT_FAILED,true", "2,RESET,false"
    })
    void outcomeAndClassDecideWhetherAnotherAttemptFollows(int classIndex, Outcome outcome, boolean allowed) {
        assertEquals(allowed, Fixture.through(6).retriesAfter(classIndex, outcome));
    }

    @ParameterizedTest
    @CsvSource({"ERROR", "TIMEOUT", "RESET"})
    void unsafeRequestThatMayHaveRunFailsAndIsNotRefused(Outcome outcome) {
        Fixture f = Fixture.through(6);
        f.retriesAfter(2, outcome);
        assertEquals(1, f.host.failed.size());
        assertEquals(0, f.host.refused.size());
    }

    /** The host may queue a retry; it must not be sent after the deduplication window has ended. */
    @Test
    void keyedRetryMustStartWithinTheRemainingDedupWindow() {
        Fixture f = Fixture.through(6);
        long id = f.request(1, 77);
        f.now += 0.1;
        f.outcome(id, 0, f.host.last().server(), Outcome.CONNECT_FAILED, 0.1);
        f.now += 0.1;
        f.outcome(id, 1, f.host.last().server(), Outcome.RESET, 0.1);
        List<Double> within = f.host.startLimits;
        assertEquals(3, within.size());
        assertEquals(List.of(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY), within.subList(0, 2));
        assertEquals(0.3, within.get(2), 1e-9, "counted from the first attempt that may have run");
    }

    @Test
    void keyedRequestIsNotSentAgainAfterItsDedupWindow() {
        Fixture f = Fixture.through(6);
        long id = f.request(1, 77);
        f.now += 0.41;
        f.outcome(id, 0, f.host.last().server(), Outcome.TIMEOUT, 0.41);
        assertEquals(1, f.host.sends.size());
        assertEquals(1, f.host.refused.size(), "every server drops repeats, so the client may safely retry");
    }

    @Test
    void keyedRequestStaysInItsDedupGroupAndIsNeverRefusedThere() {
        for (Scope scope : List.of(Scope.ZONE, Scope.CELL)) {
            Fixture f = new Fixture(Fixture.settings(Fetching.THROUGH, true, scope, WeightMeaning.NONE));
            f.members(true, Fixture.fleet(30, 0));
            int retried = 0;
            for (long key = 1; key < 60; key++) {
                long id = f.request(1, key);
                long first = f.host.last().server();
                int sends = f.host.sends.size();
                f.now += 0.1;
                f.outcome(id, 0, first, Outcome.RESET, 0.1);
                if (f.host.sends.size() > sends) {
                    retried++;
                    long second = f.host.last().server();
                    int groupCount = scope == Scope.ZONE ? 3 : 5;
                    assertEquals(first % groupCount, second % groupCount);
                    f.outcome(id, 1, second, Outcome.OK, 0.01);
                }
            }
            assertTrue(retried > 0);
            assertTrue(f.host.failed.size() > 0 || retried == 59);
            assertEquals(0, f.host.refused.size());
        }
    }

    @Test
    void noHedgingWhereConcurrentAttemptsAreForbidden() {
        Fixture f = new Fixture(Fixture.settings(Fetching.THROUGH, false, Scope.ALL, WeightMeaning.NONE));
        f.members(true, Fixture.fleet(6, 0));
        f.warm(60);
        long id = f.request(0, 500);
        int sends = f.host.sends.size();
        f.policy.onTimer(f.now + 0.3, id);
        assertEquals(sends, f.host.sends.size());
    }

    @Test
    void attemptsAreLimitedAndUseDifferentServers() {
        Fixture f = Fixture.through(8);
        long id = f.request(0, 77);
        for (int attempt = 0; f.host.finalAnswers() == 0; attempt++) {
            assertTrue(attempt < 4, "more than four attempts");
            f.now += 0.01;
            f.outcome(id, attempt, f.host.last().server(), Outcome.FULL, 0.01);
        }
        assertEquals(4, f.host.sends.size());
        assertEquals(
                4,
                f.host.sends.stream().map(ScriptedHost.Sent::server).distinct().count());
        assertEquals(1, f.host.refused.size());
    }

    @Test
    void nothingIsSentAfterTheClientIsGone() {
        Fixture f = Fixture.through(6);
        long id = f.request(0, 77);
        long server = f.host.last().server();
        f.policy.onClientGone(f.now, id);
        f.now += 0.2;
        f.policy.onOutcome(f.now, id, 0, server, Outcome.TIMEOUT, 0.2, true, Lookup.UNKNOWN, Fixture.NO_REPORT);
        f.policy.onTimer(f.now, id);
        assertEquals(1, f.host.sends.size());
        assertEquals(0, f.host.finalAnswers());
    }

    @Test
    void requestWithoutTimeLeftIsRefusedImmediately() {
        Fixture f = Fixture.through(6);
        f.request(0, 77, 0, false);
        assertEquals(1, f.host.refused.size());
        assertEquals(0, f.host.sends.size());
    }

    @Test
    void streamedAnswerThatHasBegunIsNotHedged() {
        Fixture f = Fixture.through(6);
        f.warm(60);
        long id = f.request(0, 500);
        int sends = f.host.sends.size();
        f.policy.onFirstByte(f.now, id, 0);
        f.policy.onTimer(f.now + 0.3, id);
        assertEquals(sends, f.host.sends.size());
    }

    @Test
    void lateAttemptIsHedgedAndTheLoserIsCancelled() {
        Fixture f = Fixture.through(6);
        f.warm(60);
        long id = f.request(0, 500);
        long first = f.host.last().server();
        ScriptedHost.Timer timer =
                f.host.timers.stream().filter(t -> t.token() == id).findFirst().orElseThrow();
        f.now += timer.delay();
        f.policy.onTimer(f.now, id);
        long second = f.host.last().server();
        assertNotEquals(first, second);
        f.now += 0.05;
        f.outcome(id, 1, second, Outcome.OK, 0.05);
        assertEquals(List.of(id), f.host.cancelled);
    }
}
