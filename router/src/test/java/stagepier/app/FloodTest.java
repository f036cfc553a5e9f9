package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Prevents one client that sends at full speed from starving the others or from filling the heap. */
@Timeout(60)
class FloodTest {
    private static final int FLOOD_SECONDS = 4;
    private static final int COMMANDS_AT_ONCE = 100;
    private static final int WAIT_MS = 1900;
    /** Half a second after its time a request without an answer is lost. */
    private static final int LOST_AFTER_MS = WAIT_MS + 500;
    /** The heap that the command of the deploy file gives a router. */
    private static final Map<String, String> HEAP = Map.of("JAVA_TOOL_OPTIONS", "-Xmx64m -XX:+UseSerialGC");

    @TempDir
    Path folder;

    private StandInAgent agent;
    private StandInCache cache;
    private RouterProcess router;
    private final AtomicLong flooded = new AtomicLong();

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        cache = new StandInCache();
        router = new RouterProcess(folder, agent, HEAP, StandInAgent.entry(1, cache.port(), "up"));
        StandInAgent.await(this::isServing);
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
        cache.close();
        agent.close();
    }

    private boolean isServing() {
        try {
            return "MN".equals(router.ask("mn"));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Sends commands without a pause on one connection, and reads what comes back. */
    private Socket flood(LongFunction<String> command) throws Exception {
        Socket client = router.connect();
        client.setSoTimeout(0);
        Rehearsal.daemon(() -> client.getInputStream().transferTo(OutputStream.nullOutputStream()));
        Rehearsal.daemon(() -> {
            while (true) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
                    text.append(command.apply(flooded.incrementAndGet()));
                }
                client.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
        });
        return client;
    }

    private void assertOthersAreAnsweredDuring(LongFunction<String> command) throws Exception {
        Socket flooding = flood(command);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_SECONDS);
        try (Socket usual = router.connect()) {
            BufferedReader answers = Rehearsal.reader(usual);
            for (int i = 0; System.nanoTime() < until; i++) {
                long from = System.nanoTime();
                Rehearsal.write(usual, "mg k%d v Ou%d Pc=read,d=%d\r\n".formatted(i, i, WAIT_MS));
                String answer = answers.readLine();
                assertNotNull(answer, "connection ended");
                if (answer.startsWith("VA ")) {
                    answers.readLine();
                }
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
                assertTrue(elapsedMs < LOST_AFTER_MS, "answered after " + elapsedMs + " ms");
            }
        }
        flooding.close();
        assertTrue(isServing());
        assertFalse(router.log().contains("OutOfMemoryError"), router.log());
    }

    @Test
    void readsUnderEverNewIdsAndKeys() throws Exception {
        assertOthersAreAnsweredDuring(n -> "mg f%d v Of%d Pc=read,d=1900\r\n".formatted(n, n));
    }

    @Test
    void readsOfTenantsThatDoNotExist() throws Exception {
        assertOthersAreAnsweredDuring(n -> "mg f%d v Of%d Pc=read,t=tenant%d,d=1900\r\n".formatted(n, n, n));
    }

    @Test
    void commandsThatCannotBeForwarded() throws Exception {
        assertOthersAreAnsweredDuring(
                n -> n % 2 == 0 ? "what%d\r\n".formatted(n) : "mg f%d v Pc=c%d\r\n".formatted(n, n));
    }
}
