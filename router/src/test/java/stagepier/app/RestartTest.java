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

/** A planned restart: what clients meet on connections that stay open, and on new ones, from SIGTERM to the end. */
@Timeout(60)
class RestartTest {
    private static final String BUSY = "SERVER_ERROR busy";
    /** From SIGTERM on all is served as before for so long. */
    private static final long SERVES_ON_MS = 700;

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

    /** Until that long after SIGTERM. */
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

    /** One request is open when the time to serve is over; more come behind it, one of them in two halves. */
    @Test
    void whatComesBehindAnOpenRequestIsTurnedAwayAndTheLinkClosesAfterAllAnswers() throws Exception {
        try (Socket client = router.connect();
                Socket half = router.connect()) {
            BufferedReader answers = Rehearsal.reader(client);
            ask(client, "first");
            readServed(answers, "first");
            cache.hold(true);
            ask(client, "open");
            cache.awaitHeld(cache);
            terminate();
            awaitAfterTerm(SERVES_ON_MS - 200);
            Rehearsal.write(half, "mn\r\n" + read("half").substring(0, 12));
            awaitAfterTerm(SERVES_ON_MS + 150);
            ask(client, "a");
            Rehearsal.write(client, read("b") + read("c").substring(0, 9));
            Rehearsal.write(half, read("half").substring(12));
            BufferedReader said = Rehearsal.reader(half);
            assertEquals("MN", said.readLine());
            assertTrue(said.readLine().startsWith(BUSY), "at once");
            assertNull(said.readLine(), "and closed");
            Rehearsal.write(client, read("c").substring(9));
            cache.hold(false);
            readServed(answers, "open");
            for (int i = 0; i < 3; i++) {
                assertTrue(String.valueOf(answers.readLine()).startsWith(BUSY));
            }
            assertNull(answers.readLine(), "closed");
        }
        assertEquals(0, router.exitCode());
    }

    private static void readServed(BufferedReader answers, String id) throws IOException {
        assertEquals("VA 2 O" + id, answers.readLine());
        assertEquals("hi", answers.readLine());
    }

    /** More clients than there are places: those that wait to be accepted are answered, too, and not reset. */
    @Test
    void whoWaitsToBeAcceptedWhenTheTimeIsUpGetsAnAnswer() throws Exception {
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
            awaitAfterTerm(SERVES_ON_MS + 100);
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
     * Clients ask steadily, each on its connection as long as that stays open, one at a time or three, and SIGKILL comes 2 s
     * after SIGTERM. A request that meets a close between requests goes once more to whoever comes next, as the protocol
     * says; nothing else may stay without an answer, such as what came while an earlier one was open.
     */
    @Test
    void underSteadyRequestsEachGetsItsAnswerUpToTheKill() throws Exception {
        router.connect().close();
        cache.slow(12);
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closedUpon = new AtomicInteger();
        List<String> lost = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < 12; c++) {
            int number = c;
            threads.add(new Thread(() -> steadily(number, 1 + 2 * (number % 2), over, answered, closedUpon, lost)));
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
        assertTrue(closedUpon.get() <= threads.size(), closedUpon + " met a close");
        assertEquals(0, router.exitCode(), "over before the kill");
    }

    private void steadily(
            int number,
            int atOnce,
            AtomicBoolean over,
            AtomicInteger answered,
            AtomicInteger closedUpon,
            List<String> lost) {
        int got = 0;
        boolean owed = false;
        try (Socket client = router.connect()) {
            BufferedReader in = Rehearsal.reader(client);
            for (int n = 0; !over.get(); n += atOnce) {
                got = 0;
                for (int i = 0; i < atOnce; i++) {
                    ask(client, number + "x" + (n + i));
                    TimeUnit.MILLISECONDS.sleep(2);
                }
                // The link can not have been closed before all were written if nothing has been answered by now.
                owed = client.getInputStream().available() == 0;
                for (; got < atOnce; got++) {
                    String line = in.readLine();
                    if (line == null) {
                        throw new IOException("closed");
                    }
                    if (!line.startsWith(BUSY) && !(line.startsWith("VA 2 ") && "hi".equals(in.readLine()))) {
                        lost.add(line);
                    }
                    answered.incrementAndGet();
                }
                TimeUnit.MILLISECONDS.sleep(number % 5);
            }
        } catch (IOException e) {
            // Closed between requests: what came at the same time and was not read goes on to another router.
            closedUpon.incrementAndGet();
            if (owed && got > 0 && got < atOnce) {
                lost.add("client " + number + " had " + got + " of " + atOnce + " answers");
            }
        } catch (Exception e) {
            lost.add(e.toString());
        }
    }
}
