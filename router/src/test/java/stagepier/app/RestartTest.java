package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A planned restart as clients see it on open and on new connections, from SIGTERM to the exit. */
@Timeout(60)
class RestartTest {
    private static final String BUSY = "SERVER_ERROR busy";
    /** Period after SIGTERM in which the router serves as before. */
    private static final long GRACE_MS = 700;

    @TempDir
    private Path folder;

    private StandInAgent agent;
    private StandInCache cache;
    private RouterProcess router;
    private long terminatedAt;

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

    private void terminate() {
        terminatedAt = System.nanoTime();
        router.process().destroy();
    }

    /** Waits until the given time after SIGTERM. */
    private void awaitAfterTerm(long ms) throws InterruptedException {
        long left = ms - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedAt);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, left));
    }

    private static void ask(Socket client, String id) throws IOException {
        Rehearsal.write(client, read(id));
    }

    private static String read(String id) {
        return "mg k" + id + " v O" + id + " Pc=read,t=x,d=1900\r\n";
    }

    /** One request is open at the end of the grace period; more follow behind it, one of them in two writes. */
    @Test
    void requestsBehindOpenRequestAreRefusedAndLinkClosesAfterAnswers() throws Exception {
        try (Socket client = router.connect();
                Socket half = router.connect()) {
            BufferedReader answers = Rehearsal.reader(client);
            ask(client, "first");
            readServed(answers, "first");
            cache.hold(true);
            ask(client, "open");
            cache.awaitHeld(cache);
            terminate();
            awaitAfterTerm(GRACE_MS - 200);
            Rehearsal.write(half, "mn\r\n" + read("half").substring(0, 12));
            awaitAfterTerm(GRACE_MS + 150);
            ask(client, "a");
            Rehearsal.write(client, read("b") + read("c").substring(0, 9));
            Rehearsal.write(half, read("half").substring(12));
            BufferedReader halfAnswers = Rehearsal.reader(half);
            assertEquals("MN", halfAnswers.readLine());
            assertTrue(halfAnswers.readLine().startsWith(BUSY), "expected an immediate refusal");
            assertNull(halfAnswers.readLine(), "link not closed");
            Rehearsal.write(client, read("c").substring(9));
            cache.hold(false);
            readServed(answers, "open");
            for (int i = 0; i < 3; i++) {
                assertTrue(String.valueOf(answers.readLine()).startsWith(BUSY));
            }
            assertNull(answers.readLine(), "link not closed");
        }
        assertEquals(0, router.exitCode());
    }

    private static void readServed(BufferedReader answers, String id) throws IOException {
        assertEquals("VA 2 O" + id, answers.readLine());
        assertEquals("hi", answers.readLine());
    }

    /** With more clients than links, the clients that wait to be accepted are answered as well and not reset. */
    @Test
    void clientsWaitingForAcceptAtEndOfGracePeriodAreAnswered() throws Exception {
        cache.hold(true);
        List<Socket> clients = new ArrayList<>();
        try {
            clients.add(router.connect());
            for (int i = 1; i < 150; i++) {
                clients.add(router.connect());
            }
            for (int i = 0; i < clients.size(); i++) {
                ask(clients.get(i), "x" + i);
            }
            cache.awaitHeld(cache);
            terminate();
            awaitAfterTerm(GRACE_MS + 100);
            cache.hold(false);
            for (Socket client : clients) {
                String line = Rehearsal.reader(client).readLine();
                assertTrue(line != null && (line.startsWith("VA 2 ") || line.startsWith("SERVER_ERROR")), line);
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
        assertEquals(0, router.exitCode());
    }

    /**
     * Clients send constant load, one or three requests at a time on a connection each, and SIGKILL follows 2 s after
     * SIGTERM. By the protocol, a client sends a request that crosses the close of an idle link again to another
     * router. Every other request must be answered, including those that arrive while an earlier one is open.
     */
    @Test
    void requestsUnderConstantLoadAreAnsweredUntilKill() throws Exception {
        router.connect().close();
        cache.delayAnswers(12);
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closedConnections = new AtomicInteger();
        List<String> lost = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < 12; c++) {
            int number = c;
            threads.add(new Thread(
                    () -> sendConstantLoad(number, 1 + 2 * (number % 2), over, answered, closedConnections, lost)));
        }
        threads.forEach(Thread::start);
        StandInAgent.await(() -> answered.get() > 500);
        terminate();
        awaitAfterTerm(2000);
        router.process().destroyForcibly();
        over.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(List.of(), lost);
        assertTrue(closedConnections.get() <= threads.size(), closedConnections + " requests met a closed connection");
        assertEquals(0, router.exitCode(), "exit status before the kill");
    }

    private void sendConstantLoad(
            int number,
            int batchSize,
            AtomicBoolean over,
            AtomicInteger answered,
            AtomicInteger closedConnections,
            List<String> lost) {
        int received = 0;
        boolean answersExpected = false;
        try (Socket client = router.connect()) {
            BufferedReader in = Rehearsal.reader(client);
            for (int n = 0; !over.get(); n += batchSize) {
                received = 0;
                for (int i = 0; i < batchSize; i++) {
                    ask(client, number + "x" + (n + i));
                    TimeUnit.MILLISECONDS.sleep(2);
                }
                // If no answer has arrived yet, the link was not closed before all requests were written.
                answersExpected = client.getInputStream().available() == 0;
                for (; received < batchSize; received++) {
                    String line = in.readLine();
                    if (line == null) {
                        throw new IOException("connection closed");
                    }
                    if (!line.startsWith(BUSY) && !(line.startsWith("VA 2 ") && "hi".equals(in.readLine()))) {
                        lost.add(line);
                    }
                    answered.incrementAndGet();
                }
                TimeUnit.MILLISECONDS.sleep(number % 5);
            }
        } catch (IOException e) {
            // Closed between requests: a request that crossed the close is sent again to another router.
            closedConnections.incrementAndGet();
            if (answersExpected && received > 0 && received < batchSize) {
                lost.add("client " + number + " had " + received + " of " + batchSize + " answers");
            }
        } catch (Exception e) {
            lost.add(e.toString());
        }
    }
}
