package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that disconnect: no execution starts for them afterwards, whatever events cross the disconnect. */
@Timeout(30)
class ClientDisconnectTest {
    /** Returns the first line that the cache server receives on this link. */
    private static String firstLine(Socket link) throws Exception {
        link.setSoTimeout(RouterProcess.WAIT_MS);
        return Rehearsal.reader(link).readLine();
    }

    /** Prevents executions for disconnected clients when a server link is established late. */
    @Test
    void requestWaitingForLinkIsCancelledWhenClientDisconnects() throws Exception {
        try (RouterFixture router = new RouterFixture(true, 0);
                Socket staying = router.client()) {
            Socket leaving = router.client();
            RouterFixture.read(leaving, "leaves");
            Runnable connect = router.nextConnect();
            RouterFixture.read(staying, "stays");
            router.awaitCount("requests", 2);
            leaving.close();
            router.awaitCount("requests_client_gone", 1);
            connect.run();
            assertTrue(firstLine(router.cache.accept()).startsWith("mg kstays "));
            assertEquals(1, router.count("executions_cancelled"));
        }
    }

    /** The same with 100 clients that disconnect in one turn of the loop with two pipelined requests each. */
    @Test
    void hundredSimultaneousDisconnectsLeaveNoRequests() throws Exception {
        try (RouterFixture router = new RouterFixture(true, 0);
                Socket staying = router.client()) {
            List<Socket> leaving = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                leaving.add(router.client());
                RouterFixture.read(leaving.get(i), "a" + i);
                RouterFixture.read(leaving.get(i), "b" + i);
            }
            Runnable connect = router.nextConnect();
            router.awaitCount("requests", 200);
            RouterFixture.read(staying, "stays");
            router.awaitCount("requests", 201);
            CountDownLatch disconnected = new CountDownLatch(1);
            router.loop.execute(() -> await(disconnected));
            for (Socket client : leaving) {
                client.close();
            }
            disconnected.countDown();
            router.awaitCount("requests_client_gone", 200);
            assertEquals(1, router.count("requests_unanswered"));
            connect.run();
            Socket link = router.cache.accept();
            assertTrue(firstLine(link).startsWith("mg kstays "));
            Rehearsal.write(link, "VA 2 Ostays h1\r\nhi\r\n");
            assertEquals("VA 2 Ostays", Rehearsal.reader(staying).readLine());
        }
    }

    /** Prevents a further execution while the end of the client's connection is still unread. */
    @Test
    void delayedLoopChecksClientBeforeFurtherExecution() throws Exception {
        try (RouterFixture router = new RouterFixture(false, 0);
                Socket staying = router.client()) {
            Socket leaving = router.client();
            RouterFixture.read(leaving, "leaves");
            Socket link = router.cache.accept();
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg kleaves "));
            router.onList = () -> router.host.send(router.asked.get(0), RouterFixture.SERVER, 0);
            CountDownLatch disconnected = new CountDownLatch(1);
            Future<?> turn = router.loop.submit(() -> {
                await(disconnected);
                router.host.members(false, List.of());
            });
            leaving.close();
            // Longer than the period after a read during which a client counts as connected.
            Thread.sleep(40);
            disconnected.countDown();
            turn.get();
            router.awaitCount("requests_client_gone", 1);
            RouterFixture.read(staying, "stays");
            assertTrue(asked.readLine().startsWith("mg kstays "));
        }
    }

    /**
     * Prevents a long request from starting at its server, when its last byte arrives, long after the client
     * disconnected.
     */
    @Test
    void partlySentRequestIsAbortedWhenClientDisconnects() throws Exception {
        int length = 60_000;
        try (RouterFixture router = new RouterFixture(false, 4096)) {
            Socket leaving = router.client();
            Rehearsal.write(leaving, "ms kput " + length + " Oput Pc=put,d=3500,k=1\r\n" + "x".repeat(length) + "\r\n");
            Socket link = router.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("ms kput "));
            leaving.close();
            router.awaitCount("requests_client_gone", 1);
            String rest = asked.lines().reduce("", String::concat);
            assertTrue(rest.length() < length, "the complete request arrived");
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
