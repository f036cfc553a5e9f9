package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api.Outcome;

/** An overloaded origin is detected by late fetches, long before they time out. */
class LateFetchTest {
    private static final int SERVERS = 60;

    /** Sends {@code count} reads of unknown keys at once; returns the ids of those not refused. */
    private static List<Long> reads(Fixture f, long from, int count) {
        List<Long> sent = new ArrayList<>();
        for (long key = from; key < from + count; key++) {
            long id = f.request(0, key);
            if (!f.host.refused.contains(id)) {
                sent.add(id);
            }
        }
        return sent;
    }

    private static void fireTimers(Fixture f) {
        List<ScriptedHost.Timer> due = List.copyOf(f.host.timers);
        f.host.timers.clear();
        due.forEach(t -> f.policy.onTimer(f.now, t.token()));
    }

    @Test
    void fetchesLaterThanTheirTargetShutTheGateBeforeTheyTimeOut() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(40);
        f.host.timers.clear();
        assertEquals(20, reads(f, 1000, 20).size());
        f.now += 0.51;
        fireTimers(f);
        int sent = reads(f, 2000, 100).size();
        assertTrue(sent < 60, sent + " of 100 reads were sent although the origin had answered none of 20");
    }

    /** A pause of the router itself must not be attributed to the origin, whose answers may be waiting unread. */
    @Test
    void lateTimersDoNotShutTheGate() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(40);
        f.host.timers.clear();
        reads(f, 1000, 20);
        f.now += 0.8;
        fireTimers(f);
        assertEquals(100, reads(f, 2000, 100).size());
    }

    /** A timer that fires after its request has ended must not count an answer that was in time as late. */
    @Test
    void fetchesThatEndInTimeDoNotShutTheGate() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(40);
        for (long id : reads(f, 1000, 20)) {
            f.outcome(
                    id,
                    0,
                    f.host.sends.stream()
                            .filter(s -> s.request() == id)
                            .findFirst()
                            .orElseThrow()
                            .server(),
                    Outcome.OK,
                    0.05);
        }
        f.now += 0.51;
        fireTimers(f);
        assertEquals(100, reads(f, 2000, 100).size());
    }
}
