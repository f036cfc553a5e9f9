package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
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

/** A router with a small heap, between a cache server with large values and clients that read them as they like. */
@Timeout(60)
class LargeValueTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int WAIT_MS = 8000;
    private static final int LARGE = 4 << 20;
    private static final byte[] VALUE = value();
    private static final String CONFIG = """
            {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":512},"settings":{
            "Classes":[{"Name":"read","Deadline":2,"GoalTime":1,"Repeat":"idempotent","Worth":1}],
            "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":1,"MaxRetryAfter":1.2,"DialTimeout":0.25,
            "IdleClose":60},"Obligations":{"DrainGrace":1}},
            "known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-00000001","hostPort":"127.0.0.1:%d","zone":"a",
            "machineType":"m","cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}}""";

    @TempDir
    private Path folder;

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket cache;
    private ServerSocket discovery;
    private Process router;
    private int port;

    private static byte[] value() {
        byte[] value = new byte[LARGE];
        for (int i = 0; i < LARGE; i++) {
            value[i] = (byte) (i % 251);
        }
        return value;
    }

    private void start() throws Exception {
        cache = Rehearsal.listen();
        cache.setSoTimeout(WAIT_MS);
        discovery = Rehearsal.listen();
        port = Rehearsal.freePort();
        Path config = Files.writeString(
                folder.resolve("config.json"), CONFIG.formatted(port, discovery.getLocalPort(), cache.getLocalPort()));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx32m",
                "-XX:MaxDirectMemorySize=8m",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.allocator.type=unpooled",
                "-cp",
                System.getProperty("java.class.path"),
                "stagepier.app.Main",
                "serve");
        builder.environment().put("GW_CONFIG", config.toString());
        builder.redirectError(folder.resolve("log").toFile());
        router = builder.start();
        for (int i = 0; !listens(); i++) {
            assertTrue(i < 400 && router.isAlive(), Files.readString(folder.resolve("log")));
            Thread.sleep(25);
        }
    }

    private boolean listens() {
        try (Socket s = new Socket()) {
            s.connect(new java.net.InetSocketAddress(LOOPBACK, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @AfterEach
    void end() throws Exception {
        router.destroyForcibly();
        for (Socket s : sockets) {
            s.close();
        }
        cache.close();
        discovery.close();
    }

    private Socket ask(String id) throws IOException {
        Socket client = new Socket(LOOPBACK, port);
        client.setSoTimeout(WAIT_MS);
        sockets.add(client);
        Rehearsal.write(client, "mg k" + id + " v O" + id + " Pc=read,d=1900\r\n");
        return client;
    }

    private Socket accept() throws IOException {
        Socket link = cache.accept();
        link.setSoTimeout(WAIT_MS);
        sockets.add(link);
        return link;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            line.append((char) b);
            if (b == '\n') {
                return line.toString().strip();
            }
        }
        return line.length() == 0 ? null : line.toString();
    }

    private static void assertWhole(String id, InputStream in) throws IOException {
        assertEquals("VA " + LARGE + " O" + id, line(in));
        byte[] got = in.readNBytes(LARGE);
        assertTrue(java.util.Arrays.equals(VALUE, got), "a value was spoilt on its way");
        assertEquals("", line(in));
    }

    /** 30 values of 4 MiB are four times the heap; nobody reads any of them before all have been asked for. */
    @Test
    void manyLargeValuesAtSlowReadersStayWithinASmallHeapAndDelayNobodyElse() throws Exception {
        start();
        Rehearsal.daemon(() -> {
            while (true) {
                Socket link = accept();
                Rehearsal.daemon(() -> {
                    BufferedReader asked = Rehearsal.reader(link);
                    for (String l = asked.readLine(); l != null; l = asked.readLine()) {
                        String id = l.split(" ")[3];
                        boolean small = id.startsWith("Os");
                        Rehearsal.write(link, "VA " + (small ? 2 : LARGE) + " " + id + " h1\r\n");
                        link.getOutputStream().write(small ? "hi".getBytes(StandardCharsets.US_ASCII) : VALUE);
                        Rehearsal.write(link, "\r\n");
                    }
                });
            }
        });
        List<Socket> readers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            readers.add(ask("r" + i));
            // One that is on its way keeps the next one off its link.
            assertEquals('V', readers.get(i).getInputStream().read());
        }
        for (int i = 0; i < 6; i++) {
            InputStream in = readers.get(i).getInputStream();
            assertWhole(
                    "r" + i, new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(new byte[] {'V'}), in));
        }
        for (int n = 0; n < 24; n++) {
            assertWhole("t" + n, ask("t" + n).getInputStream());
        }
        assertEquals("VA 2 Os1", line(ask("s1").getInputStream()));
        assertTrue(router.isAlive());
    }

    @Test
    void theFirstBytesAreThereAtOnceAndTheRestComesHoweverSlowly() throws Exception {
        start();
        Socket client = ask("a");
        Socket link = accept();
        assertTrue(line(link.getInputStream()).startsWith("mg ka "));
        Rehearsal.write(link, "VA " + LARGE + " Oa h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        InputStream in = client.getInputStream();
        assertEquals("VA " + LARGE + " Oa", line(in));
        assertEquals(VALUE[0], (byte) in.read());
        // Longer than any small answer may rest, and than the request's own time.
        for (int at = 1000, n = 0; at < LARGE; n++) {
            int piece = n < 4 ? 7 : LARGE - at;
            Thread.sleep(n < 4 ? 600 : 0);
            link.getOutputStream().write(VALUE, at, piece);
            at += piece;
        }
        Rehearsal.write(link, "\r\n");
        byte[] rest = in.readNBytes(LARGE - 1);
        assertTrue(java.util.Arrays.equals(VALUE, 1, LARGE, rest, 0, LARGE - 1));
        assertEquals("", line(in));
        Rehearsal.write(client, "mn\r\n");
        assertEquals("MN", line(in), "the client's connection is good for more");
    }

    @Test
    void aValueThatBreaksOffOrEndsSpoiltIsSeenNotToBeWhole() throws Exception {
        start();
        for (boolean spoilt : new boolean[] {false, true}) {
            String id = "b" + spoilt;
            Socket client = ask(id);
            Socket link = accept();
            line(link.getInputStream());
            Rehearsal.write(link, "VA 100000 O" + id + " h1\r\n");
            link.getOutputStream().write(VALUE, 0, spoilt ? 100_000 : 70_000);
            InputStream in = client.getInputStream();
            assertEquals("VA 100000 O" + id, line(in));
            if (spoilt) {
                Rehearsal.write(link, "XX");
            } else {
                link.close();
            }
            byte[] got = in.readAllBytes();
            assertTrue(got.length <= 100_000, "the end of the value was made up");
        }
    }

    /** Guards against a client that waits past its time for a server that stopped for good, with neither answer nor end. */
    @Test
    void aValueThatStopsForGoodIsBrokenOffWhenItsTimeIsUp() throws Exception {
        start();
        long from = System.nanoTime();
        Socket client = ask("c");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA 100000 Oc h1\r\n");
        link.getOutputStream().write(VALUE, 0, 70_000);
        InputStream in = client.getInputStream();
        assertEquals("VA 100000 Oc", line(in));
        assertTrue(in.readAllBytes().length <= 70_000, "all that the server gave, and the end");
        double took = (System.nanoTime() - from) / 1e9;
        assertTrue(took < 1.9 + 0.5, "the end came after " + took + " s");
    }

    /** Guards against a value that has only begun when its time is up, and is cut off at its server's first rest. */
    @Test
    void aValueThatBeginsAsItsTimeRunsOutIsWaitedForWhileItIsNotLate() throws Exception {
        start();
        long from = System.nanoTime();
        Socket client = ask("f");
        Socket link = accept();
        line(link.getInputStream());
        // 30 ms before the time is up; then one rest that is longer than a small answer may make.
        Thread.sleep(1850 - (System.nanoTime() - from) / 1_000_000);
        Rehearsal.write(link, "VA " + LARGE + " Of h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        Thread.sleep(380);
        link.getOutputStream().write(VALUE, 1000, LARGE - 1000);
        Rehearsal.write(link, "\r\n");
        assertWhole("f", client.getInputStream());
    }

    /** Guards against bytes behind a large value that are served to its client as the answer to what it asks next. */
    @Test
    void whatComesBehindALargeValueEndsTheLinkAndTheNextRequestGoesElsewhere() throws Exception {
        start();
        Socket client = ask("e");
        Socket link = accept();
        assertTrue(line(link.getInputStream()).startsWith("mg ke "));
        Rehearsal.write(link, "VA " + LARGE + " Oe h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        InputStream in = client.getInputStream();
        assertEquals("VA " + LARGE + " Oe", line(in));
        // Asked while the value is on its way: it is not taken before that has ended.
        Rehearsal.write(client, "mg kf v Of Pc=read,d=1900\r\n");
        Rehearsal.daemon(() -> {
            link.getOutputStream().write(VALUE, 1000, LARGE - 1000);
            Rehearsal.write(link, "\r\nVA 1 Of h1\r\nX\r\n");
        });
        assertTrue(java.util.Arrays.equals(VALUE, in.readNBytes(LARGE)), "a value was spoilt on its way");
        assertEquals("", line(in));
        Socket next = accept();
        assertTrue(line(next.getInputStream()).startsWith("mg kf "), "on another link");
        assertNull(line(link.getInputStream()), "of no further use");
        Rehearsal.write(next, "VA 1 Of h1\r\n2\r\n");
        assertEquals("VA 1 Of", line(in));
        assertEquals("2", line(in));
    }

    /** Guards against bytes of one client's value that another gets, and against a link that is lost with its client. */
    @Test
    void theRestForAClientThatIsGoneIsPassedOverAndTheLinkServesTheNext() throws Exception {
        start();
        Socket client = ask("c");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA " + LARGE + " Oc h1\r\n");
        link.getOutputStream().write(VALUE, 0, 100_000);
        assertEquals("VA " + LARGE + " Oc", line(client.getInputStream()));
        client.setSoLinger(true, 0);
        client.close();
        link.getOutputStream().write(VALUE, 100_000, LARGE - 100_000);
        Rehearsal.write(link, "\r\n");
        Thread.sleep(100);
        Socket next = ask("d");
        assertTrue(line(link.getInputStream()).startsWith("mg kd "), "on the same link");
        Rehearsal.write(link, "VA 2 Od h1\r\nhi\r\n");
        assertEquals("VA 2 Od", line(next.getInputStream()));
        router.destroy();
        assertTrue(router.waitFor(10, TimeUnit.SECONDS));
        assertTrue(Files.readString(folder.resolve("log")).contains("server_flows_begun=1 server_flows_broken=0"));
        assertNull(line(link.getInputStream()));
    }
}
