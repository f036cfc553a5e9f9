package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Races on a client's connection between a close by either side and data in transit. */
@Timeout(60)
class ConnectionRaceTest {
    private static final int WAIT_MS = 5000;
    private static final String EXCESS_DATA = "x".repeat(200_000);
    private static final String CONFIG = """
            {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":512},"settings":{
            "Classes":[{"Name":"read","Deadline":2,"GoalTime":2,"Repeat":"idempotent","Worth":1},
            {"Name":"put","Deadline":2,"GoalTime":1,"Repeat":"deduplicated","Group":"all","DedupWindow":9,"Worth":1}],
            "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":0.25,
            "IdleClose":60},"Obligations":{"DrainGrace":1}},"known":%s}""";

    private StandInAgent agent;
    private StandInCache cache;
    private Router router;
    private int port;
    private int lastId;
    private final List<Socket> sockets = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        cache = new StandInCache();
        port = Rehearsal.freePort();
        router = new Router(Config.parse(
                CONFIG.formatted(port, agent.port(), StandInAgent.known(StandInAgent.entry(1, cache.port(), "up")))));
        router.start().get(20, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        cache.hold(false);
        for (Socket socket : sockets) {
            socket.close();
        }
        router.stop().get(10, TimeUnit.SECONDS);
        cache.close();
        agent.close();
    }

    /** Connects a client with a small receive buffer, so that answers are still in transit when the link closes. */
    private Socket connect() throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setReceiveBufferSize(4096);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(WAIT_MS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return socket;
    }

    private String read() {
        lastId++;
        return "mg k%d v Ox%d Pc=read,t=x,d=1900\r\n".formatted(lastId, lastId);
    }

