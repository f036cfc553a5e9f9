package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Where a cache server has only so many requests of one connection in work, what is beyond waits here, where it can be withdrawn. */
@Timeout(30)
class StreamsTest {
    /** Guards against a request that waits at its server behind another, and begins there after its client has its final answer. */
    @Test
    void whatIsBeyondTheRequestsInWorkIsNotSentBeforeOneIsAnswered() throws Exception {
        try (CrossingFixture p = new CrossingFixture(false, 0, 1);
                Socket first = p.client();
                Socket last = p.client()) {
            CrossingFixture.read(first, "a");
            Socket link = p.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg ka "));
            Socket leaves = p.client();
            CrossingFixture.read(leaves, "b");
            p.awaitCount("requests", 2);
            CrossingFixture.read(last, "c");
            p.awaitCount("requests", 3);
            leaves.close();
            p.awaitCount("requests_client_gone", 1);
            Rehearsal.write(link, "VA 2 Oa h1\r\nhi\r\n");
            assertEquals("VA 2 Oa", Rehearsal.reader(first).readLine());
            assertTrue(asked.readLine().startsWith("mg kc "), "b was sent though its client has gone");
            Rehearsal.write(link, "VA 2 Oc h1\r\nhi\r\n");
            assertEquals("VA 2 Oc", Rehearsal.reader(last).readLine());
        }
    }
}
