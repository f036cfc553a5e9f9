package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/** Whatever holds a repeat up, not a byte of it goes out once the window is over in which its cache server drops it. */
@Timeout(30)
class LatestStartTest extends OneServerFixture {
    /** The first that the cache server sees is the one asked last. */
    private void assertNotSent(PoolBench.Conversation on) throws Exception {
        assertEquals(Api.Outcome.NOT_SENT, bench.nextOutcome());
        bench.ask("last");
        assertEquals("last", on.nextId());
        on.answer("last");
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
        assertEquals(0, bench.endsLeft());
    }

    @Test
    void aRepeatOnALinkThatComesUpTooLateIsNotSent() throws Exception {
        bench.holdConnections();
        bench.on(() -> bench.ask("late", 1, 0.3));
        bench.pass(0.3);
        bench.letConnections();
        assertNotSent(cache.accept());
    }

    @Test
    void aRepeatOnALinkThatComesUpInTimeIsSent() throws Exception {
        bench.holdConnections();
        bench.on(() -> bench.ask("late", 1, 60));
        bench.pass(0.3);
        bench.letConnections();
        PoolBench.Conversation on = cache.accept();
        assertEquals("late", on.nextId());
        on.answer("late");
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
    }

    @Test
    void aRepeatThatWaitsForTheListTooLongIsNotSent() throws Exception {
        bench.holdConnections();
        bench.on(() -> bench.ask("late", 1, 2));
        bench.on(() -> {
            bench.standStill();
            return null;
        });
        bench.letConnections();
        PoolBench.Conversation on = cache.accept();
        bench.awaitListAsked();
        bench.pass(2);
        bench.on(bench::listCame);
        assertNotSent(on);
    }

    /** A twentieth of the window, 15 ms at the least, are kept for the way. */
    @Test
    void theWayToTheServerIsKeptBack() throws Exception {
        bench.on(() -> bench.ask("late", 1, PoolBench.WINDOW * 0.04));
        assertEquals(Api.Outcome.NOT_SENT, bench.nextOutcome());
        assertEquals(0, bench.counter("server_links_opened"));
    }
}