    private long counter(String name) {
        try {
            Matcher found = Pattern.compile(" " + name + "=([0-9]+)")
                    .matcher(router.counters().get(5, TimeUnit.SECONDS));
            assertTrue(found.find(), name);
            return Long.parseLong(found.group(1));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Stalls the router's loop during a step, so that everything it writes is read in one turn of the loop. */
    private void inOneLoopTurn(Rehearsal.Step step) throws Exception {
        StalledLoop stalled = new StalledLoop(router.loop());
        try {
            step.run();
        } finally {
            stalled.resume();
        }
    }

    /** Writes on another thread while the answers are read, so that neither side blocks the other. */
    private static CompletableFuture<Void> writing(Socket client, String text) {
        return CompletableFuture.runAsync(() -> {
            try {
                Rehearsal.write(client, text);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private static void awaitStats(BufferedReader answers, int times) throws IOException {
        for (int i = 0; i < times; ) {
            i += "END".equals(answers.readLine()) ? 1 : 0;
        }
    }

    /** Prevents a reset that discards the last answers because data behind a malformed line is unread. */
    @Test
    void answersUpToMalformedLineArriveThoughMoreDataFollows() throws Exception {
        for (int i = 0; i < 20; i++) {
            Socket client = connect();
            CompletableFuture<Void> all = writing(client, "stats\r\n".repeat(20) + "ms k1 x Oa\r\n" + EXCESS_DATA);
            BufferedReader answers = Rehearsal.reader(client);
            awaitStats(answers, 20);
            assertEquals("CLIENT_ERROR bad data length", answers.readLine());
            all.get(WAIT_MS, TimeUnit.MILLISECONDS);
            assertNull(answers.readLine(), "expected close without reset");
            client.close();
        }
        assertEquals(20, counter("client_input_malformed"), "data behind the malformed line was parsed as commands");
    }

    @Test
    void answersBeforeQuitArriveAndNothingBehindItIsForwarded() throws Exception {
        for (int i = 0; i < 20; i++) {
            Socket client = connect();
            CompletableFuture<Void> all =
                    writing(client, "stats\r\n".repeat(20) + read() + "quit\r\n" + read().repeat(1000));
            BufferedReader answers = Rehearsal.reader(client);
            awaitStats(answers, 20);
            assertTrue(answers.readLine().startsWith("VA 2 "));
            assertEquals("hi", answers.readLine());
            all.get(WAIT_MS, TimeUnit.MILLISECONDS);
            assertNull(answers.readLine(), "expected close without reset");
            client.close();
        }
        assertEquals(20, cache.answered());
    }

    /** Prevents a client that sends without end or never closes from holding its link for an unlimited time. */
    @Test
    void clientThatSendsEndlesslyOrNeverClosesIsDisconnectedSoon() throws Exception {
        Socket endless = connect();
        Socket idle = connect();
        Rehearsal.write(idle, "quit\r\n");
        CompletableFuture<Void> writer = writing(endless, "ms k1 x Oa\r\n" + "x".repeat(32 << 20));
        assertEquals(-1, idle.getInputStream().read());
        long from = System.nanoTime();
        StandInAgent.await(() -> counter("client_input_malformed") == 1);
        StandInAgent.await(() -> counter("client_links") == 0 && counter("client_links_lingering") == 0);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1500), "links held too long");
        assertEquals(0, counter("client_bytes_held"));
        StandInAgent.await(writer::isDone);
    }

    /** A partly sent command is refused in the last phase of a drain, and its rest arrives after the link is closed. */
    @Test
    void lastAnswerOfDrainArrivesThoughMoreDataFollows() throws Exception {
        Socket client = connect();
        BufferedReader answers = Rehearsal.reader(client);
        Rehearsal.write(client, read() + "ms k1 60000 Oa Pc=put,d=1900\r\nhalf");
        assertTrue(answers.readLine().startsWith("VA 2 "));
        assertEquals("hi", answers.readLine());
        CompletableFuture<Void> stopped = router.stop();
        assertEquals("CLIENT_ERROR command not finished in time", answers.readLine());
        Rehearsal.write(client, EXCESS_DATA);
        assertNull(answers.readLine(), "expected close without reset");
        client.close();
        stopped.get(3, TimeUnit.SECONDS);
    }

    /** Prevents a request from being read after the router has closed its sending side: it would be served twice. */
    @Test
    void dataAfterHalfCloseIsNotForwardedAndCausesNoReset() throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Socket client = connect();
            clients.add(client);
            Rehearsal.write(client, read());
            assertEquals(
                    "hi", Rehearsal.reader(client).lines().skip(1).findFirst().orElseThrow());
        }
        long answered = cache.answered();
        CompletableFuture<Void> stopped = router.stop();
        for (int i = 0; i < clients.size(); i++) {
            Socket client = clients.get(i);
            assertEquals(-1, client.getInputStream().read(), "idle link not closed");
            String request = read();
            Rehearsal.write(
                    client, i % 3 == 0 ? request : i % 3 == 1 ? request.substring(0, 9) : request + read() + read());
            // A second write fails if the first one has caused a reset.
            assertEquals(-1, client.getInputStream().read());
            Rehearsal.write(client, "\r\n");
            assertEquals(-1, client.getInputStream().read(), "expected close without reset");
            client.close();
        }
        stopped.get(4, TimeUnit.SECONDS);
        assertEquals(answered, cache.answered(), "request forwarded after the close");
    }

    /**
     * Clients send without pause while the router closes their links: each request gets a complete answer or the close.
     */
    @Test
    void requestsDuringIdleCloseAreAnsweredCompletelyOrNotAtAll() throws Exception {
        List<CompletableFuture<Long>> all = new ArrayList<>();
        for (int c = 0; c < 12; c++) {
            Socket client = connect();
            int number = c;
            all.add(CompletableFuture.supplyAsync(
                    () -> requestUntilClose(client, number, 1 + number % 3), command -> new Thread(command).start()));
        }
        StandInAgent.await(() -> cache.answered() > 200);
        CompletableFuture<Void> stopped = router.stop();
        long answered = 0;
        for (CompletableFuture<Long> one : all) {
            answered += one.get(10, TimeUnit.SECONDS);
        }
        stopped.get(4, TimeUnit.SECONDS);
        assertEquals(counter("client_commands_get"), answered, "commands read, but not answered completely");
    }

    /** Sends batches of requests until the link closes and returns the number of answers. */
    private static long requestUntilClose(Socket client, int number, int batchSize) {
        long answered = 0;
        try (client) {
            BufferedReader answers = Rehearsal.reader(client);
            for (int n = 0; ; n++) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < batchSize; i++) {
                    text.append("mg k%d v Oy%dz%dz%d Pc=read,t=x,d=1900\r\n".formatted(number, number, n, i));
                }
                Rehearsal.write(client, text.toString());
                for (int i = 0; i < batchSize; i++) {
                    String line = answers.readLine();
                    if (line == null && i == 0) {
                        return answered;
                    }
                    assertTrue(line != null, "only part of a batch was answered");
                    if (line.startsWith("VA 2 ")) {
                        assertEquals("hi", answers.readLine());
                    } else {
                        assertTrue(line.startsWith("SERVER_ERROR busy"), line);
                    }
                    answered++;
                }
            }
        } catch (IOException e) {
            throw new AssertionError("connection reset", e);
        }
    }

