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

/** A real process that staff tell to drain: 4 s after the call no client may be held idle, or with a request of the last 2 s. */
@Timeout(60)
class DrainTimeLimitTest {
    private static final int GONE_WITHIN_MS = 4000;
    /** After SIGTERM a process may be killed: the longest deadline of these settings and 0.7 s. */
    private static final int KILLED_AFTER_MS = 2700;
    /** Between two pieces of a client that writes slowly. */
    private static final int PIECE_MS = 100;

    private static final int READ_TIMEOUT_MS = 20;
    /** From here on a request counts as one of the last 2 s. */
    private static final int REQUEST_AFTER_MS = 2200;
    /** So late that its answer, from a server that gives none, is not due by the end of the drain. */
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
        StandInAgent.await(() -> router.says("STATUS").startsWith("OK"));
    }

    /** When it was told to, as {@link System#nanoTime} has it. */
    private long pause() throws IOException {
        long at = System.nanoTime();
        assertTrue(ConsoleCaller.call(router.console(), "PAUSE").startsWith("OK"));
        return at;
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Reads answers for a moment; returns whether the connection was ended. */
    private static boolean isEnded(Socket client) throws IOException {
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

    /** Writes on and on until the connection is ended or its time is over; returns whether it was ended in time. */
    private static boolean endsWhileItWrites(Socket client, long pausedAt, String first, String more) throws Exception {
        String next = first;
        while (millisSince(pausedAt) < GONE_WITHIN_MS) {
            try {
                Rehearsal.write(client, next);
            } catch (IOException e) {
                return true;
            }
            next = more;
            long wroteAt = System.nanoTime();
            while (millisSince(wroteAt) < PIECE_MS) {
                if (isEnded(client)) {
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
    void aProcessPausedWhileItStartsSendsAwayWhoComesOnceItListens() throws Exception {
        agent.silent(true);
        startRouter();
        StandInAgent.await(() -> router.says("PAUSE").startsWith("OK"));
        assertEquals("ERR starting", router.says("STATUS"), "the call came before it listened");
        agent.silent(false);
        StandInAgent.await(() -> router.says("STATUS").startsWith("ERR paused"));
        try (Socket client = router.connect()) {
            client.setSoTimeout(GONE_WITHIN_MS);
            Rehearsal.write(client, "mn\r\n");
            BufferedReader answers = Rehearsal.reader(client);
            assertEquals("SERVER_ERROR draining", answers.readLine());
            assertNull(answers.readLine(), "ended");
        }
    }

    @Test
    void aPausedProcessThatIsToldToEndStillSaysNo() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket busy = router.connect()) {
            Rehearsal.write(busy, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            pause();
            router.signal("TERM");
            StandInAgent.await(() -> router.says("STATUS").startsWith("ERR ending"));
            assertEquals("SERVER_ERROR draining", router.ask("mn"));
            cache.hold(false);
            assertEquals("VA 2 Oa", Rehearsal.reader(busy).readLine());
        }
    }

    @Test
    void aProcessThatEndsSaysNoOnceItIsPaused() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket busy = router.connect()) {
            Rehearsal.write(busy, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            router.signal("TERM");
            StandInAgent.await(() -> router.says("STATUS").startsWith("ERR ending"));
            pause();
            assertEquals("SERVER_ERROR draining", router.ask("mn"));
            cache.hold(false);
            assertEquals("VA 2 Oa", Rehearsal.reader(busy).readLine());
        }
    }

    @Test
    void aClientWithPartOfItsNextCommandAlwaysThereIsSentAway() throws Exception {
        startServing();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("a"));
            assertEquals("VA 2 Oa", Rehearsal.reader(client).readLine());
            long at = pause();
            // Each piece ends one command and begins the next.
            assertTrue(endsWhileItWrites(client, at, "hel", "lo\r\nhel"), "held " + millisSince(at) + " ms");
        }
    }

    @Test
    void aProcessThatEndsIsGoneBeforeItMayBeKilledThoughAClientGoesOnSending() throws Exception {
        startServing();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("a"));
            assertEquals("VA 2 Oa", Rehearsal.reader(client).readLine());
            long at = System.nanoTime();
            router.signal("TERM");
            assertTrue(endsWhileItWrites(client, at, "hel", "lo\r\nhel"));
            assertEquals(0, router.exitCode());
            assertTrue(millisSince(at) <= KILLED_AFTER_MS, "ended after " + millisSince(at) + " ms");
        }
    }

    @Test
    void aRequestOfTheLastTwoSecondsOnANewConnectionIsTurnedAway() throws Exception {
        startServing();
        cache.hold(true);
        long at = pause();
        StandInAgent.await(() -> millisSince(at) > LATE_REQUEST_AFTER_MS);
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("late"));
            StandInAgent.await(() -> millisSince(at) > GONE_WITHIN_MS);
            assertTrue(isEnded(client), "held with a request of the last 2 s");
        }
    }

    @Test
    void aRequestOnAConnectionThatIsAcceptedLateIsNotHeldPastTheTimeAllowed() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), router.console())) {
            // Whoever came before it was accepted by the time of this answer.
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
                StandInAgent.await(() -> millisSince(at) > GONE_WITHIN_MS);
                assertTrue(isEnded(client), "held with a request of the last 2 s");
            }
        }
    }

    @Test
    void afterAResumeALinkThatTheDrainHadCaughtServesAsBefore() throws Exception {
        startServing();
        cache.hold(true);
        try (Socket client = router.connect()) {
            BufferedReader answers = Rehearsal.reader(client);
            Rehearsal.write(client, read("a"));
            StandInAgent.await(() -> !cache.commands().isEmpty());
            long at = pause();
            // Past the moment from which on a drain turns away what comes.
            StandInAgent.await(() -> millisSince(at) > 1400);
            assertEquals("OK clients may come", ConsoleCaller.call(router.console(), "RESUME"));
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
