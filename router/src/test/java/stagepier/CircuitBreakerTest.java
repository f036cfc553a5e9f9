package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stagepier.Api.Outcome;

class CircuitBreakerTest {
    private static final double DECAY_TIME = 10;
    private static final double THRESHOLD = 4;

    @Test
    void opensOnRepeatedFailuresAndDiscountsOldOnes() {
        CircuitBreaker breaker = new CircuitBreaker();
        assertFalse(breaker.record(0, 1, 0, 3, THRESHOLD, DECAY_TIME));
        assertFalse(breaker.record(100, 2, 0, 3, THRESHOLD, DECAY_TIME), "the first failure has decayed");
        assertTrue(breaker.record(100.1, 3, 0, 3, THRESHOLD, DECAY_TIME));
    }

    @Test
    void successesReduceEvidenceButNotBelowZero() {
        CircuitBreaker breaker = new CircuitBreaker();
        for (int i = 0; i < 50; i++) {
            breaker.record(0, i, 0, -2, THRESHOLD, DECAY_TIME);
        }
        assertFalse(breaker.record(0, 51, 0, 3, THRESHOLD, DECAY_TIME));
        assertFalse(breaker.record(0, 52, 0, -2, THRESHOLD, DECAY_TIME));
        assertFalse(breaker.record(0, 53, 0, 2.5, THRESHOLD, DECAY_TIME));
        assertTrue(breaker.record(0, 54, 0, 2.5, THRESHOLD, DECAY_TIME));
    }

    /** One broken connection that carried three attempts must not open the circuit of its server. */
    @Test
    void resetsDoNotOpenTheCircuitButFailedConnectsDo() {
        Fixture f = Fixture.through(6);
        f.warm(60);
        for (Outcome outcome : new Outcome[] {Outcome.RESET, Outcome.CONNECT_FAILED}) {
            long server = f.serve(0, 77);
            long first = f.request(0, 77);
            f.request(0, 77);
            f.request(0, 77);
            for (int i = 0; i < 3; i++) {
                f.outcome(first + i, 0, server, outcome, 0.01);
            }
            assertEquals(outcome == Outcome.RESET, f.serve(0, 77) == server, outcome.name());
        }
    }

    @Test
    void oneTrialIsAllowedAfterTheOpenDurationAndItsOutcomeDecides() {
        CircuitBreaker breaker = new CircuitBreaker();
        breaker.open(0, 1, 1);
        assertFalse(breaker.allows(0.9));
        assertTrue(breaker.allows(1.1));
        breaker.onSend(1.1, 8, 0);
        assertFalse(breaker.allows(1.2), "only one trial");
        assertFalse(breaker.record(1.3, 7, 0, -2, THRESHOLD, DECAY_TIME), "an older attempt is not a trial");
        assertFalse(breaker.allows(1.4));
        assertTrue(breaker.record(1.5, 8, 0, 2, THRESHOLD, DECAY_TIME), "a failed trial opens it again");
        breaker.open(1.5, 1, 1);
        assertFalse(breaker.allows(3.4), "the open duration has doubled");
        assertTrue(breaker.allows(3.6));
        breaker.onSend(3.6, 9, 1);
        assertFalse(breaker.record(3.7, 9, 1, -2, THRESHOLD, DECAY_TIME));
        assertTrue(breaker.allows(3.7), "a successful trial closes it");
    }

    @Test
    void inconclusiveTrialAllowsAnotherOne() {
        CircuitBreaker breaker = new CircuitBreaker();
        breaker.open(0, 1, 1);
        breaker.onSend(2, 8, 0);
        assertFalse(breaker.record(2.1, 8, 0, 0, THRESHOLD, DECAY_TIME));
        assertTrue(breaker.allows(2.1));
    }

    @Test
    void keysOfAnUnreachableServerGoToTheNextOne() {
        Fixture f = Fixture.through(5);
        int toDeadServer = 0;
        for (int key = 1; key <= 400; key++) {
            long id = f.request(0, key);
            f.now += 0.05;
            int attempt = 0;
            while (f.host.last().server() == 1 && f.host.last().request() == id && attempt < 3) {
                if (key > 100) {
                    toDeadServer++;
                }
                f.outcome(id, attempt++, 1, Outcome.CONNECT_FAILED, 0.05);
            }
            assertNotEquals(1, f.host.last().server(), "sent to the next ring server");
            f.outcome(id, attempt, f.host.last().server(), Outcome.OK, 0.05);
        }
        // At most 15 s pass: trials follow open durations of 2, 4 and 8 s, each with its jitter.
        assertTrue(toDeadServer <= 6, "sends to a dead server: " + toDeadServer);
        assertEquals(0, f.host.finalAnswers());
    }

    /** Prevents all circuits from opening together: a failure of the whole fleet says nothing about one server. */
    @Test
    void failuresCommonToAllServersOpenFewCircuits() {
        Fixture f = Fixture.through(10);
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        long sentBefore = 0;
        for (int i = 0; i < 600; i++) {
            sentBefore = f.host.sends.size();
            long id = f.request(2, 1000 + i);
            if (f.host.sends.size() > sentBefore) {
                f.now += 0.02;
                f.outcome(id, 0, f.host.last().server(), random.nextInt(2) == 0 ? Outcome.RESET : Outcome.OK, 0.02);
            }
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            int before = f.host.sends.size();
            long id = f.request(2, 5000 + i);
            if (f.host.sends.size() > before) {
                served++;
                f.outcome(id, 0, f.host.last().server(), Outcome.OK, 0.02);
            }
        }
        assertTrue(served > 20, "requests sent after the failures: " + served);
    }

    /** Prevents circuits from opening at all servers when fast answers briefly take several times as long. */
    @Test
    void slowerAnswersFarWithinTheTargetOpenNoCircuit() {
        Fixture f = Fixture.through(2);
        java.util.SplittableRandom random = new java.util.SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            // In each 2000 answers, 40 take ten times as long, as on a machine that is busy with other work.
            double typicalTime = i % 2000 < 40 ? 4e-4 : 4e-5;
            long id = f.request(0, 1 + i % 50);
            assertEquals(0, f.host.finalAnswers(), "request refused at answer " + i);
            double took = typicalTime * (0.9 + 0.2 * random.nextDouble());
            f.now += took;
            f.outcome(id, 0, f.host.last().server(), Outcome.OK, took);
        }
    }

    /** Covers servers whose connections are all held idle by other routers. */
    @Test
    void idleConnectionsAreClosedOnlyWhileConnectsFail() {
        Fixture f = Fixture.through(5);
        for (int key = 1; key <= 50; key++) {
            f.serve(0, key);
        }
        assertEquals(0, f.host.closeIdleCalls);
        for (int key = 100; key < 105; key++) {
            long id = f.request(0, key);
            long server = f.host.last().server();
            f.outcome(id, 0, server, Outcome.CONNECT_FAILED, 0.1);
            f.outcome(id, 1, f.host.last().server(), Outcome.OK, 0.05);
        }
        assertEquals(0, f.host.closeIdleCalls, "the servers may all be down");
        f.now += 2.5;
        for (int key = 100; key < 200; key++) {
            f.serve(0, key);
        }
        int closeIdleCalls = f.host.closeIdleCalls;
        assertTrue(closeIdleCalls > 0, "servers that answer again had run out of connections");
        f.now += 200;
        f.serve(0, 1);
        assertEquals(closeIdleCalls, f.host.closeIdleCalls);
    }
}
