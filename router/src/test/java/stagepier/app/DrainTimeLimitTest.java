package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.app.SyscallFaults.Call;
import stagepier.app.SyscallFaults.Failure;

/**
 * Drain of a router process by a console command: 4 s later no client link may be open that is idle or that carries a
 * request of the last 2 s.
 */
@Timeout(60)
class DrainTimeLimitTest {
    private static final int DRAIN_LIMIT_MS = 4000;
    /** Earliest time of SIGKILL after SIGTERM: the longest deadline of these settings plus 0.7 s. */
    private static final int KILL_AFTER_MS = 2700;
    /** Interval between the writes of a slow client. */
    private static final int WRITE_INTERVAL_MS = 100;

    private static final int READ_TIMEOUT_MS = 20;
    /** Time after which a request counts as one of the last 2 s. */
    private static final int REQUEST_AFTER_MS = 2200;
    /** Late enough that the deadline of a request without an answer falls after the end of the drain. */
    private static final int LATE_REQUEST_AFTER_MS = 3500;

    @TempDir
    private Path folder;

    private StandInAgent agent;
    private StandInCache cache;
    private SyscallFaults faults;
    private RouterProcess router;

    @BeforeEach
    void start() throws Exception {
        agent = new StandInAgent();
        cache = new StandInCache();
        faults = new SyscallFaults(folder);
    }

    @AfterEach
    void end() throws IOException {
        router.close();
        cache.close();
        agent.close();
    }

    private void startRouter() throws IOException {
        router = RouterProcess.withConsole(
                folder, agent, faults.environment(), StandInAgent.entry(1, cache.port(), "up"));
    }

    private void startServing() throws Exception {
        startRouter();
        StandInAgent.await(() -> router.callConsole("STATUS").startsWith("OK"));
    }

    /** Sends PAUSE and returns the time of the call by {@link System#nanoTime}. */
    private long pause() throws IOException {
        long at = System.nanoTime();
        assertTrue(ConsoleClient.call(router.console(), "PAUSE").startsWith("OK"));
        return at;
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Reads answers until a short time-out and returns whether the connection was closed. */
    private static boolean isClosed(Socket client) throws IOException {
        client.setSoTimeout(READ_TIMEOUT_MS);
        try {
            byte[] answers = new byte[4096];
            int read = client.getInputStream().read(answers);
            while (read >= 0) {
                read = client.getInputStream().read(answers);
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Writes until the connection is closed or the drain limit is reached; returns whether it was closed in time. */
    private static boolean closesWhileWriting(Socket client, long pausedAt, String first, String more)
            throws Exception {
        String next = first;
        while (millisSince(pausedAt) < DRAIN_LIMIT_MS) {
            try {
                Rehearsal.write(client, next);
            } catch (IOException e) {
                return true;
            }
            next = more;
            long wroteAt = System.nanoTime();
            while (millisSince(wroteAt) < WRITE_INTERVAL_MS) {
                if (isClosed(client)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static String read(String id) {
        return "mg k" + id + " v O" + id + " Pc=read,d=1900\r\n";
    }

    @Test
    void processPausedDuringStartRefusesClientsOnceItListens() throws Exception {
        agent.silent(true);
        startRouter();
        StandInAgent.await(() -> router.callConsole("PAUSE").startsWith("OK"));
        assertEquals("ERR starting", router.callConsole("STATUS"), "the router listened before the command");
        agent.silent(false);
        StandInAgent.await(() -> router.callConsole("STATUS").startsWith("ERR paused"));
        try (Socket client = router.connect()) {
            client.setSoTimeout(DRAIN_LIMIT_MS);
            Rehearsal.write(client, "mn\r\n");
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("SERVER_ERROR draining", answers.readLine());
            assertNull(answers.readLine(), "connection not closed");
        }
    }

    @Test
    void pausedProcessStillFailsProbesAfterSigterm() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket busy = router.connect()) {
            Rehearsal.write(busy, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            pause();
            router.signal("TERM");
            StandInAgent.await(() -> router.callConsole("STATUS").startsWith("ERR ending"));
            assertEquals("SERVER_ERROR draining", router.ask("mn"));
            cache.hold(false);
            assertEquals("VA 2 Oa", Rehearsal.reader(busy).readLine());
        }
    }

    @Test
    void endingProcessFailsProbesOnceItIsPaused() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket busy = router.connect()) {
            Rehearsal.write(busy, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            router.signal("TERM");
            StandInAgent.await(() -> router.callConsole("STATUS").startsWith("ERR ending"));
            pause();
            assertEquals("SERVER_ERROR draining", router.ask("mn"));
            cache.hold(false);
            assertEquals("VA 2 Oa", Rehearsal.reader(busy).readLine());
        }
    }

    @Test
    void clientThatAlwaysHasPartialCommandIsDisconnected() throws Exception {
        startServing();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("a"));
            assertEquals("VA 2 Oa", Rehearsal.reader(client).readLine());
            long at = pause();
            // Each write ends one command and starts the next.
            assertTrue(
                    closesWhileWriting(client, at, "hel", "lo\r\nhel"), "link open after " + millisSince(at) + " ms");
        }
    }

    @Test
    void processExitsBeforeKillThoughClientKeepsSending() throws Exception {
        startServing();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("a"));
            assertEquals("VA 2 Oa", Rehearsal.reader(client).readLine());
            long at = System.nanoTime();
            router.signal("TERM");
            assertTrue(closesWhileWriting(client, at, "hel", "lo\r\nhel"));
            assertEquals(0, router.exitCode());
            assertTrue(millisSince(at) <= KILL_AFTER_MS, "exited after " + millisSince(at) + " ms");
        }
    }

    @Test
    void requestOfLastTwoSecondsOnNewConnectionIsRefused() throws Exception {
        startServing();
        cache.hold(true);
        long at = pause();
        StandInAgent.await(() -> millisSince(at) > LATE_REQUEST_AFTER_MS);
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("late"));
            StandInAgent.await(() -> millisSince(at) > DRAIN_LIMIT_MS);
            assertTrue(isClosed(client), "link with a request of the last 2 s not closed");
        }
    }

