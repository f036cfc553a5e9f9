package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server that starts to drain while a request to it is partly written: the request is completed. */
@Timeout(30)
class DrainedLinkTest {
    private static final int LONG_LENGTH = 60_000;
    /** Buffer size of the sockets, much smaller than a long request. */
    private static final int BUFFER_BYTES = 4096;

    /** Prevents the loss of answers because a long request behind them is partly written. */
    @Test
    void partlyWrittenRequestIsCompletedAndEarlierAnswersArrive() throws Exception {
        try (RouterFixture router = new RouterFixture(false, BUFFER_BYTES);
                Socket reads = router.client();
                Socket writes = router.client()) {
            RouterFixture.read(reads, "first");
            Socket link = router.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg kfirst "));
            Rehearsal.write(
                    writes,
                    "ms kput " + LONG_LENGTH + " Oput Pc=put,d=3500,k=1\r\n" + "x".repeat(LONG_LENGTH) + "\r\n");
            router.awaitCount("requests", 2);
            // The first line has arrived; the rest exceeds the buffers.
            assertTrue(asked.readLine().startsWith("ms kput "));
            router.onLoop(() -> {
                router.servers.retire(RouterFixture.SERVER);
                return null;
            });
            Rehearsal.write(link, "VA 2 Ofirst h1\r\nhi\r\n");
            BufferedReader answer = Rehearsal.reader(reads);
            assertEquals("VA 2 Ofirst", answer.readLine());
            assertEquals(LONG_LENGTH, asked.readLine().length());
            Rehearsal.write(link, "HD Oput c7\r\n");
            assertEquals("HD Oput c7", Rehearsal.reader(writes).readLine());
        }
    }
}
