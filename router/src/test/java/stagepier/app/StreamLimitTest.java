package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * If a cache server limits the concurrent requests of a connection, further requests wait in the router, which can
 * cancel them.
 */
@Timeout(30)
class StreamLimitTest {
    /**
     * Prevents a request from waiting at its server and starting there after its client has received the final answer.
     */
    @Test
    void requestBeyondLimitIsNotSentBeforeAnAnswer() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0, 1);
                Socket first = router.client();
                Socket last = router.client()) {
            RouterFixture.read(first, "a");
            Socket link = router.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg ka "));
            Socket leaving = router.client();
            RouterFixture.read(leaving, "b");
            router.awaitCount("requests", 2);
            RouterFixture.read(last, "c");
            router.awaitCount("requests", 3);
            leaving.close();
            router.awaitCount("requests_client_gone", 1);
            Rehearsal.write(link, "VA 2 Oa h1\r\nhi\r\n");
            assertEquals("VA 2 Oa", Rehearsal.reader(first).readLine());
            assertTrue(asked.readLine().startsWith("mg kc "), "b was sent although its client disconnected");
            Rehearsal.write(link, "VA 2 Oc h1\r\nhi\r\n");
            assertEquals("VA 2 Oc", Rehearsal.reader(last).readLine());
        }
    }
}
