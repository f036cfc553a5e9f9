package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/**
 * However long a repeat is delayed, no byte of it may be sent after the window in which its cache server drops
 * duplicates.
 */
@Timeout(30)
class LatestStartTest extends OneServerFixture {
    /**
     * Checks that the attempt ends unsent: the first request that the cache server receives is the one submitted last.
     */
    private void assertNotSent(PoolFixture.CacheConnection connection) throws Exception {
        assertEquals(Api.Outcome.NOT_SENT, fixture.nextOutcome());
        fixture.submit("last");
        assertEquals("last", connection.nextId());
        connection.answer("last");
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
        assertEquals(0, fixture.pendingEnds());
    }

    @Test
    void repeatIsNotSentWhenItsLinkComesUpTooLate() throws Exception {
        fixture.holdConnections();
        fixture.onLoop(() -> fixture.submit("late", 1, 0.3));
        fixture.advance(0.3);
        fixture.releaseConnections();
        assertNotSent(cache.accept());
    }

    @Test
    void repeatIsSentWhenItsLinkComesUpInTime() throws Exception {
        fixture.holdConnections();
        fixture.onLoop(() -> fixture.submit("late", 1, 60));
        fixture.advance(0.3);
        fixture.releaseConnections();
        PoolFixture.CacheConnection connection = cache.accept();
        assertEquals("late", connection.nextId());
        connection.answer("late");
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
    }

    @Test
    void repeatIsNotSentWhenTheServerListArrivesTooLate() throws Exception {
        fixture.holdConnections();
        fixture.onLoop(() -> fixture.submit("late", 1, 2));
        fixture.onLoop(() -> {
            fixture.simulateStall();
            return null;
        });
        fixture.releaseConnections();
        PoolFixture.CacheConnection connection = cache.accept();
        fixture.awaitListRequested();
        fixture.advance(2);
        fixture.onLoop(fixture::deliverList);
        assertNotSent(connection);
    }

    /** A twentieth of the window, at least 15 ms, is reserved for the transmission. */
    @Test
    void timeForTransmissionIsReserved() throws Exception {
        fixture.onLoop(() -> fixture.submit("late", 1, PoolFixture.WINDOW * 0.04));
        assertEquals(Api.Outcome.NOT_SENT, fixture.nextOutcome());
        assertEquals(0, fixture.counter("server_links_opened"));
    }
}
