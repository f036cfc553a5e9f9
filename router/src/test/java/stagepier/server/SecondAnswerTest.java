package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/** A second answer that comes after the first one is never the answer to what was asked next. */
@Timeout(30)
class SecondAnswerTest extends OneServerFixture {
    @Test
    void onALinkThatRestsItEndsTheLink() throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        old.answer("a");
        assertNull(old.nextId());
        bench.ask("b");
        PoolBench.Conversation fresh = cache.accept();
        assertEquals("b", fresh.nextId());
        fresh.answer("b");
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
        assertEquals(0, bench.endsLeft());
    }

    @Test
    void behindWhatWasAskedNextItEndsThatAsOneThatMayHaveRun() throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        bench.ask("b");
        assertEquals("b", old.nextId());
        old.answer("a");
        assertEquals(Api.Outcome.ERROR, bench.nextOutcome());
        assertNull(old.nextId());
        assertEquals(0, bench.endsLeft());
    }

    /** Guards against a refusal, which names no request: it would tell that a write which runs never ran. */
    @Test
    void aSecondRefusalIsNotTakenForOneOfWhatWasAskedNext() throws Exception {
        bench.ask("a");
        PoolBench.Conversation old = cache.accept();
        assertEquals("a", old.nextId());
        old.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, bench.nextOutcome());
        bench.ask("b");
        assertEquals("b", old.nextId());
        bench.pass(0.01);
        old.write("SERVER_ERROR busy\r\n");
        assertFalse(bench.nextOutcome().neverRan());
        assertNull(old.nextId(), "its own answer could not be told apart");
        assertEquals(0, bench.endsLeft());
    }

    @Test
    void aRefusalThatComesLaterIsOne() throws Exception {
        bench.ask("a");
        PoolBench.Conversation old = cache.accept();
        assertEquals("a", old.nextId());
        old.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, bench.nextOutcome());
        bench.pass(0.1);
        bench.ask("b");
        assertEquals("b", old.nextId());
        old.write("SERVER_ERROR busy\r\n");
        assertEquals(Api.Outcome.FULL, bench.nextOutcome());
        assertEquals(0, bench.endsLeft());
    }

    @Test
    void anAnswerThatBreaksOffEndsOnceAsOneThatMayHaveRun() throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        bench.ask("b");
        assertEquals("b", old.nextId());
        old.write("HD O");
        old.socket.close();
        assertEquals(Api.Outcome.RESET, bench.nextOutcome());
        bench.turn();
        assertEquals(0, bench.endsLeft());
    }
}
