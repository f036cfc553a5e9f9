package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts a router process and acts as its clients, cache server and discovery over sockets. */
@Timeout(60)
class RouterTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int WAIT_MS = 5000;

    @TempDir
    private Path folder;

    private final ServerSocket cache = listen();
    private final StandInAgent discovery = agent();
    private RouterProcess started;
    private Process router;
    private Socket client;
    private BufferedReader answers;

    private static ServerSocket listen() {
        try {
            ServerSocket socket = new ServerSocket(0, 50, LOOPBACK);
            socket.setSoTimeout(WAIT_MS);
            return socket;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static StandInAgent agent() {
        try {
            return new StandInAgent();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = listen()) {
            return s.getLocalPort();
        }
    }

    /** Starts a router that knows one cache server at the given port. */
    private void start(int cachePort) throws Exception {
        started = new RouterProcess(folder, discovery, StandInAgent.entry(1, cachePort, "up"));
        router = started.process();
        client = started.connect();
        answers = reader(client);
        assertEquals("MN", ask("mn"));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        // With a time-out a missing answer fails the test instead of blocking it.
        socket.setSoTimeout(WAIT_MS);
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String ask(String line) throws IOException {
        write(client, line + "\r\n");
        return answers.readLine();
    }

    @AfterEach
    void stop() throws IOException {
        if (router != null) {
            router.destroyForcibly();
        }
        cache.close();
        discovery.close();
    }

    @Test
    void answersReadsAndWritesInCommandOrder() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,t=x,d=1900\r\nms k2 5 Ob Pc=put,d=1900,k=77\r\nhello\r\nmn\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().matches("mg k1 v Oa Pc=read,t=x,d=1[89][0-9][0-9]"));
        // Sent on a second link, so that a fast answer does not wait behind a slow one.
        Socket second = cache.accept();
        BufferedReader asked = reader(second);
        assertTrue(asked.readLine().matches("ms k2 5 Ob Pc=put,d=1[89][0-9][0-9],k=77"));
        assertEquals("hello", asked.readLine());
        write(second, "HD Ob cc0ffee\r\n");
        Thread.sleep(50);
        write(link, "VA 2 Oa h1\r\nhi\r\n");
        assertEquals("VA 2 Oa", answers.readLine());
        assertEquals("hi", answers.readLine());
        assertEquals("HD Ob cc0ffee", answers.readLine());
        assertEquals("MN", answers.readLine());
        write(client, "stats\r\n");
        List<String> stats = answers.lines().takeWhile(l -> !l.equals("END")).toList();
        assertTrue(stats.contains("STAT answers_served 2"), stats.toString());
    }

    private long counter(String name) throws IOException {
        write(client, "stats\r\n");
        String line = "STAT " + name + " ";
        // Reads the complete answer, wherever the counter occurs in it.
        List<String> stats = answers.lines().takeWhile(l -> !l.equals("END")).toList();
        return stats.stream()
                .filter(l -> l.startsWith(line))
                .mapToLong(l -> Long.parseLong(l.substring(line.length())))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Prevents the event loop from polling for input in the last half millisecond before each timer, which wastes
     * processor time. Waits are whole milliseconds, so there are few turns per millisecond.
     */
    @Test
    void idleRouterDoesNotPoll() throws Exception {
        start(cache.getLocalPort());
        int asked = 40;
        long turns = counter("loop_turns");
        long from = System.nanoTime();
        for (int i = 0; i < asked; i++) {
            assertEquals("MN", ask("mn"));
            TimeUnit.MILLISECONDS.sleep(25);
        }
        long milliseconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        long turned = counter("loop_turns") - turns;
        assertTrue(turned < milliseconds + 10 * asked, turned + " turns in " + milliseconds + " ms");
    }

    @Test
    void throttleIsAnsweredAtOnceWithRetryDelay() throws Exception {
        start(freePort());
        long from = System.nanoTime();
        assertTrue(ask("mg k1 v Oa Pc=read,d=1900").matches("SERVER_ERROR busy [1-9][0-9]*"));
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(900), "throttle answer delayed");
    }

    /** Prevents a late answer from being taken for the next answer on its link. */
    @Test
    void requestToSilentServerIsAnsweredAndLateAnswerIsDiscarded() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        assertTrue(ask("mg k1 v Oa Pc=read,d=300").startsWith("SERVER_ERROR"));
        assertTrue(
                System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(370), "answered after the client's time-out");
        Socket link = cache.accept();
        write(link, "VA 4 Oa h1\r\nlate\r\n");
        Thread.sleep(200);
        assertEquals("MN", ask("mn"));
        write(client, "mg k2 v Ob Pc=read,d=1900\r\n");
        BufferedReader asked = reader(link);
        assertTrue(asked.readLine().startsWith("mg k1 "));
        assertTrue(asked.readLine().startsWith("mg k2 v Ob "), "the late answer did not free the link");
        write(link, "VA 3 Ob h1\r\nnew\r\n");
        assertEquals("VA 3 Ob", answers.readLine());
        assertEquals("new", answers.readLine());
    }

    @Test
    void malformedInputClosesOnlyItsConnection() throws Exception {
        start(cache.getLocalPort());
        assertEquals("CLIENT_ERROR unknown class", ask("mg k1 v Oa Pc=nosuch,d=100"));
        assertEquals("ERROR", ask("version"));
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        write(link, "VA nonsense\r\n");
        assertTrue(answers.readLine().startsWith("SERVER_ERROR"));
        assertEquals("CLIENT_ERROR bad data length", ask("ms k1 x Oa"));
        assertEquals(null, answers.readLine(), "link must close, as the start of the next command is unknown");
        assertTrue(router.isAlive());
    }

    /** Prevents a value that exceeds the ring buffer from being treated as corrupt and requested again. */
    @Test
    void valueLargerThanRingBufferReachesSlowReader() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        String value = "0123456789abcdef".repeat(25_000);
        write(link, "VA 400000 Oa h1\r\n" + value.substring(0, 150_000));
        write(link, value.substring(150_000) + "\r\n");
        assertEquals("VA 400000 Oa", answers.readLine());
        assertEquals(value, answers.readLine());
        assertEquals("MN", ask("mn"));
    }

    /** Prevents bytes behind a valid answer from being taken for part of the next one. */
    @Test
    void bytesBehindAnswerCloseLinkWithoutLosingAnswers() throws Exception {
        start(cache.getLocalPort());
        for (String behind : List.of("VA 1 Oa h1\r\n1\r\n", "\u0001 noise", "SERVER_ERROR busy\r\n")) {
            String id = "a" + behind.length();
            write(client, "mg k1 v O" + id + " Pc=read,d=1900\r\n");
            Socket link = cache.accept();
            BufferedReader asked = reader(link);
            assertTrue(asked.readLine().startsWith("mg k1 v O" + id));
            write(link, "VA 1 O" + id + " h1\r\n1\r\n" + behind);
            assertEquals("VA 1 O" + id, answers.readLine());
            assertEquals("1", answers.readLine());
            assertEquals(null, asked.readLine(), "link not closed");
        }
    }

    /** Prevents a stalled partial answer, and the requests behind it, from waiting until the deadline. */
    @Test
    void stalledPartialAnswersFailBeforeDeadline() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        for (int i = 0; i < 8; i++) {
            write(client, "mg k" + i + " v Oa" + i + " Pc=read,d=1900\r\n");
        }
        // With 128 descriptors and one server each request gets a link of its own, so none waits behind another answer.
        for (int i = 0; i < 8; i++) {
            Socket link = cache.accept();
            String first = reader(link).readLine();
            write(link, "VA 10 " + first.split(" ")[3] + " h1\r\nhalf");
        }
        for (int i = 0; i < 8; i++) {
            assertTrue(answers.readLine().startsWith("SERVER_ERROR"));
        }
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1200), "waited for the rest of the answer");
        cache.setSoTimeout(300);
        assertThrows(java.net.SocketTimeoutException.class, cache::accept, "more links than requests");
    }

    /** Prevents new requests on a link to the previous process of a server. */
    @Test
    void movedServerGetsRequestsAtNewAddressWhileOldLinkFinishes() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket old = cache.accept();
        assertTrue(reader(old).readLine().startsWith("mg k1 "));
        try (ServerSocket moved = listen();
                Socket other = new Socket(LOOPBACK, client.getPort())) {
            discovery.publish(StandInAgent.entry(1, moved.getLocalPort(), "up"));
            discovery.awaitReceived();
            write(other, "mg k2 v Ob Pc=read,d=1900\r\n");
            Socket fresh = moved.accept();
            assertTrue(reader(fresh).readLine().startsWith("mg k2 "));
            write(old, "VA 1 Oa h1\r\n1\r\n");
            assertEquals("VA 1 Oa", answers.readLine());
            write(fresh, "VA 1 Ob h1\r\n2\r\n");
            assertEquals("VA 1 Ob", reader(other).readLine());
            assertEquals(-1, old.getInputStream().read(), "old link not closed after its last answer");
        }
    }

    /**
     * Prevents new requests to a draining server, and a watch that starts from another generation than the known list.
     */
    @Test
    void drainingServerGetsNoRequestsAndWatchIsRenewed() throws Exception {
        start(cache.getLocalPort());
        discovery.awaitCalls(1);
        assertTrue(discovery.calls().get(0).startsWith("GET /discovery/hosts?from=1&hold_ms="));
        discovery.publish(StandInAgent.entry(1, cache.getLocalPort(), "draining"));
        discovery.awaitReceived();
        assertTrue(ask("mg k1 v Oa Pc=read,d=1900").startsWith("SERVER_ERROR busy"));
        cache.setSoTimeout(300);
        assertThrows(java.net.SocketTimeoutException.class, cache::accept);
    }

    @Test
    void sigtermFinishesAcceptedRequestsAndExitsWithZero() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        BufferedReader asked = reader(link);
        assertTrue(asked.readLine().startsWith("mg k1 "));
        router.destroy();
        Thread.sleep(200);
        write(client, "mg k2 v Ob Pc=read,d=1900\r\n");
        Socket second = cache.accept();
        assertTrue(reader(second).readLine().startsWith("mg k2 "));
        try (Socket late = new Socket(LOOPBACK, client.getPort())) {
            write(late, "mn\r\n");
            assertEquals("MN", reader(late).readLine(), "not serving after SIGTERM");
            Thread.sleep(900);
            write(second, "VA 1 Ob h1\r\n2\r\n");
            write(link, "VA 1 Oa h1\r\n1\r\n");
            assertEquals(
                    List.of("VA 1 Oa", "1", "VA 1 Ob", "2"), answers.lines().toList());
        }
        assertTrue(router.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, router.exitValue());
        assertTrue(Files.readString(folder.resolve("log")).contains("answers_served=2"));
    }

    /** Prevents hundreds of silent clients from holding descriptors that other clients need. */
    @Test
    void silentClientsAreClosedWithinThreeSeconds() throws Exception {
        start(cache.getLocalPort());
        List<Socket> silent = new ArrayList<>();
        long from = System.nanoTime();
        for (int i = 0; i < 150; i++) {
            silent.add(new Socket(LOOPBACK, client.getPort()));
        }
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        try (Socket late = new Socket(LOOPBACK, client.getPort())) {
            write(late, "mn\r\n");
            assertEquals("MN", reader(late).readLine());
        }
        write(link, "VA 1 Oa h1\r\n1\r\n");
        assertEquals("VA 1 Oa", answers.readLine(), "link with an open request closed");
        assertEquals("1", answers.readLine());
        for (Socket s : silent) {
            assertEquals(null, reader(s).readLine());
            s.close();
        }
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(3000), "not closed in time");
        assertEquals("MN", ask("mn"));
    }

    @Test
    void partialCommandIsRefusedWithinThreeSeconds() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        assertEquals("CLIENT_ERROR command not finished in time", ask("ms k1 50 Oa Pc=put,d=900\r\nhalf"));
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(3000), "not closed in time");
        assertEquals(null, answers.readLine());
    }

    /** Prevents a client that sends a command in pieces from being disconnected as faulty. */
    @Test
    void commandSentOverTwoSecondsIsServed() throws Exception {
        start(cache.getLocalPort());
        for (String piece : List.of("mg k", "1 v ", "Oa P", "c=re", "ad,d")) {
            write(client, piece);
            Thread.sleep(400);
        }
        write(client, "=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        write(link, "VA 1 Oa h1\r\n1\r\n");
        assertEquals("VA 1 Oa", answers.readLine());
    }

    /** Prevents one client from receiving the answer for another client that used the same id. */
    @Test
    void duplicateRequestIdIsRefusedWhileInUseAndShortlyAfter() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        try (Socket other = new Socket(LOOPBACK, client.getPort())) {
            BufferedReader otherAnswers = reader(other);
            write(other, "mg k1 v Oa Pc=read,d=1900\r\n");
            assertEquals("CLIENT_ERROR request id in use", otherAnswers.readLine());
            write(link, "VA 1 Oa h1\r\n1\r\n");
            assertEquals("VA 1 Oa", answers.readLine());
            write(other, "mg k1 v Oa Pc=read,d=1900\r\n");
            assertEquals("CLIENT_ERROR request id in use", otherAnswers.readLine());
        }
    }

    private void sendHangupAndAwaitLog(String text) throws Exception {
        started.signal("HUP");
        for (int i = 0; !Files.readString(folder.resolve("log")).contains(text); i++) {
            assertTrue(i < WAIT_MS / 20, "not logged in time: " + text);
            Thread.sleep(20);
        }
    }

    /** SIGHUP must not end the JVM, and the watch must not stay at an address that no longer answers. */
    @Test
    void sighupMovesWatchToNewDiscoveryAndIgnoresInvalidFile() throws Exception {
        start(cache.getLocalPort());
        discovery.awaitCalls(2);
        Path file = folder.resolve("config.json");
        String config = Files.readString(file);
        Files.writeString(file, "{\"listen\":");
        sendHangupAndAwaitLog("reload failed, keeping the current configuration");
        // Connections are refused there: the old watch must stay until a new one is established.
        int refused = freePort();
        Files.writeString(file, config.replace(":" + discovery.port(), ":" + refused));
        sendHangupAndAwaitLog("discovery at /127.0.0.1:" + refused);
        assertEquals(1, discovery.openConnections());
        try (StandInAgent moved = new StandInAgent()) {
            Files.writeString(file, config.replace(":" + discovery.port(), ":" + moved.port()));
            sendHangupAndAwaitLog("discovery at /127.0.0.1:" + moved.port());
            moved.awaitCalls(1);
            assertTrue(moved.calls().get(0).startsWith("GET /discovery/hosts?from=1&"));
            StandInAgent.await(() -> discovery.openConnections() == 0);
        }
        assertEquals("MN", ask("mn"));
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        router = RouterProcess.launch(folder, "{\"listen\":\"nowhere\"}");
        assertTrue(router.waitFor(20, TimeUnit.SECONDS));
        assertFalse(router.exitValue() == 0);
        assertEquals(
                List.of("stagepier: configuration: 'nowhere' is not an address and a port"),
                Files.readAllLines(folder.resolve("log")));
    }
}
