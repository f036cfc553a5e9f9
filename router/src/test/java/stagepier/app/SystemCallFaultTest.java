package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import stagepier.app.SyscallFaults.Call;
import stagepier.app.SyscallFaults.Failure;

/** Runs a router process while some of its system calls fail temporarily. */
@Timeout(60)
class SystemCallFaultTest {
    private static final String READY = "MN";
    /** Time-out of the clients in milliseconds, slightly below the deadline of the class. */
    private static final int WAIT_MS = 1900;
    /** Milliseconds by which a forwarded deadline may exceed the time that is left to the client. */
    private static final int SLACK_MS = 150;

    private static final String EVENT_LOOP = "[multiThreadIoEventLoopGroup-2-1] ";
    /** More failures than occur during any test. */
    private static final int LASTING = 1_000_000;

    @TempDir
    private Path folder;

    private SyscallFaults faults;
    private StandInAgent agent;
    private StandInCache cache;
    private RouterProcess router;

    @BeforeEach
    void prepare() throws Exception {
        faults = new SyscallFaults(folder);
        agent = new StandInAgent();
        cache = new StandInCache();
    }

    @AfterEach
    void stop() throws IOException {
        router.close();
        agent.close();
        cache.close();
    }

    private void start() throws Exception {
        router = new RouterProcess(folder, agent, faults.environment(), StandInAgent.entry(1, cache.port(), "up"));
        assertEquals(READY, router.ask("mn"));
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static String read(String id) {
        return "mg k" + id + " v O" + id + " Pc=read,t=x,d=" + WAIT_MS;
    }

    private void assertServed(String id) throws Exception {
        assertEquals("VA 2 O" + id, router.ask(read(id)));
    }

    @Test
    void requestOfDisconnectedClientIsNotForwardedAfterAcceptFailed() throws Exception {
        start();
        // Opens the server link, so that a request is sent as soon as it is read.
        assertServed("first");
        faults.next(Call.ACCEPT, Failure.ENFILE, LASTING);
        try (Socket client = router.connect()) {
            Rehearsal.write(client, read("gone") + "\r\n");
            faults.awaitMade(Call.ACCEPT, 1);
        }
        faults.next(Call.ACCEPT, Failure.ENFILE, 0);
        // Accepted after the connection that was closed, and answered by the same cache server.
        assertServed("last");
        assertEquals(2, cache.answered(), "request forwarded after its client had disconnected");
    }

    @Test
    void clientIsAnsweredInTimeWhenAcceptFailsTemporarily() throws Exception {
        start();
        faults.next(Call.ACCEPT, Failure.ENFILE, 3);
        long from = System.nanoTime();
        assertServed("a");
        assertTrue(millisSince(from) < WAIT_MS, "answered after the client's time-out");
    }

    @Test
    void forwardedDeadlineExcludesTimeSpentWaitingForAccept() throws Exception {
        start();
        faults.next(Call.ACCEPT, Failure.ENFILE, LASTING);
        try (Socket client = router.connect()) {
            long from = System.nanoTime();
            Rehearsal.write(client, read("late") + "\r\n");
            StandInAgent.await(() -> millisSince(from) > 2 * SLACK_MS);
            long waited = millisSince(from);
            faults.next(Call.ACCEPT, Failure.ENFILE, 0);
            assertEquals("VA 2 Olate", Rehearsal.reader(client).readLine());
            String forwarded = cache.commands().get(0).line();
            long forwardedDeadline = Long.parseLong(forwarded.replaceAll(".*[,P]d=(\\d+).*", "$1"));
            assertTrue(forwardedDeadline <= WAIT_MS - waited + SLACK_MS, forwarded);
        }
    }

    /** A Netty bootstrap that opens the socket itself reports the failure on a thread of its own. */
    @Test
    void failureToOpenSocketIsHandledOnEventLoop() throws Exception {
        start();
        faults.next(Call.SOCKET, Failure.ENFILE, 1);
        router.ask(read("a"));
        faults.awaitMade(Call.SOCKET, 1);
        router.awaitLog("no connection to a cache server");
        List<String> loggedOnOtherThreads = router.log()
                .lines()
                .filter(line -> line.contains("no connection to a cache server") && !line.startsWith(EVENT_LOOP))
                .toList();
        assertEquals(List.of(), loggedOnOtherThreads);
    }

    @ParameterizedTest
    @CsvSource({
        "SOCKET, ENFILE",
        "SOCKET, ENOBUFS",
        "CONNECT, EADDRNOTAVAIL",
        "CONNECT, ENETUNREACH",
        "CONNECT, ENOBUFS"
    })
    void requestIsServedWhenConnectFailsTemporarily(Call call, Failure failure) throws Exception {
        start();
        faults.next(call, failure, 5);
        assertServed("a");
        assertEquals(5, faults.made(call));
    }

    @Test
    void discoveryIsWatchedAfterSocketsFailedDuringReload() throws Exception {
        start();
        agent.awaitCalls(1);
        try (StandInAgent other = new StandInAgent();
                StandInAgent last = new StandInAgent()) {
            faults.next(Call.SOCKET, Failure.ENFILE, LASTING);
            router.configure(other);
            router.signal("HUP");
            faults.awaitMade(Call.SOCKET, 1);
            router.configure(last);
            router.signal("HUP");
            router.awaitLog("discovery at /127.0.0.1:" + last.port());
            faults.next(Call.SOCKET, Failure.ENFILE, 0);
            last.awaitCalls(1);
        }
    }

    @Test
    void reloadSucceedsWhenFileIsTemporarilyUnreadable() throws Exception {
        start();
        try (StandInAgent other = new StandInAgent()) {
            router.configure(other);
            faults.next(Call.OPEN, Failure.EIO, 3);
            router.signal("HUP");
            other.awaitCalls(1);
        }
    }

    @ParameterizedTest
    @CsvSource({"SOCKET, ENFILE", "EPOLL_CREATE, ENFILE", "OPEN, EIO"})
    void startSurvivesTemporarySystemCallFailures(Call call, Failure failure) throws Exception {
        faults.next(call, failure, 20);
        start();
        assertEquals(20, faults.made(call));
        assertServed("a");
    }

    @Test
    void interruptedReadDoesNotCloseConnection() throws Exception {
        start();
        try (Socket client = router.connect()) {
            BufferedReader in = Rehearsal.reader(client);
            for (String id : List.of("a", "b", "c")) {
                faults.next(Call.READ, Failure.EINTR, 3);
                Rehearsal.write(client, read(id) + "\r\n");
                assertEquals("VA 2 O" + id, in.readLine());
                assertEquals("hi", in.readLine());
            }
        }
        assertTrue(faults.made(Call.READ) > 3);
    }

    @Test
    void requestLogTracesRequestByIdThroughFailure() throws Exception {
        Map<String, String> environment = new HashMap<>(faults.environment());
        environment.put("JAVA_TOOL_OPTIONS", "-Dorg.slf4j.simpleLogger.log.stagepier.requests=debug");
        router = new RouterProcess(folder, agent, environment, StandInAgent.entry(1, cache.port(), "up"));
        assertEquals(READY, router.ask("mn"));
        faults.next(Call.SOCKET, Failure.ENFILE, 1);
        assertServed("a");
        router.awaitLog("id=a answered");
        List<String> events = router.log()
                .lines()
                .filter(line -> line.contains(" id=a "))
                .map(line -> line.replaceAll(".* id=a (?:attempt=0 )?(\\w+).*", "$1"))
                .toList();
        assertEquals(List.of("taken", "sent", "ended", "answered"), events);
    }

    /** A failed read is handled as the end of that connection and does not affect other connections. */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void failedReadClosesOnlyThatConnection(Failure failure) throws Exception {
        start();
        try (Socket broken = router.connect()) {
            Rehearsal.write(broken, "mn\r\n");
            assertEquals(READY, Rehearsal.reader(broken).readLine());
            faults.next(Call.READ, failure, 1);
            Rehearsal.write(broken, "mn\r\n");
            faults.awaitMade(Call.READ, 1);
        }
        assertServed("a");
    }

    @Test
    void singleByteReadsAndWritesLoseNothing() throws Exception {
        start();
        faults.next(Call.READ, Failure.SHORT, 1000);
        faults.next(Call.WRITE, Failure.SHORT, 1000);
        try (Socket client = router.connect()) {
            BufferedReader in = Rehearsal.reader(client);
            for (int i = 0; i < 10; i++) {
                Rehearsal.write(client, read("a" + i) + "\r\n");
                assertEquals("VA 2 Oa" + i, in.readLine());
                assertEquals("hi", in.readLine());
            }
        }
    }

    @Test
    void interruptedWaitsLoseNothing() throws Exception {
        start();
        faults.next(Call.WAIT, Failure.EINTR, 200);
        assertServed("a");
        assertTrue(faults.made(Call.WAIT) > 0);
    }
}
