package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server that drains while a request to it is half written: what has begun goes on. */
@Timeout(30)
class DrainedLinkTest {
    private static final int LONG = 60_000;
    /** Bytes that the sockets hold: far less than a long request. */
    private static final int HELD = 4096;

    /** Guards against answers that are cut off because a long request behind them was on its way. */
    @Test
    void aHalfWrittenRequestIsFinishedAndTheAnswersBeforeItCome() throws Exception {
        try (CrossingFixture p = new CrossingFixture(false, HELD);
                Socket reads = p.client();
                Socket writes = p.client()) {
            CrossingFixture.read(reads, "first");
            Socket link = p.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg kfirst "));
            Rehearsal.write(writes, "ms kput " + LONG + " Oput Pc=put,d=3500,k=1\r\n" + "x".repeat(LONG) + "\r\n");
            p.awaitCount("requests", 2);
            // The head is there, the rest does not fit.
            assertTrue(asked.readLine().startsWith("ms kput "));
            p.onLoop(() -> {
                p.servers.retire(CrossingFixture.SERVER);
                return null;
            });
            Rehearsal.write(link, "VA 2 Ofirst h1\r\nhi\r\n");
            BufferedReader answer = Rehearsal.reader(reads);
            assertEquals("VA 2 Ofirst", answer.readLine());
            assertEquals(LONG, asked.readLine().length());
            Rehearsal.write(link, "HD Oput c7\r\n");
            assertEquals("HD Oput c7", Rehearsal.reader(writes).readLine());
        }
    }
}
