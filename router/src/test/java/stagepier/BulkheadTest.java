package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class BulkheadTest {
    /** A minimum of 2 refused 40% of requests in the first seconds after a start under high load. */
    private static final int MIN_TICKETS = 12;

    @Test
    void capNeverFallsBelowItsMinimumAndGrowsWithMeanConcurrency() {
        assertEquals(MIN_TICKETS, Bulkhead.cap(0));
        assertEquals(15, Bulkhead.cap(4.2));
        assertEquals(183, Bulkhead.cap(126));
    }

    /** Returns distinct keys of one owner, since a single key requested so often would be spread as a hot key. */
    private static long[] keysOfOneOwner(int servers, int count) {
        Fixture f = Fixture.through(servers);
        return LongStream.iterate(1, k -> k + 1)
                .filter(k -> {
                    f.request(0, k);
                    long owner = f.host.last().server();
                    f.now += 0.01;
                    f.outcome(f.host.last().request(), 0, owner, Api.Outcome.OK, 0.01);
                    return owner == 1;
                })
                .limit(count)
                .toArray();
    }

    @Test
    void sendBeyondTheCapGoesToTheNextRingServerImmediately() {
        Fixture f = Fixture.through(2);
        long[] keys = keysOfOneOwner(2, MIN_TICKETS + 4);
        for (long key : keys) {
            f.request(0, key);
        }
        assertEquals(keys.length, f.host.sends.size(), "all requests are sent within the same event");
        assertEquals(
                MIN_TICKETS, f.host.sends.stream().filter(s -> s.server() == 1).count());
        assertEquals(2, f.host.last().server());
    }

    /** Prevents queueing at the owner while the next ring server is idle; only one further server is tried. */
    @Test
    void requestMovesFromARandomlyBusyServerToTheNextOneOnly() {
        Fixture f = Fixture.through(2);
        for (long key : keysOfOneOwner(2, 7)) {
            f.request(0, key);
        }
        List<Long> servers =
                f.host.sends.stream().map(ScriptedHost.Sent::server).toList();
        assertEquals(List.of(1L, 1L, 1L, 2L, 2L, 2L, 1L), servers, "with both busy, the owner is used again");
    }

    @Test
    void whenAllServersAreFullRequestsAreRefusedWithARetryAfterInTheLimit() {
        Fixture f = Fixture.through(2);
        for (int i = 0; i < 2 * MIN_TICKETS + 2; i++) {
            f.request(0, 77);
        }
        assertEquals(2 * MIN_TICKETS, f.host.sends.size());
        assertEquals(2, f.host.refused.size());
        for (double after : f.host.retryAfters) {
            assertEquals(true, after > 0 && after <= 0.75);
        }
    }

    @Test
    void requestIsRefusedWhenThereAreNoServers() {
        Fixture f = Fixture.through(0);
        f.request(0, 77);
        assertEquals(1, f.host.refused.size());
    }
}
