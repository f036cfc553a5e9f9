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

/**
 * A router process with a small heap between a cache server with large values and clients that read at varying speed.
 */
@Timeout(60)
class LargeValueTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int WAIT_MS = 8000;
    private static final int LARGE_LENGTH = 4 << 20;
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
        byte[] value = new byte[LARGE_LENGTH];
        for (int i = 0; i < LARGE_LENGTH; i++) {
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

    private static void assertValueReceived(String id, InputStream in) throws IOException {
        assertEquals("VA " + LARGE_LENGTH + " O" + id, line(in));
        byte[] got = in.readNBytes(LARGE_LENGTH);
        assertTrue(java.util.Arrays.equals(VALUE, got), "value corrupted in transit");
        assertEquals("", line(in));
    }

    /** 30 values of 4 MiB are four times the heap; the first six are read only after all six have been requested. */
    @Test
    void manyLargeValuesForSlowReadersFitInSmallHeapWithoutDelayingOthers() throws Exception {
        start();
        Rehearsal.daemon(() -> {
            while (true) {
                Socket link = accept();
                Rehearsal.daemon(() -> {
                    BufferedReader asked = Rehearsal.reader(link);
                    for (String l = asked.readLine(); l != null; l = asked.readLine()) {
                        String id = l.split(" ")[3];
                        boolean small = id.startsWith("Os");
                        Rehearsal.write(link, "VA " + (small ? 2 : LARGE_LENGTH) + " " + id + " h1\r\n");
                        link.getOutputStream().write(small ? "hi".getBytes(StandardCharsets.US_ASCII) : VALUE);
                        Rehearsal.write(link, "\r\n");
                    }
                });
            }
        });
        List<Socket> readers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            readers.add(ask("r" + i));
            // A value in transit keeps the next request off its link.
            assertEquals('V', readers.get(i).getInputStream().read());
        }
        for (int i = 0; i < 6; i++) {
            InputStream in = readers.get(i).getInputStream();
            assertValueReceived(
                    "r" + i, new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(new byte[] {'V'}), in));
        }
        for (int n = 0; n < 24; n++) {
            assertValueReceived("t" + n, ask("t" + n).getInputStream());
        }
        assertEquals("VA 2 Os1", line(ask("s1").getInputStream()));
        assertTrue(router.isAlive());
    }

    @Test
    void firstBytesAreForwardedAtOnceAndRestFollowsSlowly() throws Exception {
        start();
        Socket client = ask("a");
        Socket link = accept();
        assertTrue(line(link.getInputStream()).startsWith("mg ka "));
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Oa h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        InputStream in = client.getInputStream();
        assertEquals("VA " + LARGE_LENGTH + " Oa", line(in));
        assertEquals(VALUE[0], (byte) in.read());
        // Longer than the time-out for a gap in a small answer and than the deadline of the request.
        for (int at = 1000, n = 0; at < LARGE_LENGTH; n++) {
            int piece = n < 4 ? 7 : LARGE_LENGTH - at;
            Thread.sleep(n < 4 ? 600 : 0);
            link.getOutputStream().write(VALUE, at, piece);
            at += piece;
        }
        Rehearsal.write(link, "\r\n");
        byte[] rest = in.readNBytes(LARGE_LENGTH - 1);
        assertTrue(java.util.Arrays.equals(VALUE, 1, LARGE_LENGTH, rest, 0, LARGE_LENGTH - 1));
        assertEquals("", line(in));
        Rehearsal.write(client, "mn\r\n");
        assertEquals("MN", line(in), "the client link cannot be reused");
    }

    @Test
    void truncatedOrCorruptValueIsDetectedByClient() throws Exception {
        start();
        for (boolean corrupt : new boolean[] {false, true}) {
            String id = "b" + corrupt;
            Socket client = ask(id);
            Socket link = accept();
            line(link.getInputStream());
            Rehearsal.write(link, "VA 100000 O" + id + " h1\r\n");
            link.getOutputStream().write(VALUE, 0, corrupt ? 100_000 : 70_000);
            InputStream in = client.getInputStream();
            assertEquals("VA 100000 O" + id, line(in));
            if (corrupt) {
                Rehearsal.write(link, "XX");
            } else {
                link.close();
            }
            byte[] got = in.readAllBytes();
            assertTrue(got.length <= 100_000, "the router padded the value");
        }
    }

    /** Prevents a client from waiting without end for a server that stopped sending in the middle of a value. */
    @Test
    void valueThatStallsForFiveSecondsIsAborted() throws Exception {
        start();
        Socket client = ask("c");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA 100000 Oc h1\r\n");
        link.getOutputStream().write(VALUE, 0, 70_000);
        long from = System.nanoTime();
        InputStream in = client.getInputStream();
        assertEquals("VA 100000 Oc", line(in));
        assertTrue(in.readAllBytes().length <= 70_000, "more bytes than the server sent");
        double took = (System.nanoTime() - from) / 1e9;
        assertTrue(took < 5 + 0.5, "the link was closed after " + took + " s");
    }

    /** Prevents a value that has come evenly from being cut off while its server pauses after the deadline. */
    @Test
    void valueWhoseServerPausesAfterTheDeadlineArrivesWhole() throws Exception {
        start();
        Socket client = ask("g");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Og h1\r\n");
        int at = 0;
        for (int n = 0; n < 85; n++, at += 1000) {
            link.getOutputStream().write(VALUE, at, 1000);
            Thread.sleep(30);
        }
        Thread.sleep(900);
        link.getOutputStream().write(VALUE, at, LARGE_LENGTH - at);
        Rehearsal.write(link, "\r\n");
        assertValueReceived("g", client.getInputStream());
    }

    /** Prevents a large value whose first byte comes late, but in time, from being given up after its head. */
    @Test
    void valueWhoseFirstByteComesLongAfterItsHeadArrivesWhole() throws Exception {
        start();
        Socket client = ask("h");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Oh h1\r\n");
        Thread.sleep(1000);
        link.getOutputStream().write(VALUE);
        Rehearsal.write(link, "\r\n");
        assertValueReceived("h", client.getInputStream());
    }

    /** Prevents truncation, at the first gap in sending, of a value that starts just before its deadline. */
    @Test
    void valueThatStartsJustBeforeDeadlineIsCompleted() throws Exception {
        start();
        long from = System.nanoTime();
        Socket client = ask("f");
        Socket link = accept();
        line(link.getInputStream());
        // Starts shortly before the deadline; the gap then exceeds the limit for small answers.
        Thread.sleep(1850 - (System.nanoTime() - from) / 1_000_000);
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Of h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        Thread.sleep(380);
        link.getOutputStream().write(VALUE, 1000, LARGE_LENGTH - 1000);
        Rehearsal.write(link, "\r\n");
        assertValueReceived("f", client.getInputStream());
    }

    /** Prevents bytes behind a large value from being sent to its client as the answer to the next request. */
    @Test
    void bytesBehindLargeValueCloseLinkAndNextRequestUsesAnother() throws Exception {
        start();
        Socket client = ask("e");
        Socket link = accept();
        assertTrue(line(link.getInputStream()).startsWith("mg ke "));
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Oe h1\r\n");
        link.getOutputStream().write(VALUE, 0, 1000);
        InputStream in = client.getInputStream();
        assertEquals("VA " + LARGE_LENGTH + " Oe", line(in));
        // Sent while the value is in transit; the router does not process it before the value has ended.
        Rehearsal.write(client, "mg kf v Of Pc=read,d=1900\r\n");
        Rehearsal.daemon(() -> {
            link.getOutputStream().write(VALUE, 1000, LARGE_LENGTH - 1000);
            Rehearsal.write(link, "\r\nVA 1 Of h1\r\nX\r\n");
        });
        assertTrue(java.util.Arrays.equals(VALUE, in.readNBytes(LARGE_LENGTH)), "value corrupted in transit");
        assertEquals("", line(in));
        Socket next = accept();
        assertTrue(line(next.getInputStream()).startsWith("mg kf "), "on another link");
        assertNull(line(link.getInputStream()), "the link was not closed");
        Rehearsal.write(next, "VA 1 Of h1\r\n2\r\n");
        assertEquals("VA 1 Of", line(in));
        assertEquals("2", line(in));
    }

    /** Prevents bytes of one client's value from reaching another client, and the loss of the link with its client. */
    @Test
    void remainderForDisconnectedClientIsDiscardedAndLinkIsReused() throws Exception {
        start();
        Socket client = ask("c");
        Socket link = accept();
        line(link.getInputStream());
        Rehearsal.write(link, "VA " + LARGE_LENGTH + " Oc h1\r\n");
        link.getOutputStream().write(VALUE, 0, 100_000);
        assertEquals("VA " + LARGE_LENGTH + " Oc", line(client.getInputStream()));
        client.setSoLinger(true, 0);
        client.close();
        link.getOutputStream().write(VALUE, 100_000, LARGE_LENGTH - 100_000);
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
