package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.exchange.Reply;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.CommandParser;
import stagepier.memcache.RingBuffer;

/** A large value whose connection ends while what has come of it still waits for room at its client. */
@Timeout(30)
class LateTakenValueTest {
    /** More than a link holds at a time, by less than that. */
    private static final int LENGTH = 100_000;

    /** Takes what there is, until nothing more comes. */
    private static int take(CrossingFixture p, ValueFlow flow) throws Exception {
        return p.onLoop(() -> {
            RingBuffer to = new RingBuffer();
            return flow.moveTo(to);
        });
    }

    private static ValueFlow begin(CrossingFixture p, Socket[] link) throws Exception {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        p.onLoop(() -> {
            RingBuffer ring = new RingBuffer();
            ring.put("mg k v Oa Pc=read,d=3500\r\n".getBytes(StandardCharsets.US_ASCII));
            return p.host.take((x, r) -> reply.complete(r), CommandParser.next(ring), Double.POSITIVE_INFINITY);
        });
        link[0] = p.cache.accept();
        link[0].setSoTimeout(RouterProcess.WAIT_MS);
        assertTrue(Rehearsal.reader(link[0]).readLine().startsWith("mg k "));
        Rehearsal.write(link[0], "VA " + LENGTH + " Oa h1\r\n" + "x".repeat(50_000));
        return reply.get(RouterProcess.WAIT_MS, TimeUnit.MILLISECONDS).flow();
    }

    /** Guards against a value that is cut off though all of it has come, as by a server that closes right behind its answer. */
    @Test
    void whatHasComeIsTakenToItsEndThoughTheConnectionHasEnded() throws Exception {
        try (CrossingFixture p = new CrossingFixture(false, 0)) {
            Socket[] link = new Socket[1];
            ValueFlow flow = begin(p, link);
            int taken = 0;
            while (taken < 50_000) {
                taken += take(p, flow);
            }
            Rehearsal.write(link[0], "x".repeat(50_000) + "\r\n");
            link[0].shutdownOutput();
            assertEquals(-1, link[0].getInputStream().read(), "the router has seen the end, and given its side back");
            assertFalse(flow.isFailed(), "cut off");
            while (taken < LENGTH) {
                taken += take(p, flow);
            }
            p.onLoop(() -> null);
            assertTrue(flow.isComplete());
            p.awaitServerLinks(0);
        }
    }

    /** What is not whole has to be seen not to be, as soon as no more can be taken. */
    @Test
    void aValueOfWhichTheEndIsMissingBreaksOffOnceTheRestIsTaken() throws Exception {
        try (CrossingFixture p = new CrossingFixture(false, 0)) {
            Socket[] link = new Socket[1];
            ValueFlow flow = begin(p, link);
            link[0].shutdownOutput();
            assertEquals(-1, link[0].getInputStream().read());
            int taken = take(p, flow);
            assertEquals(50_000, taken);
            p.awaitServerLinks(0);
            assertTrue(flow.isFailed());
        }
    }
}
