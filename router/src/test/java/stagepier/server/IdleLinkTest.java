package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stagepier.Api;

/**
 * A write is never sent on a link that has been idle for too long, that is closed, or on which unrequested bytes have
 * arrived.
 */
@Timeout(30)
class IdleLinkTest extends OneServerFixture {
    /** What a cache server does to an idle connection. */
    private enum ServerAction {
        CLOSE,
        RESET,
        DUPLICATE_ANSWER,
        BUSY,
        PARTIAL_LINE,
        PARTIAL_VALUE
    }

    /**
     * Checks that the next write arrives on another connection and is answered there, and that the old connection is
     * closed with nothing sent on it.
     */
    private void assertSentOnAnotherLink(PoolFixture.CacheConnection idle) throws Exception {
        PoolFixture.CacheConnection replacement = cache.accept();
        assertEquals("b", replacement.nextId());
        replacement.answer("b");
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
        assertEquals(0, fixture.pendingEnds());
        if (!idle.socket.isClosed()) {
            assertNull(idle.nextId());
        }
    }

    @Test
    void linkPastItsIdleTimeIsNotUsed() throws Exception {
        PoolFixture.CacheConnection idle = fixture.idleConnection(cache, "a");
        fixture.onLoop(() -> {
            // In one task of the event loop, so that the sweep cannot run in between.
            fixture.advance(PoolFixture.IDLE * 0.9);
            return fixture.submit("b", 1, Double.POSITIVE_INFINITY);
        });
        assertSentOnAnotherLink(idle);
    }

    @Test
    void linkThatPassesItsIdleTimeWhileAWriteWaitsForTheServerListIsNotUsed() throws Exception {
        PoolFixture.CacheConnection idle = fixture.idleConnection(cache, "a");
        fixture.onLoop(() -> {
            fixture.beforeSend(fixture::simulateStall);
            fixture.submit("b", 1, Double.POSITIVE_INFINITY);
            fixture.advance(PoolFixture.IDLE * 0.9);
            return fixture.deliverList();
        });
        assertSentOnAnotherLink(idle);
    }

    @ParameterizedTest
    @EnumSource
    void unreadInputIsProcessedBeforeAWriteIsSent(ServerAction action) throws Exception {
        PoolFixture.CacheConnection idle = fixture.idleConnection(cache, "a");
        CountDownLatch taskStarted = new CountDownLatch(1);
        CountDownLatch actionDone = new CountDownLatch(1);
        fixture.loop.execute(() -> {
            taskStarted.countDown();
            try {
                actionDone.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            // The event loop has not polled for input since.
            fixture.submit("b", 1, Double.POSITIVE_INFINITY);
        });
        taskStarted.await();
        switch (action) {
            case CLOSE -> idle.socket.close();
            case RESET -> {
                idle.socket.setSoLinger(true, 0);
                idle.socket.close();
            }
            case DUPLICATE_ANSWER -> idle.answer("a");
            case BUSY -> idle.write("SERVER_ERROR busy\r\n");
            case PARTIAL_LINE -> idle.write("HD O");
            default -> idle.write("VA 20000 Oa h1\r\nxy");
        }
        actionDone.countDown();
        assertSentOnAnotherLink(idle);
    }
}
