package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class BulkheadTest {
    /** Guards against a start at which most is turned away: with two, 40% was in the first seconds of a busy day. */
    private static final int FLOOR = 12;

    @Test
    void capNeverFallsBelowTheFloorAndGrowsWithUsualConcurrency() {
        assertEquals(FLOOR, Bulkhead.cap(0));
        assertEquals(15, Bulkhead.cap(4.2));
        assertEquals(183, Bulkhead.cap(126));
    }

    /** Keys of one owner: a single one asked for so often would be spread for its heat. */
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
    void aSendPastTheCapGoesToTheNextRingServerAtOnce() {
        Fixture f = Fixture.through(2);
        long[] keys = keysOfOneOwner(2, FLOOR + 4);
        for (long key : keys) {
            f.request(0, key);
        }
        assertEquals(keys.length, f.host.sends.size(), "spilled within the same event");
        assertEquals(FLOOR, f.host.sends.stream().filter(s -> s.server() == 1).count());
        assertEquals(2, f.host.last().server());
    }

    /** Guards against waiting at the owner while the next ring server has nothing to do: only one more is asked. */
    @Test
    void aServerBusyByChanceYieldsToTheNextOneAndNoFurther() {
        Fixture f = Fixture.through(2);
        for (long key : keysOfOneOwner(2, 7)) {
            f.request(0, key);
        }
        List<Long> servers =
                f.host.sends.stream().map(ScriptedHost.Sent::server).toList();
        assertEquals(List.of(1L, 1L, 1L, 2L, 2L, 2L, 1L), servers, "both busy: back at the owner");
    }

    @Test
    void withTheRingExhaustedTheRequestIsRefusedWithinWhatClientsFollow() {
        Fixture f = Fixture.through(2);
        for (int i = 0; i < 2 * FLOOR + 2; i++) {
            f.request(0, 77);
        }
        assertEquals(2 * FLOOR, f.host.sends.size());
        assertEquals(2, f.host.refused.size());
        for (double after : f.host.retryAfters) {
            assertEquals(true, after > 0 && after <= 0.75);
        }
    }

    @Test
    void anEmptyFleetRefuses() {
        Fixture f = Fixture.through(0);
        f.request(0, 77);
        assertEquals(1, f.host.refused.size());
    }
}
