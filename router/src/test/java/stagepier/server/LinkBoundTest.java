package stagepier.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.Api;

/** Links to cache servers never take more descriptors than are set aside for them, however many servers there are. */
@Timeout(60)
class LinkBoundTest {
    private static final int SERVERS = 20;
    private static final int DESCRIPTORS = 14;
    /** What is left of the descriptors while closed links may still hold theirs. */
    private static final int LINKS = 6;

    private final PoolBench bench = new PoolBench(3, DESCRIPTORS);
    private final List<PoolBench.Cache> caches = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        bench.close();
        for (PoolBench.Cache c : caches) {
            c.close();
        }
    }

    private void start() throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            caches.add(new PoolBench.Cache());
            bench.ready(i, caches.get(i - 1).address());
        }
    }

    @Test
    void theIdleLinkHeardLongestAgoIsClosedForANewOne() throws Exception {
        start();
        List<PoolBench.Conversation> rested = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            int to = i;
            bench.on(() -> bench.ask("r" + to, to, Double.POSITIVE_INFINITY));
            PoolBench.Conversation c = caches.get(i - 1).accept();
            c.answer(c.nextId());
            assertEquals(Api.Outcome.OK, bench.nextOutcome());
            rested.add(c);
            bench.pass(0.01);
            bench.turn();
            assertTrue(bench.counter("server_links") <= LINKS, "links to " + i + " servers");
            if (i > LINKS) {
                assertNull(rested.get(i - 1 - LINKS).nextId(), "the one heard longest ago is closed");
            }
        }
        assertEquals(SERVERS, bench.counter("server_links_opened"));
    }

    @Test
    void whereNoneIsIdleWhatFindsNoLinkEndsAsNeverSent() throws Exception {
        start();
        bench.on(() -> {
            for (int i = 1; i <= SERVERS; i++) {
                bench.ask("r" + i, i, Double.POSITIVE_INFINITY);
            }
            return null;
        });
        for (int i = 0; i < SERVERS - LINKS; i++) {
            assertEquals(Api.Outcome.CONNECT_FAILED, bench.nextOutcome());
        }
        assertEquals(LINKS, bench.counter("server_links_opened"));
        // On a link that is there more can be asked.
        bench.on(() -> bench.ask("more", 1, Double.POSITIVE_INFINITY));
        PoolBench.Conversation c = caches.get(0).accept();
        c.answer(c.nextId());
        c.answer(c.nextId());
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
        assertEquals(Api.Outcome.OK, bench.nextOutcome());
    }
}
