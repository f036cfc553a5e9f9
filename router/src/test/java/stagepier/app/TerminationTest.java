package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SIGTERM while clients are active: the process exits in time with status 0, and no answer is lost. */
@Timeout(60)
class TerminationTest {
    /** Earliest time of SIGKILL after SIGTERM: the longest deadline plus 0.7 s. */
    private static final long EXIT_LIMIT_MS = 2700;

    @TempDir
    private Path folder;

    private StandInAgent agent;
    private StandInCache cache;
    private RouterProcess router;

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        cache = new StandInCache();
        router = new RouterProcess(folder, agent, StandInAgent.entry(1, cache.port(), "up"));
    }

    @AfterEach
    void stop() throws IOException {
        router.close();
        agent.close();
        cache.close();
    }

    private static String read(String id) {
        return "mg k" + id + " v O" + id + " Pc=read,t=x,d=1900\r\n";
    }

    private void assertExitsInTime(long from) throws InterruptedException {
        assertEquals(0, router.exitCode());
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(EXIT_LIMIT_MS), "exit was delayed");
    }

    @Test
    void secondSigtermHasNoEffect() throws Exception {
        try (Socket client = router.connect()) {
            BufferedReader answers = Rehearsal.reader(client);
            cache.hold(true);
            Rehearsal.write(client, read("a"));
            cache.awaitHeld(cache);
            long from = System.nanoTime();
            router.signal("TERM");
            router.signal("TERM");
            assertEquals("MN", router.ask("mn"), "not serving after SIGTERM");
            cache.hold(false);
            assertEquals(List.of("VA 2 Oa", "hi"), answers.lines().toList());
            assertExitsInTime(from);
        }
    }

    /** None of these clients closes its connection, so the router alone bounds the lifetime of each link. */
    @Test
    void idlePartialAndPipeliningClientsDoNotDelayExit() throws Exception {
        List<Socket> clients = new ArrayList<>();
        List<BufferedReader> answers = new ArrayList<>();
        try {
            for (int i = 0; i < 12; i++) {
                Socket client = router.connect();
                clients.add(client);
                answers.add(Rehearsal.reader(client));
                Rehearsal.write(client, "mn\r\n");
                assertEquals("MN", answers.get(i).readLine());
            }
            long from = System.nanoTime();
            router.signal("TERM");
            for (int i = 0; i < 12; i++) {
                Rehearsal.write(
                        clients.get(i),
                        i % 3 == 0
                                ? ""
                                : i % 3 == 1
                                        ? read("h" + i).substring(0, 9)
                                        : read("p" + i) + read("q" + i) + read("r" + i));
            }
            for (int i = 0; i < 12; i++) {
                List<String> received = answers.get(i).lines().toList();
                assertEquals(
                        i % 3 == 0
                                ? List.of()
                                : i % 3 == 1
                                        ? List.of("CLIENT_ERROR command not finished in time")
                                        : List.of("VA 2 Op" + i, "hi", "VA 2 Oq" + i, "hi", "VA 2 Or" + i, "hi"),
                        received);
            }
            assertExitsInTime(from);
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }
}
