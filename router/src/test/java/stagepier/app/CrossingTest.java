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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Where two events cross on a client's connection: its end, or the router's, and bytes that are on their way. */
@Timeout(60)
class CrossingTest {
    private static final int WAIT_MS = 5000;
    private static final String FLOOD = "x".repeat(200_000);
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

    /** A client that takes in little at a time, so that answers are still on their way when the link ends. */
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

    /** All that one writes comes in one turn of the router's loop. */
    private void inOneTurn(Rehearsal.Step step) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        router.loop().execute(() -> {
            stands.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stands.await();
        try {
            step.run();
        } finally {
            goOn.countDown();
        }
    }

    /** Writes while the answers are read: neither side waits for the other. */
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

    /** Guards against a reset that destroys the last answers because the flood behind a bad line lies unread. */
    @Test
    void whatWasAnsweredBeforeAndAtAMalformedLineArrivesWholeThoughAFloodFollows() throws Exception {
        for (int i = 0; i < 20; i++) {
            Socket client = connect();
            CompletableFuture<Void> all = writing(client, "stats\r\n".repeat(20) + "ms k1 x Oa\r\n" + FLOOD);
            BufferedReader answers = Rehearsal.reader(client);
            awaitStats(answers, 20);
            assertEquals("CLIENT_ERROR bad data length", answers.readLine());
            all.get(WAIT_MS, TimeUnit.MILLISECONDS);
            assertNull(answers.readLine(), "the end, no reset");
            client.close();
        }
        assertEquals(20, counter("client_input_malformed"), "nothing in the flood was taken for a command");
    }

    @Test
    void allAnswersBeforeAQuitArriveWholeAndNothingBehindItIsPassedOn() throws Exception {
        for (int i = 0; i < 20; i++) {
            Socket client = connect();
            CompletableFuture<Void> all =
                    writing(client, "stats\r\n".repeat(20) + read() + "quit\r\n" + read().repeat(1000));
            BufferedReader answers = Rehearsal.reader(client);
            awaitStats(answers, 20);
            assertTrue(answers.readLine().startsWith("VA 2 "));
            assertEquals("hi", answers.readLine());
            all.get(WAIT_MS, TimeUnit.MILLISECONDS);
            assertNull(answers.readLine(), "the end, no reset");
            client.close();
        }
        assertEquals(20, cache.answered());
    }

    /** Guards against a client that never stops sending: it costs bounded time and a bounded place. */
    @Test
    void whoNeverStopsSendingOrNeverClosesIsLetGoSoon() throws Exception {
        Socket endless = connect();
        Socket resting = connect();
        Rehearsal.write(resting, "quit\r\n");
        CompletableFuture<Void> flood = writing(endless, "ms k1 x Oa\r\n" + "x".repeat(32 << 20));
        assertEquals(-1, resting.getInputStream().read());
        long from = System.nanoTime();
        StandInAgent.await(() -> counter("client_input_malformed") == 1);
        StandInAgent.await(() -> counter("client_links") == 0 && counter("client_links_lingering") == 0);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1500), "held too long");
        assertEquals(0, counter("client_bytes_held"));
        StandInAgent.await(flood::isDone);
    }

    /** The half-sent command of a drain's last phase is refused, and its rest comes when the link has ended. */
    @Test
    void theLastAnswerOfADrainArrivesThoughMoreComesBehindIt() throws Exception {
        Socket client = connect();
        BufferedReader answers = Rehearsal.reader(client);
        Rehearsal.write(client, read() + "ms k1 60000 Oa Pc=put,d=1900\r\nhalf");
        assertTrue(answers.readLine().startsWith("VA 2 "));
        assertEquals("hi", answers.readLine());
        CompletableFuture<Void> stopped = router.stop();
        assertEquals("CLIENT_ERROR command not finished in time", answers.readLine());
        Rehearsal.write(client, FLOOD);
        assertNull(answers.readLine(), "the end, no reset");
        client.close();
        stopped.get(3, TimeUnit.SECONDS);
    }

    /** Guards against a request that is read after the client was told of the end: it would be served twice. */
    @Test
    void whatComesAfterTheEndOfSendingIsNeverPassedOnAndMeetsNoReset() throws Exception {
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
            assertEquals(-1, client.getInputStream().read(), "closed while idle");
            String request = read();
            Rehearsal.write(
                    client, i % 3 == 0 ? request : i % 3 == 1 ? request.substring(0, 9) : request + read() + read());
            // A second write meets the reset that the first one would have brought.
            assertEquals(-1, client.getInputStream().read());
            Rehearsal.write(client, "\r\n");
            assertEquals(-1, client.getInputStream().read(), "no reset");
            client.close();
        }
        stopped.get(4, TimeUnit.SECONDS);
        assertEquals(answered, cache.answered(), "passed on after the end");
    }

    /** Clients that ask without a pause while their links leave: each answer is whole, or there is none and the end. */
    @Test
    void whatComesInTheInstantOfAnIdleCloseIsAnsweredWholeOrNotAtAll() throws Exception {
        List<CompletableFuture<Long>> all = new ArrayList<>();
        for (int c = 0; c < 12; c++) {
            Socket client = connect();
            int number = c;
            all.add(CompletableFuture.supplyAsync(
                    () -> askedUntilTheEnd(client, number, 1 + number % 3), command -> new Thread(command).start()));
        }
        StandInAgent.await(() -> cache.answered() > 200);
        CompletableFuture<Void> stopped = router.stop();
        long answered = 0;
        for (CompletableFuture<Long> one : all) {
            answered += one.get(10, TimeUnit.SECONDS);
        }
        stopped.get(4, TimeUnit.SECONDS);
        assertEquals(counter("client_commands_get"), answered, "taken, and answered whole");
    }

    /** So many in a row at a time; returns how many were answered. */
    private static long askedUntilTheEnd(Socket client, int number, int atOnce) {
        long answered = 0;
        try (client) {
            BufferedReader answers = Rehearsal.reader(client);
            for (int n = 0; ; n++) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < atOnce; i++) {
                    text.append("mg k%d v Oy%dz%dz%d Pc=read,t=x,d=1900\r\n".formatted(number, number, n, i));
                }
                Rehearsal.write(client, text.toString());
                for (int i = 0; i < atOnce; i++) {
                    String line = answers.readLine();
                    if (line == null && i == 0) {
                        return answered;
                    }
                    assertTrue(line != null, "some of what came at once were answered, and others not");
                    if (line.startsWith("VA 2 ")) {
                        assertEquals("hi", answers.readLine());
                    } else {
                        assertTrue(line.startsWith("SERVER_ERROR busy"), line);
                    }
                    answered++;
                }
            }
        } catch (IOException e) {
            throw new AssertionError("a reset", e);
        }
    }

    /** Guards against attempts for who has gone: nobody read behind 128 commands, and so nobody saw the end. */
    @Test
    void whoPipelinesMoreThanIsTakenAndClosesIsSeenToHaveGone() throws Exception {
        cache.hold(true);
        Socket client = connect();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 130; i++) {
            text.append(read());
        }
        Rehearsal.write(client, text.toString());
        cache.awaitHeld(cache);
        StandInAgent.await(() -> counter("client_commands_get") >= 128);
        assertEquals(128, counter("client_commands_get"), "no more than that are taken");
        assertTrue(counter("requests_unanswered") > 0);
        long from = System.nanoTime();
        // The end comes behind bytes for which there is no room among the commands.
        Rehearsal.write(client, read() + read() + read());
        client.close();
        StandInAgent.await(() -> counter("requests_unanswered") == 0 && counter("client_links") == 0);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(500), "seen too late");
        assertTrue(counter("requests_client_gone") > 0);
        assertEquals(128, counter("client_commands_get"), "what was read behind them is not taken");
    }

    /** What a link reads behind the commands that it may take is bounded, and is taken and served in its turn. */
    @Test
    void whatWaitsBehindTheMostThatIsTakenIsServedInOrderAndHoldsLittle() throws Exception {
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
    void aHundredClientsThatLeaveInOneTurnAreAllSeenToHaveGone() throws Exception {
        cache.hold(true);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket client = connect();
            clients.add(client);
            Rehearsal.write(client, read());
        }
        StandInAgent.await(() -> counter("client_commands_get") == 100);
        inOneTurn(() -> {
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
