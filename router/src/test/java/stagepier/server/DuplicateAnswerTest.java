package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/** A duplicate of an answer is never taken for the answer to the next request. */
@Timeout(30)
class DuplicateAnswerTest extends OneServerFixture {
    @Test
    void duplicateOnAnIdleLinkClosesTheLink() throws Exception {
        PoolFixture.CacheConnection connection = fixture.idleConnection(cache, "a");
        connection.answer("a");
        assertNull(connection.nextId());
        fixture.submit("b");
        PoolFixture.CacheConnection replacement = cache.accept();
        assertEquals("b", replacement.nextId());
        replacement.answer("b");
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
        assertEquals(0, fixture.pendingEnds());
    }

    @Test
    void duplicateAfterTheNextRequestEndsThatRequestAsOneThatMayHaveRun() throws Exception {
        PoolFixture.CacheConnection connection = fixture.idleConnection(cache, "a");
        fixture.submit("b");
        assertEquals("b", connection.nextId());
        connection.answer("a");
        assertEquals(Api.Outcome.ERROR, fixture.nextOutcome());
        assertNull(connection.nextId());
        assertEquals(0, fixture.pendingEnds());
    }

    /**
     * A refusal carries no request id. A duplicate of it, taken for the refusal of the next write, would claim that a
     * running write never ran.
     */
    @Test
    void duplicateRefusalIsNotTakenForARefusalOfTheNextRequest() throws Exception {
        fixture.submit("a");
        PoolFixture.CacheConnection connection = cache.accept();
        assertEquals("a", connection.nextId());
        connection.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, fixture.nextOutcome());
        fixture.submit("b");
        assertEquals("b", connection.nextId());
        fixture.advance(0.01);
        connection.write("SERVER_ERROR busy\r\n");
        assertFalse(fixture.nextOutcome().neverRan());
        assertNull(connection.nextId(), "a later answer on this link would be ambiguous");
        assertEquals(0, fixture.pendingEnds());
    }

    @Test
    void laterRefusalAppliesToTheNextRequest() throws Exception {
        fixture.submit("a");
        PoolFixture.CacheConnection connection = cache.accept();
        assertEquals("a", connection.nextId());
        connection.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, fixture.nextOutcome());
        fixture.advance(0.1);
        fixture.submit("b");
        assertEquals("b", connection.nextId());
        connection.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, fixture.nextOutcome());
        assertEquals(0, fixture.pendingEnds());
    }

    @Test
    void truncatedAnswerEndsItsRequestOnceAsOneThatMayHaveRun() throws Exception {
        PoolFixture.CacheConnection connection = fixture.idleConnection(cache, "a");
        fixture.submit("b");
        assertEquals("b", connection.nextId());
        connection.write("HD O");
        connection.socket.close();
        assertEquals(Api.Outcome.RESET, fixture.nextOutcome());
        fixture.awaitPoll();
        assertEquals(0, fixture.pendingEnds());
    }
}
