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

/** Clients that go, and what crosses with that: nothing begins for them any more. */
@Timeout(30)
class GoneClientTest {
    /** The first request that comes to the cache server on this link. */
    private static String firstAsked(Socket link) throws Exception {
        link.setSoTimeout(RouterProcess.WAIT_MS);
        return Rehearsal.reader(link).readLine();
    }

    /** Guards against attempts that begin for nobody when a link comes up late. */
    @Test
    void whatWaitsForALinkThatComesUpLateIsWithdrawnWhenItsClientGoes() throws Exception {
        try (CrossingFixture p = new CrossingFixture(true, 0);
                Socket stays = p.client()) {
            Socket leaves = p.client();
            CrossingFixture.read(leaves, "leaves");
            Runnable connect = p.nextConnect();
            CrossingFixture.read(stays, "stays");
            p.awaitCount("requests", 2);
            leaves.close();
            p.awaitCount("requests_client_gone", 1);
            connect.run();
            assertTrue(firstAsked(p.cache.accept()).startsWith("mg kstays "));
            assertEquals(1, p.count("executions_cancelled"));
        }
    }

    /** The same with a hundred that leave in one turn of the loop, among them some that wait behind others on one connection. */
    @Test
    void aHundredThatLeaveAtOnceLeaveNothingBehind() throws Exception {
        try (CrossingFixture p = new CrossingFixture(true, 0);
                Socket stays = p.client()) {
            List<Socket> leaving = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                leaving.add(p.client());
                CrossingFixture.read(leaving.get(i), "a" + i);
                CrossingFixture.read(leaving.get(i), "b" + i);
            }
            Runnable connect = p.nextConnect();
            p.awaitCount("requests", 200);
            CrossingFixture.read(stays, "stays");
            p.awaitCount("requests", 201);
            CountDownLatch gone = new CountDownLatch(1);
            p.loop.execute(() -> await(gone));
            for (Socket client : leaving) {
                client.close();
            }
            gone.countDown();
            p.awaitCount("requests_client_gone", 200);
            assertEquals(1, p.count("requests_unanswered"));
            connect.run();
            Socket link = p.cache.accept();
            assertTrue(firstAsked(link).startsWith("mg kstays "));
            Rehearsal.write(link, "VA 2 Ostays h1\r\nhi\r\n");
            assertEquals("VA 2 Ostays", Rehearsal.reader(stays).readLine());
        }
    }

    /** Guards against a further attempt that begins while the end of the client's connection lies here unread. */
    @Test
    void aLateLoopLooksWhetherTheClientIsThereBeforeAFurtherAttemptBegins() throws Exception {
        try (CrossingFixture p = new CrossingFixture(false, 0);
                Socket stays = p.client()) {
            Socket leaves = p.client();
            CrossingFixture.read(leaves, "leaves");
            Socket link = p.cache.accept();
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("mg kleaves "));
            p.onList = () -> p.host.send(p.asked.get(0), CrossingFixture.SERVER, 0);
            CountDownLatch gone = new CountDownLatch(1);
            Future<?> turn = p.loop.submit(() -> {
                await(gone);
                p.host.members(false, List.of());
            });
            leaves.close();
            // Longer than a client counts as seen just now.
            Thread.sleep(40);
            gone.countDown();
            turn.get();
            p.awaitCount("requests_client_gone", 1);
            CrossingFixture.read(stays, "stays");
            assertTrue(asked.readLine().startsWith("mg kstays "));
        }
    }

    /** Guards against a long request that begins at its server long after its client went, when its last byte comes there. */
    @Test
    void aHalfSentRequestIsCutOffWhenItsClientGoes() throws Exception {
        int length = 60_000;
        try (CrossingFixture p = new CrossingFixture(false, 4096)) {
            Socket leaves = p.client();
            Rehearsal.write(leaves, "ms kput " + length + " Oput Pc=put,d=3500,k=1\r\n" + "x".repeat(length) + "\r\n");
            Socket link = p.cache.accept();
            link.setSoTimeout(RouterProcess.WAIT_MS);
            BufferedReader asked = Rehearsal.reader(link);
            assertTrue(asked.readLine().startsWith("ms kput "));
            leaves.close();
            p.awaitCount("requests_client_gone", 1);
            String rest = asked.lines().reduce("", String::concat);
            assertTrue(rest.length() < length, "all of it came");
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
