package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.bans.SharedBans;
import stagepier.exchange.Clock;

/** A router whose event loop stands still while another process takes a server out. */
@Timeout(60)
class StalledLoopBanTest {
    private static final int CLIENTS = 40;
    /** The drain grace of the settings: by then, a call binds each process. */
    private static final long GRACE_MS = 1000;

    @TempDir
    private Path shared;

    private final List<Socket> clients = new ArrayList<>();
    private StandInAgent agent;
    private StandInCache one;
    private StandInCache other;
    private Router router;
    private int port;

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        one = new StandInCache();
        other = new StandInCache();
        port = TestPorts.next();
        String known =
                StandInAgent.known(StandInAgent.entry(1, one.port(), "up"), StandInAgent.entry(2, other.port(), "up"));
        router = new Router(Config.parse(
                """
                {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":256},"settings":%s,
                "known":%s}""".formatted(port, agent.port(), RouterProcess.SETTINGS, known),
                Map.of("TMPDIR", shared.toString(), "GW_CONSOLE", "127.0.0.1:" + TestPorts.next())));
        router.start().get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        router.stop().get(10, TimeUnit.SECONDS);
        one.close();
        other.close();
        agent.close();
    }

    private static String request(int number) {
        return "mg key%d v Os%d Pc=read,d=1900\r\n".formatted(number, number);
    }

    private static void readAnswer(Socket client) throws IOException {
        BufferedReader in = Rehearsal.reader(client);
        assertTrue(in.readLine().startsWith("VA 2 "));
        assertEquals("hi", in.readLine());
    }

    /** Guards against requests to a server that was taken out at the other process while this one stood still. */
    @Test
    void bansOfOtherProcessesAreReadBeforeAnythingIsSentAfterStall() throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket("127.0.0.1", port);
            client.setSoTimeout(RouterProcess.WAIT_MS);
            clients.add(client);
            Rehearsal.write(client, request(i));
            readAnswer(client);
        }
        assertTrue(one.answered() > 0, "the server is in use");
        StandInAgent.await(() -> !agent.hasNoPendingCall());
        StalledLoop stalled = new StalledLoop(router.loop());
        assertTrue(new SharedBans(shared)
                .decide("s-00000001", true, new Clock().now())
                .stored());
        long before = one.answered();
        for (int i = 0; i < CLIENTS; i++) {
            Rehearsal.write(clients.get(i), request(CLIENTS + i));
        }
        // The grace has to pass, in which the server may get requests.
        TimeUnit.MILLISECONDS.sleep(GRACE_MS);
        stalled.resume();
        for (Socket client : clients) {
            assertNotNull(Rehearsal.reader(client).readLine(), "closed without an answer");
        }
        assertEquals(before, one.answered(), "requests to the server after the grace");
    }
}
