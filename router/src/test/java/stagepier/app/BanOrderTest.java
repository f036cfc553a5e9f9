package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Bans that are set and ended on the consoles of two router processes that share a folder, as in an upgrade. */
@Timeout(120)
class BanOrderTest {
    private static final long SEED = 63;
    private static final int DRAWS = 100;
    private static final int MAX_DELAY_MS = 200;
    private static final int CLIENTS = 40;
    private static final int KILLS = 5;
    private static final int MAX_KILL_DELAY_MS = 60;
    /** The drain grace of the settings: by then, a call binds each process. */
    private static final long GRACE_MS = 1000;

    private static final String SERVER = "s-00000001";
    /** A second server: a process that has learned of a call on it has learned of all calls before. */
    private static final String MARKER = "s-00000002";

    private static final String SERVERS_OUT = "STAT servers_out ";

    @TempDir
    private Path shared;

    private final List<RouterProcess> routers = new ArrayList<>();
    private int starts;
    private StandInAgent agent;
    private StandInCache one;
    private StandInCache other;

    @BeforeEach
    void begin() throws IOException {
        agent = new StandInAgent();
        one = new StandInCache();
        other = new StandInCache();
    }

    @AfterEach
    void end() throws IOException {
        routers.forEach(RouterProcess::close);
        one.close();
        other.close();
        agent.close();
    }

    private RouterProcess start() throws Exception {
        Path folder = Files.createDirectory(shared.resolve("router" + starts++));
        RouterProcess router = RouterProcess.withConsole(
                folder,
                agent,
                Map.of("TMPDIR", shared.toString()),
                StandInAgent.entry(1, one.port(), "up"),
                StandInAgent.entry(2, other.port(), "up"));
        routers.add(router);
        StandInAgent.await(() -> router.callConsole("STATUS").startsWith("OK"));
        return router;
    }

    private static void call(RouterProcess router, String server, boolean out) {
        String line = line(server, out);
        String answer = router.callConsole(line);
        assertTrue(answer.startsWith("OK"), () -> line + " was answered with '" + answer + "'");
    }

    private static String line(String server, boolean out) {
        return (out ? "SUSPEND " : "RESTORE ") + server;
    }

    private static int serversOut(RouterProcess router) throws Exception {
        try (Socket client = router.connect()) {
            Rehearsal.write(client, "stats\r\n");
            BufferedReader in = Rehearsal.reader(client);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith(SERVERS_OUT)) {
                    return Integer.parseInt(line.substring(SERVERS_OUT.length()));
                }
            }
        }
        throw new AssertionError("no counter of the servers that are out");
    }

    /** Waits until each process counts this many servers as out, and fails if one does not within the grace. */
    private void awaitServersOut(int expected, String situation) throws Exception {
        for (RouterProcess router : routers) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GRACE_MS);
            int actual = serversOut(router);
            while (actual != expected && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(5);
                actual = serversOut(router);
            }
            assertEquals(expected, actual, situation + ": servers out at process " + routers.indexOf(router));
        }
    }

    /**
     * Checks the state of the server in both processes once each has read what the other one stored, which the calls on
     * the marker show.
     */
    private void assertSettled(boolean out, String situation) throws Exception {
        int expected = out ? 1 : 0;
        call(routers.get(0), MARKER, true);
        awaitServersOut(expected + 1, situation);
        call(routers.get(1), MARKER, false);
        awaitServersOut(expected, situation);
    }

    /**
     * Guards against a ban that is lost, or stays for ever, because a process compared a call with what it had read of
     * the other process's calls some time before.
     */
    @Test
    void lastAnsweredCallIsInForceInBothProcessesHoweverCloseTheCallsCome() throws Exception {
        start();
        start();
        Random random = new Random(SEED);
        for (int draw = 0; draw < DRAWS; draw++) {
            RouterProcess first = routers.get(random.nextInt(routers.size()));
            RouterProcess second = routers.get(1 - routers.indexOf(first));
            boolean out = random.nextBoolean();
            int delayMs = random.nextInt(MAX_DELAY_MS + 1);
            call(first, SERVER, out);
            awaitServersOut(out ? 1 : 0, "before draw " + draw);
            call(first, SERVER, !out);
            TimeUnit.MILLISECONDS.sleep(delayMs);
            call(second, SERVER, out);
            assertSettled(
                    out,
                    "draw " + draw + ", " + line(SERVER, out) + " at process " + routers.indexOf(second) + ", "
                            + delayMs + " ms after the opposite call at the other one");
        }
    }

    /** Guards against a half-done call of a killed process that loses a ban or hinders the calls after it. */
    @Test
    void killedProcessLeavesTheStateOfItsLastAnsweredCallOrOfTheOneOnItsWay() throws Exception {
        RouterProcess survivor = start();
        Random random = new Random(SEED);
        for (int kill = 0; kill < KILLS; kill++) {
            RouterProcess victim = start();
            AtomicBoolean lastSent = new AtomicBoolean();
            AtomicBoolean lastAnswered = new AtomicBoolean();
            Thread caller = new Thread(() -> {
                for (boolean out = true; victim.process().isAlive(); out = !out) {
                    lastSent.set(out);
                    if (victim.callConsole(line(SERVER, out)).startsWith("OK")) {
                        lastAnswered.set(out);
                    }
                }
            });
            call(survivor, SERVER, false);
            awaitServersOut(0, "before kill " + kill);
            caller.start();
            TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(MAX_KILL_DELAY_MS));
            victim.process().destroyForcibly().waitFor();
            caller.join();
            routers.remove(victim);
            call(survivor, MARKER, true);
            int out = serversOut(survivor) - 1;
            if (lastSent.get() == lastAnswered.get()) {
                assertEquals(lastAnswered.get() ? 1 : 0, out, "kill " + kill);
            }
            call(survivor, MARKER, false);
            call(survivor, SERVER, true);
            awaitServersOut(1, "a ban after kill " + kill);
        }
    }

    /** Guards against requests to a server that was taken out at the other process while this one was suspended. */
    @Test
    void processThatWasSuspendedReadsTheBansBeforeItSendsAnything() throws Exception {
        RouterProcess suspended = start();
        RouterProcess running = start();
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(suspended.connect());
                askAndRead(clients.get(i), i);
            }
            assertTrue(one.answered() > 0, "the server is in use");
            suspended.signal("STOP");
            call(running, SERVER, true);
            long calledAt = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                Rehearsal.write(clients.get(i), request(CLIENTS + i));
            }
            long left = TimeUnit.MILLISECONDS.toNanos(GRACE_MS) - (System.nanoTime() - calledAt);
            TimeUnit.NANOSECONDS.sleep(left);
            long before = one.answered();
            suspended.signal("CONT");
            for (Socket client : clients) {
                Rehearsal.reader(client).readLine();
            }
            assertEquals(before, one.answered(), "requests to the server after the grace");
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static String request(int number) {
        return "mg key%d v Os%d Pc=read,d=1900\r\n".formatted(number, number);
    }

    private static void askAndRead(Socket client, int number) throws IOException {
        Rehearsal.write(client, request(number));
        BufferedReader in = Rehearsal.reader(client);
        assertTrue(in.readLine().startsWith("VA 2 "));
        in.readLine();
    }
}
