package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Prevents clients that read their answers slowly, but without a rest, from being closed as if they did not read. */
@Timeout(60)
class SteadyReaderTest {
    private static final int READS = 100;
    private static final int VALUE_BYTES = 60_000;
    private static final int BYTES_PER_SECOND = 200_000;
    private static final int STEP_BYTES = 10_000;
    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1) * STEP_BYTES / BYTES_PER_SECOND;
    /** Longer than twice the time after which a client that reads nothing is closed. */
    private static final int READ_FOR_SECONDS = 10;

    private static void serve(Socket link) throws IOException {
        BufferedReader asked = Rehearsal.reader(link);
        String value = "v".repeat(VALUE_BYTES) + "\r\n";
        for (String line = asked.readLine(); line != null; line = asked.readLine()) {
            String id = line.substring(line.indexOf(" O"), line.indexOf(" P"));
            Rehearsal.write(link, "VA " + VALUE_BYTES + id + " h1\r\n" + value);
        }
    }

    private static void acceptAndServe(RouterFixture router) throws IOException {
        while (true) {
            Socket link = router.cache.accept();
            Rehearsal.daemon(() -> serve(link));
        }
    }

    /** Reads at the rate, by the clock; returns the number of bytes. */
    private static long readSteadily(Socket client) throws Exception {
        InputStream in = client.getInputStream();
        long from = System.nanoTime();
        long total = 0;
        for (int step = 1; step * STEP_NANOS < TimeUnit.SECONDS.toNanos(READ_FOR_SECONDS); step++) {
            int n = in.readNBytes(STEP_BYTES).length;
            assertEquals(STEP_BYTES, n, "closed after " + total + " bytes");
            total += n;
            TimeUnit.NANOSECONDS.sleep(from + step * STEP_NANOS - System.nanoTime());
        }
        return total;
    }

    /** Guards the other side: a client that reads nothing must still give its slot back. */
    @Test
    void clientThatReadsNothingIsClosed() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket client = router.client()) {
            Rehearsal.daemon(() -> acceptAndServe(router));
            for (int i = 0; i < READS; i++) {
                RouterFixture.read(client, "r" + i);
            }
            router.awaitClientLinks(1);
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READ_FOR_SECONDS);
            while (router.clientLinks() > 0) {
                assertTrue(System.nanoTime() < until, "still open");
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    @Test
    void clientThatReadsSlowlyWithoutARestGetsAllItsAnswers() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket client = router.client()) {
            Rehearsal.daemon(() -> acceptAndServe(router));
            for (int i = 0; i < READS; i++) {
                RouterFixture.read(client, "r" + i);
            }
            long read = readSteadily(client);
            // The rest comes as fast as it can be read.
            String last = "";
            BufferedReader answers = Rehearsal.reader(client);
            for (String line = ""; !last.contains("Or" + (READS - 1)); line = answers.readLine()) {
                assertTrue(line != null, "closed after " + read + " bytes and " + last);
                last = line.startsWith("VA ") ? line : last;
            }
        }
    }
}
