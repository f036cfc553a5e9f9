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

/** Starts the program and speaks to it over sockets, in the places of clients, a cache server and discovery. */
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

    /** A router that knows one cache server, at that port. */
    private void start(int cachePort) throws Exception {
        started = new RouterProcess(folder, discovery, StandInAgent.entry(1, cachePort, "up"));
        router = started.process();
        client = started.connect();
        answers = reader(client);
        assertEquals("MN", ask("mn"));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        // A test that waits in vain fails; it does not hang.
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
    void servesReadsAndWritesInTheOrderOfTheCommands() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,t=x,d=1900\r\nms k2 5 Ob Pc=put,d=1900,k=77\r\nhello\r\nmn\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().matches("mg k1 v Oa Pc=read,t=x,d=1[89][0-9][0-9]"));
        // Not behind the read: a quick answer would have to wait for a slow one.
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
        // The whole answer is read, whatever the place of the counter in it.
        List<String> stats = answers.lines().takeWhile(l -> !l.equals("END")).toList();
        return stats.stream()
                .filter(l -> l.startsWith(line))
                .mapToLong(l -> Long.parseLong(l.substring(line.length())))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Guards against an event loop that polls for input in the last half millisecond before each timer: it takes processor time
     * that is needed elsewhere. Waits are whole milliseconds, so that there are few turns in each.
     */
    @Test
    void anIdleRouterDoesNotPoll() throws Exception {
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
    void aThrottleComesAtOnceAndTellsWhenToComeBack() throws Exception {
        start(freePort());
        long from = System.nanoTime();
        assertTrue(ask("mg k1 v Oa Pc=read,d=1900").matches("SERVER_ERROR busy [1-9][0-9]*"));
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(900), "held back");
    }

    /** Guards against a late answer that is taken for the next one on its link. */
    @Test
    void aSilentServerCostsNoAnswerAndItsLateAnswerIsDiscarded() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        assertTrue(ask("mg k1 v Oa Pc=read,d=300").startsWith("SERVER_ERROR"));
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(370), "later than the client waits");
        Socket link = cache.accept();
        write(link, "VA 4 Oa h1\r\nlate\r\n");
        Thread.sleep(200);
        assertEquals("MN", ask("mn"));
        write(client, "mg k2 v Ob Pc=read,d=1900\r\n");
        BufferedReader asked = reader(link);
        assertTrue(asked.readLine().startsWith("mg k1 "));
        assertTrue(asked.readLine().startsWith("mg k2 v Ob "), "the late answer has freed the link");
        write(link, "VA 3 Ob h1\r\nnew\r\n");
        assertEquals("VA 3 Ob", answers.readLine());
        assertEquals("new", answers.readLine());
    }

    @Test
    void brokenInputOnEitherSideEndsOnlyItsConnection() throws Exception {
        start(cache.getLocalPort());
        assertEquals("CLIENT_ERROR unknown class", ask("mg k1 v Oa Pc=nosuch,d=100"));
        assertEquals("ERROR", ask("version"));
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        write(link, "VA nonsense\r\n");
        assertTrue(answers.readLine().startsWith("SERVER_ERROR"));
        assertEquals("CLIENT_ERROR bad data length", ask("ms k1 x Oa"));
        assertEquals(null, answers.readLine(), "closed: nothing tells where the next command begins");
        assertTrue(router.isAlive());
    }

    /** Guards against taking for spoilt, and asking for again, what is only larger than a ring. */
    @Test
    void aValueLargerThanARingIsPassedOnWholeToASlowReader() throws Exception {
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

    /** Guards against bytes behind a good answer that are taken for the next one's. */
    @Test
    void whatComesBehindAnAnswerEndsTheLinkAndCostsNobodyAnAnswer() throws Exception {
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
            assertEquals(null, asked.readLine(), "of no further use");
        }
    }

    /** Guards against a wait until the time is up for an answer that will never be whole, and for all behind it. */
    @Test
    void anAnswerThatStopsInTheMiddleFailsSoonWithAllBehindIt() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        for (int i = 0; i < 8; i++) {
            write(client, "mg k" + i + " v Oa" + i + " Pc=read,d=1900\r\n");
        }
        // 128 descriptors for one server: a link a request, for none of them waits behind another's answer.
        for (int i = 0; i < 8; i++) {
            Socket link = cache.accept();
            String first = reader(link).readLine();
            write(link, "VA 10 " + first.split(" ")[3] + " h1\r\nhalf");
        }
        for (int i = 0; i < 8; i++) {
            assertTrue(answers.readLine().startsWith("SERVER_ERROR"));
        }
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1200), "waited for the rest");
        cache.setSoTimeout(300);
        assertThrows(java.net.SocketTimeoutException.class, cache::accept, "more links than requests");
    }

    /** Guards against a link to the process that was there before, which takes new work. */
    @Test
    void aServerThatMovedIsAskedAtItsNewAddressWhileItsOldLinkStillHasAnAnswerToGive() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket old = cache.accept();
        assertTrue(reader(old).readLine().startsWith("mg k1 "));
        try (ServerSocket moved = listen();
                Socket other = new Socket(LOOPBACK, client.getPort())) {
            discovery.tell(StandInAgent.entry(1, moved.getLocalPort(), "up"));
            discovery.awaitHeard();
            write(other, "mg k2 v Ob Pc=read,d=1900\r\n");
            Socket fresh = moved.accept();
            assertTrue(reader(fresh).readLine().startsWith("mg k2 "));
            write(old, "VA 1 Oa h1\r\n1\r\n");
            assertEquals("VA 1 Oa", answers.readLine());
            write(fresh, "VA 1 Ob h1\r\n2\r\n");
            assertEquals("VA 1 Ob", reader(other).readLine());
            assertEquals(-1, old.getInputStream().read(), "ends once nobody waits on it");
        }
    }

    /** Guards against new work for a server that drains, and against a watch that starts from another list than known. */
    @Test
    void aServerThatDrainsGetsNothingNewAndTheWatchIsRenewed() throws Exception {
        start(cache.getLocalPort());
        discovery.awaitCalls(1);
        assertTrue(discovery.calls().get(0).startsWith("GET /discovery/hosts?from=1&hold_ms="));
        discovery.tell(StandInAgent.entry(1, cache.getLocalPort(), "draining"));
        discovery.awaitHeard();
        assertTrue(ask("mg k1 v Oa Pc=read,d=1900").startsWith("SERVER_ERROR busy"));
        cache.setSoTimeout(300);
        assertThrows(java.net.SocketTimeoutException.class, cache::accept);
    }

    @Test
    void onSigtermItFinishesWhatItTookAndEndsWithZero() throws Exception {
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
            assertEquals("MN", reader(late).readLine(), "still serving");
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

    /** Guards against clients that hold descriptors by hundreds and say nothing, so that others find no place. */
    @Test
    void silentClientsMakeWayAndAreClosedWithinThreeSeconds() throws Exception {
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
        assertEquals("VA 1 Oa", answers.readLine(), "a link with an open request stays");
        assertEquals("1", answers.readLine());
        for (Socket s : silent) {
            assertEquals(null, reader(s).readLine());
            s.close();
        }
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(3000), "held too long");
        assertEquals("MN", ask("mn"));
    }

    @Test
    void aHalfSentCommandIsRefusedWithinThreeSeconds() throws Exception {
        start(cache.getLocalPort());
        long from = System.nanoTime();
        assertEquals("CLIENT_ERROR command not finished in time", ask("ms k1 50 Oa Pc=put,d=900\r\nhalf"));
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(3000), "held too long");
        assertEquals(null, answers.readLine());
    }

    /** Guards against taking for a bad client one that sends its command in pieces. */
    @Test
    void aCommandThatTakesTwoSecondsIsServed() throws Exception {
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

    /** Guards against serving one client with what was made for another that sent the same id. */
    @Test
    void theIdOfAnotherRequestIsRefusedWhileThatIsOpenAndJustAfter() throws Exception {
        start(cache.getLocalPort());
        write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
        Socket link = cache.accept();
        assertTrue(reader(link).readLine().startsWith("mg k1 "));
        try (Socket other = new Socket(LOOPBACK, client.getPort())) {
            BufferedReader said = reader(other);
            write(other, "mg k1 v Oa Pc=read,d=1900\r\n");
            assertEquals("CLIENT_ERROR request id in use", said.readLine());
            write(link, "VA 1 Oa h1\r\n1\r\n");
            assertEquals("VA 1 Oa", answers.readLine());
            write(other, "mg k1 v Oa Pc=read,d=1900\r\n");
            assertEquals("CLIENT_ERROR request id in use", said.readLine());
        }
    }

    private void hangUpUntilLogged(String text) throws Exception {
        started.signal("HUP");
        for (int i = 0; !Files.readString(folder.resolve("log")).contains(text); i++) {
            assertTrue(i < WAIT_MS / 20, "never logged: " + text);
            Thread.sleep(20);
        }
    }

    /** Guards against a signal that ends the JVM, and against a watch that stays where nobody will answer. */
    @Test
    void onSighupTheWatchMovesToTheNewDiscoveryAndABadFileChangesNothing() throws Exception {
        start(cache.getLocalPort());
        discovery.awaitCalls(2);
        Path file = folder.resolve("config.json");
        String config = Files.readString(file);
        Files.writeString(file, "{\"listen\":");
        hangUpUntilLogged("the configuration in force stays");
        // Nobody answers there: the old watch must not end before the new one is up.
        int refused = freePort();
        Files.writeString(file, config.replace(":" + discovery.port(), ":" + refused));
        hangUpUntilLogged("discovery at /127.0.0.1:" + refused);
        assertEquals(1, discovery.open());
        try (StandInAgent moved = new StandInAgent()) {
            Files.writeString(file, config.replace(":" + discovery.port(), ":" + moved.port()));
            hangUpUntilLogged("discovery at /127.0.0.1:" + moved.port());
            moved.awaitCalls(1);
            assertTrue(moved.calls().get(0).startsWith("GET /discovery/hosts?from=1&"));
            StandInAgent.await(() -> discovery.open() == 0);
        }
        assertEquals("MN", ask("mn"));
    }

    @Test
    void aBadConfigurationEndsInOneLine() throws Exception {
        router = RouterProcess.launch(folder, "{\"listen\":\"nowhere\"}");
        assertTrue(router.waitFor(20, TimeUnit.SECONDS));
        assertFalse(router.exitValue() == 0);
        assertEquals(
                List.of("stagepier: configuration: 'nowhere' is not an address and a port"),
                Files.readAllLines(folder.resolve("log")));
    }
}