    /**
     * Prevents executions for a disconnected client: reading stopped after 128 commands, so its close was not detected.
     */
    @Test
    void closeBehindTooManyPipelinedCommandsIsDetected() throws Exception {
        cache.hold(true);
        Socket client = connect();
        writeReads(client, 130);
        assertEquals(128, counter("client_commands_get"), "more than 128 commands read");
        assertTrue(counter("requests_unanswered") > 0);
        long from = System.nanoTime();
        // The close follows bytes that exceed the limit of open commands.
        Rehearsal.write(client, read() + read() + read());
        client.close();
        StandInAgent.await(() -> counter("requests_unanswered") == 0 && counter("client_links") == 0);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(500), "close detected too late");
        assertTrue(counter("requests_client_gone") > 0);
        assertEquals(128, counter("client_commands_get"), "commands beyond the limit were executed");
    }

    /** Prevents executions for a client that has sent hundreds of commands at once and has closed behind them. */
    @Test
    void closeBehindHundredsOfPipelinedCommandsIsDetected() throws Exception {
        cache.hold(true);
        Socket client = connect();
        writeReads(client, 600);
        long from = System.nanoTime();
        client.close();
        StandInAgent.await(() -> counter("requests_unanswered") == 0 && counter("client_links") == 0);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(500), "close detected too late");
        assertTrue(counter("requests_client_gone") > 0);
        assertEquals(128, counter("client_commands_get"), "commands beyond the limit were executed");
    }

    /** Writes reads at once, and waits until as many are open as a link may have. */
    private void writeReads(Socket client, int count) throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(read());
        }
        Rehearsal.write(client, text.toString());
        cache.awaitHeld(cache);
        StandInAgent.await(() -> counter("client_commands_get") >= 128);
    }

    /** Prevents executions for a client whose close lies behind more input than the router and its socket hold. */
    @Test
    void nothingBeginsWhileTheEndOfTheClientCannotBeSeen() throws Exception {
        cache.hold(true);
        Socket client = connect();
        writeReads(client, 20_000);
        client.close();
        long closedAt = System.nanoTime();
        // Longer than an attempt may begin after the close.
        TimeUnit.MILLISECONDS.sleep(400);
        cache.hold(false);
        StandInAgent.await(() -> counter("requests_unanswered") == 0 && counter("client_links") == 0);
        long late = cache.commands().stream()
                .filter(c -> c.atNanos() - closedAt > TimeUnit.MILLISECONDS.toNanos(150))
                .count();
        assertEquals(0, late, "requests that began over 0.15 s after the close");
    }

    /** Input beyond the limit of open commands is buffered within a bound, and later executed in order. */
    @Test
    void commandsBeyondLimitAreServedInOrderWithBoundedBuffer() throws Exception {
        cache.hold(true);
        Socket client = connect();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            text.append(read());
        }
        CompletableFuture<Void> all = writing(client, text.toString());
        StandInAgent.await(() -> counter("client_commands_get") >= 128);
        assertTrue(counter("client_bytes_held") <= 64 << 10, "held " + counter("client_bytes_held"));
        cache.hold(false);
        BufferedReader answers = Rehearsal.reader(client);
        int served = 0;
        for (int i = 1; i <= 1000; i++) {
            String line = answers.readLine();
            if (line.startsWith("VA 2 ")) {
                assertEquals("VA 2 Ox" + i, line);
                assertEquals("hi", answers.readLine());
                served++;
            } else {
                assertTrue(line.startsWith("SERVER_ERROR"), line);
            }
        }
        assertTrue(served > 0);
        all.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void hundredDisconnectsInOneLoopTurnAreAllDetected() throws Exception {
        cache.hold(true);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket client = connect();
            clients.add(client);
            Rehearsal.write(client, read());
        }
        StandInAgent.await(() -> counter("client_commands_get") == 100);
        inOneLoopTurn(() -> {
            for (Socket client : clients) {
                client.close();
            }
        });
        StandInAgent.await(() -> counter("client_links") == 0);
        assertEquals(0, counter("requests_unanswered"));
        assertEquals(100, counter("requests_client_gone") + counter("answers_throttle") + counter("answers_failed"));
        assertEquals(0, counter("client_bytes_held"));
    }
}
