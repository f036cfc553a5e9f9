package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Prevents a router with a heap of 64 MB from running out of memory under clients that leave large answers unread. */
@Timeout(60)
class SlowReadersTest {
    private static final int SLOW_CLIENTS = 40;
    private static final int COMMANDS_AT_ONCE = 120;
    private static final int VALUE_BYTES = 64_000;
    private static final int CACHE_SERVERS = 6;
    private static final int KEYS = 100;
    /** Requests of the usual client that are served between the start of one slow client and the next. */
    private static final int SERVED_BETWEEN = 30;
    /** The heap that the command of the deploy file gives a router. */
    private static final Map<String, String> HEAP = Map.of("JAVA_TOOL_OPTIONS", "-Xmx64m -XX:+UseSerialGC");

    @TempDir
    Path folder;

    private final List<Socket> slowClients = new ArrayList<>();
    private StandInAgent agent;
    private final List<ServerSocket> caches = new ArrayList<>();
    private RouterProcess router;

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        String[] entries = new String[CACHE_SERVERS];
        for (int i = 0; i < CACHE_SERVERS; i++) {
            entries[i] = StandInAgent.entry(i + 1, startCache(), "up");
        }
        router = new RouterProcess(folder, agent, HEAP, entries);
        StandInAgent.await(() -> "MN".equals(ask("mn")));
    }

    private int startCache() throws IOException {
        ServerSocket cache = Rehearsal.listen();
        caches.add(cache);
        Rehearsal.daemon(() -> {
            while (true) {
                Socket connection = cache.accept();
                Rehearsal.daemon(() -> serveLargeValues(connection));
            }
        });
        return cache.getLocalPort();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket client : slowClients) {
            client.close();
        }
        router.close();
        for (ServerSocket cache : caches) {
            cache.close();
        }
        agent.close();
    }

    private static void serveLargeValues(Socket connection) throws IOException {
        connection.setTcpNoDelay(true);
        BufferedReader in = Rehearsal.reader(connection);
        OutputStream out = connection.getOutputStream();
        byte[] valueAndEnd = ("v".repeat(VALUE_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String id = line.substring(line.indexOf(" O"), line.indexOf(" P"));
            Rehearsal.write(connection, "VA " + VALUE_BYTES + id + " h1\r\n");
            out.write(valueAndEnd);
        }
    }

    private String ask(String line) {
        try {
            return router.ask(line);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static String read(int key, String id) {
        return "mg k%d v O%s Pc=read,d=1900\r\n".formatted(key % KEYS, id);
    }

    private void connectSlowClient(int number) throws IOException {
        Socket client = new Socket();
        slowClients.add(client);
        client.setReceiveBufferSize(4096);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), router.port()));
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            commands.append(read(number + i, "s" + number + "x" + i));
        }
        Rehearsal.write(client, commands.toString());
    }

    private static String readLine(DataInputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            line.append((char) c);
        }
        return line.toString().trim();
    }

    /** Sends a read and returns whether it was served; a refusal by the routing module is an answer as well. */
    private static boolean isServed(Socket client, int key, String id) throws IOException {
        Rehearsal.write(client, read(key, id));
        DataInputStream in = new DataInputStream(client.getInputStream());
        String answer = readLine(in);
        if (answer.startsWith("SERVER_ERROR")) {
            return false;
        }
        assertEquals("VA " + VALUE_BYTES + " O" + id, answer);
        in.readFully(new byte[VALUE_BYTES + 2]);
        return true;
    }

    private static void readUntilServed(Socket client, int requests, String idPrefix) throws IOException {
        int served = 0;
        for (int i = 0; served < requests; i++) {
            served += isServed(client, i, idPrefix + i) ? 1 : 0;
        }
    }

    @Test
    void clientsThatReadAreServedWhileOthersLeaveLargeAnswersUnread() throws Exception {
        try (Socket usual = router.connect()) {
            readUntilServed(usual, KEYS, "w");
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                connectSlowClient(i);
                readUntilServed(usual, SERVED_BETWEEN, "u" + i + "x");
            }
        }
        assertEquals("MN", ask("mn"));
        assertTrue(router.process().isAlive());
        assertFalse(router.log().contains("OutOfMemoryError"), router.log());
    }
}