    @Test
    void requestOnLateAcceptedConnectionIsNotHeldPastLimit() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), router.console())) {
            // All earlier connections have been accepted when this answer arrives.
            assertEquals("MN", router.ask("mn"));
            faults.next(Call.ACCEPT, Failure.ENFILE, Integer.MAX_VALUE);
            try (Socket client = router.connect()) {
                faults.awaitMade(Call.ACCEPT, 1);
                long at = System.nanoTime();
                Rehearsal.write(caller, "PAUSE\n");
                assertTrue(Rehearsal.reader(caller).readLine().startsWith("OK"));
                StandInAgent.await(() -> millisSince(at) > REQUEST_AFTER_MS);
                Rehearsal.write(client, read("late"));
                faults.next(Call.ACCEPT, Failure.ENFILE, 0);
                StandInAgent.await(() -> millisSince(at) > DRAIN_LIMIT_MS);
                assertTrue(isClosed(client), "link with a request of the last 2 s not closed");
            }
        }
    }

    @Test
    void drainingLinkServesNormallyAfterResume() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket client = router.connect()) {
            BufferedReader answers = Rehearsal.reader(client);
            Rehearsal.write(client, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            long at = pause();
            // Later than the time from which a drain refuses new requests.
            StandInAgent.await(() -> millisSince(at) > 1400);
            assertEquals("OK clients may come", ConsoleClient.call(router.console(), "RESUME"));
            Rehearsal.write(client, read("b"));
            cache.hold(false);
            assertEquals("VA 2 Oa", answers.readLine());
            assertEquals("hi", answers.readLine());
            assertEquals("VA 2 Ob", answers.readLine());
            assertEquals("hi", answers.readLine());
            Rehearsal.write(client, read("c"));
            assertEquals("VA 2 Oc", answers.readLine());
        }
    }
}
