package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.Api.Outcome;

/** An origin that jams shows by fetches that are late, long before their time is up. */
class LateFetchTest {
    private static final int SERVERS = 60;

    /** Sends so many reads of unknown keys at once; returns their ids. */
    private static List<Long> reads(Fixture f, long from, int n) {
        List<Long> sent = new ArrayList<>();
        for (long key = from; key < from + n; key++) {
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
    void fetchesThatPassTheirAimShutTheGateBeforeTheirTimeIsUp() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(40);
        f.host.timers.clear();
        assertEquals(20, reads(f, 1000, 20).size());
        f.now += 0.51;
        fireTimers(f);
        int sent = reads(f, 2000, 100).size();
        assertTrue(sent < 60, sent + " of 100 were sent on to an origin that answered none of 20");
    }

    /** Guards against taking the balancer's own standstill for the origin's: the answers may lie there unread. */
    @Test
    void timersThatComeLateThemselvesDoNot() {
        Fixture f = Fixture.through(SERVERS);
        f.warm(40);
        f.host.timers.clear();
        reads(f, 1000, 20);
        f.now += 0.8;
        fireTimers(f);
        assertEquals(100, reads(f, 2000, 100).size());
    }

    /** Guards against a timer that outlives its request, and one that counts what was answered in time. */
    @Test
    void fetchesThatEndInTimeDoNot() {
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
