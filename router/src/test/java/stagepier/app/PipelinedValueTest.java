package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Prevents answers from being lost because the large value ahead of them on their connection breaks off. */
@Timeout(30)
class PipelinedValueTest {
    private static final int VALUE_BYTES = 100_000;
    private static final int FIRST_BYTES = 30_000;
    private static final int WAIT_MS = 1200;
    /** Half a second after its time a request without an answer is lost. */
    private static final int LOST_AFTER_MS = WAIT_MS + 500;

    private static void readBoth(Socket client) throws Exception {
        Rehearsal.write(
                client, "mg klarge v Olarge Pc=read,d=%d\r\nmg ksmall v Osmall Pc=read,d=3500\r\n".formatted(WAIT_MS));
    }

    /** Lets the cache server get both reads and write the start of the large value; returns its connection. */
    private static Socket startValue(RouterFixture router) throws Exception {
        Socket link = router.cache.accept();
        link.setSoTimeout(RouterProcess.WAIT_MS);
        BufferedReader asked = Rehearsal.reader(link);
        assertTrue(asked.readLine().startsWith("mg klarge "));
        assertTrue(asked.readLine().startsWith("mg ksmall "));
        Rehearsal.write(link, "VA " + VALUE_BYTES + " Olarge h1\r\n" + "x".repeat(FIRST_BYTES));
        router.awaitCount("executions_ok", 1);
        return link;
    }

    @Test
    void readBehindLargeValueIsAnsweredWhenTheServerDies() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket client = router.client()) {
            readBoth(client);
            startValue(router).close();
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("SERVER_ERROR failed", answers.readLine());
            assertEquals("SERVER_ERROR failed", answers.readLine());
            Rehearsal.write(client, "mn\r\n");
            assertEquals("MN", answers.readLine(), "the connection goes on");
        }
    }

    @Test
    void largeValueWithReadBehindItArrivesWhole() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket client = router.client()) {
            readBoth(client);
            Socket link = startValue(router);
            Rehearsal.write(client, "mn\r\n");
            Rehearsal.write(link, "x".repeat(VALUE_BYTES - FIRST_BYTES) + "\r\nVA 2 Osmall h1\r\nhi\r\n");
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("VA " + VALUE_BYTES + " Olarge", answers.readLine());
            assertEquals("x".repeat(VALUE_BYTES), answers.readLine());
            assertEquals("VA 2 Osmall", answers.readLine());
            assertEquals("hi", answers.readLine());
            assertEquals("MN", answers.readLine());
        }
    }

    @Test
    void readBehindValueThatStallsGetsItsAnswerAndTheValueFailsInTime() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket client = router.client()) {
            long from = System.nanoTime();
            readBoth(client);
            startValue(router);
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("SERVER_ERROR failed", answers.readLine());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            assertTrue(elapsedMs < LOST_AFTER_MS, "answered after " + elapsedMs + " ms");
            assertEquals("SERVER_ERROR failed", answers.readLine());
        }
    }
}
