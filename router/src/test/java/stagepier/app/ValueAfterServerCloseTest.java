package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.exchange.Reply;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.CommandParser;
import stagepier.memcache.RingBuffer;

/** A large value whose server link closes while received bytes still wait for room in the client's buffer. */
@Timeout(30)
class ValueAfterServerCloseTest {
    /** Larger than the buffer of a link, but smaller than two of them. */
    private static final int LENGTH = 100_000;

    /** Moves the bytes that are available and returns their number. */
    private static int moveAvailable(RouterFixture router, ValueFlow flow) throws Exception {
        return router.onLoop(() -> {
            RingBuffer to = new RingBuffer();
            return flow.moveTo(to);
        });
    }

    private static ValueFlow begin(RouterFixture router, Socket[] link) throws Exception {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        router.onLoop(() -> {
            RingBuffer ring = new RingBuffer();
            ring.put("mg k v Oa Pc=read,d=3500\r\n".getBytes(StandardCharsets.US_ASCII));
            return router.host.take((x, r) -> reply.complete(r), CommandParser.next(ring), Double.POSITIVE_INFINITY);
        });
        link[0] = router.cache.accept();
        link[0].setSoTimeout(RouterProcess.WAIT_MS);
        assertTrue(Rehearsal.reader(link[0]).readLine().startsWith("mg k "));
        Rehearsal.write(link[0], "VA " + LENGTH + " Oa h1\r\n" + "x".repeat(50_000));
        return reply.get(RouterProcess.WAIT_MS, TimeUnit.MILLISECONDS).flow();
    }

    /** Prevents truncation of a completely received value when the server closes the link directly after it. */
    @Test
    void receivedValueIsCompletedAfterServerClosesLink() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0)) {
            Socket[] link = new Socket[1];
            ValueFlow flow = begin(router, link);
            int moved = 0;
            while (moved < 50_000) {
                moved += moveAvailable(router, flow);
            }
            Rehearsal.write(link[0], "x".repeat(50_000) + "\r\n");
            link[0].shutdownOutput();
            assertEquals(-1, link[0].getInputStream().read(), "the router has detected the close and closed its side");
            assertFalse(flow.isFailed(), "value truncated");
            while (moved < LENGTH) {
                moved += moveAvailable(router, flow);
            }
            router.onLoop(() -> null);
            assertTrue(flow.isComplete());
            router.awaitServerLinks(0);
        }
    }

    /** An incomplete value must fail once its received bytes have been moved. */
    @Test
    void incompleteValueFailsOnceReceivedBytesAreMoved() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0)) {
            Socket[] link = new Socket[1];
            ValueFlow flow = begin(router, link);
            link[0].shutdownOutput();
            assertEquals(-1, link[0].getInputStream().read());
            int moved = moveAvailable(router, flow);
            assertEquals(50_000, moved);
            router.awaitServerLinks(0);
            assertTrue(flow.isFailed());
        }
    }
}
