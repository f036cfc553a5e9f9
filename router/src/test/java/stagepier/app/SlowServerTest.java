package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Prevents a final answer from coming late because a cache server reads a large request slowly. */
@Timeout(30)
class SlowServerTest {
    private static final int VALUE_BYTES = 60_000;
    private static final int SERVER_BUFFER_BYTES = 4096;
    private static final int WAIT_MS = 700;
    /** Half a second after its time a request without an answer is lost. */
    private static final int LOST_AFTER_MS = WAIT_MS + 500;

    @Test
    void requestThatItsServerReadsSlowlyIsAnsweredInTime() throws Exception {
        try (RouterFixture router = new RouterFixture(false, SERVER_BUFFER_BYTES);
                Socket client = router.client()) {
            long from = System.nanoTime();
            Rehearsal.write(
                    client,
                    "ms kput %d Oput Pc=put,d=%d,k=1\r\n%s\r\n"
                            .formatted(VALUE_BYTES, WAIT_MS, "x".repeat(VALUE_BYTES)));
            Socket link = router.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            assertTrue(Rehearsal.reader(link).readLine().startsWith("ms kput "));
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("SERVER_ERROR failed", answers.readLine());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            assertTrue(elapsedMs < LOST_AFTER_MS, "answered after " + elapsedMs + " ms");
        }
    }
}
