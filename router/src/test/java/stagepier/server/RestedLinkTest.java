package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stagepier.Api;

/** A write never goes on a link that has rested too long, that is closed, or on which something came that nobody asked for. */
@Timeout(30)
class RestedLinkTest extends OneServerFixture {
    /** What a cache server does to a connection that rests. */
    private enum Act {
        SHUT,
        RESET,
        ANSWER_AGAIN,
        BUSY,
        HALF_A_LINE,
        HALF_A_VALUE
    }

    /** The next write comes on another connection and is answered; the old one is closed with nothing on it. */
    private void assertGoesElsewhere(PoolBench.Conversation old) throws Exception {
        PoolBench.Conversation fresh = cache.accept();
        assertEquals("b", fresh.nextId());
        fresh.answer("b");
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
        assertEquals(0, bench.endsLeft());
        if (!old.socket.isClosed()) {
            assertNull(old.nextId());
        }
    }

    @Test
    void aLinkIsNotWrittenToAtItsIdleTime() throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        bench.on(() -> {
            // In one turn of the loop: the sweep cannot come between.
            bench.pass(PoolBench.IDLE * 0.9);
            return bench.ask("b", 1, Double.POSITIVE_INFINITY);
        });
        assertGoesElsewhere(old);
    }

    @Test
    void aLinkThatReachesItsIdleTimeWhileAWriteWaitsForTheListIsNotWrittenTo() throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        bench.on(() -> {
            bench.beforeSend(bench::standStill);
            bench.ask("b", 1, Double.POSITIVE_INFINITY);
            bench.pass(PoolBench.IDLE * 0.9);
            return bench.listCame();
        });
        assertGoesElsewhere(old);
    }

    @ParameterizedTest
    @EnumSource
    void whatLiesInTheSocketIsSeenBeforeAWriteIsSent(Act act) throws Exception {
        PoolBench.Conversation old = bench.rested(cache, "a");
        CountDownLatch inTask = new CountDownLatch(1);
        CountDownLatch acted = new CountDownLatch(1);
        bench.loop.execute(() -> {
            inTask.countDown();
            try {
                acted.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            // The loop has not looked for input since.
            bench.ask("b", 1, Double.POSITIVE_INFINITY);
        });
        inTask.await();
        switch (act) {
            case SHUT -> old.socket.close();
            case RESET -> {
                old.socket.setSoLinger(true, 0);
                old.socket.close();
            }
            case ANSWER_AGAIN -> old.answer("a");
            case BUSY -> old.write("SERVER_ERROR busy\r\n");
            case HALF_A_LINE -> old.write("HD O");
            default -> old.write("VA 20000 Oa h1\r\nxy");
        }
        acted.countDown();
        assertGoesElsewhere(old);
    }
}
