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

/** Links to cache servers never take more descriptors than are reserved for them, however many servers there are. */
@Timeout(60)
class LinkLimitTest {
    private static final int SERVERS = 20;
    private static final int DESCRIPTORS = 14;
    /** Descriptors that remain for links while closed ones may still hold theirs. */
    private static final int LINKS = 6;

    private final PoolFixture fixture = new PoolFixture(3, DESCRIPTORS);
    private final List<PoolFixture.Cache> caches = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        for (PoolFixture.Cache c : caches) {
            c.close();
        }
    }

    private void start() throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            caches.add(new PoolFixture.Cache());
            fixture.ready(i, caches.get(i - 1).address());
        }
    }

    @Test
    void longestIdleLinkIsClosedForANewOne() throws Exception {
        start();
        List<PoolFixture.CacheConnection> idle = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            int to = i;
            fixture.onLoop(() -> fixture.submit("r" + to, to, Double.POSITIVE_INFINITY));
            PoolFixture.CacheConnection c = caches.get(i - 1).accept();
            c.answer(c.nextId());
            assertEquals(Api.Outcome.OK, fixture.nextOutcome());
            idle.add(c);
            fixture.advance(0.01);
            fixture.awaitPoll();
            assertTrue(fixture.counter("server_links") <= LINKS, "links to " + i + " servers");
            if (i > LINKS) {
                assertNull(idle.get(i - 1 - LINKS).nextId(), "the link idle for longest is closed");
            }
        }
        assertEquals(SERVERS, fixture.counter("server_links_opened"));
    }

    @Test
    void requestsWithoutALinkEndUnsentWhenNoLinkIsIdle() throws Exception {
        start();
        fixture.onLoop(() -> {
            for (int i = 1; i <= SERVERS; i++) {
                fixture.submit("r" + i, i, Double.POSITIVE_INFINITY);
            }
            return null;
        });
        for (int i = 0; i < SERVERS - LINKS; i++) {
            assertEquals(Api.Outcome.CONNECT_FAILED, fixture.nextOutcome());
        }
        assertEquals(LINKS, fixture.counter("server_links_opened"));
        // An existing link accepts further requests.
        fixture.onLoop(() -> fixture.submit("more", 1, Double.POSITIVE_INFINITY));
        PoolFixture.CacheConnection c = caches.get(0).accept();
        c.answer(c.nextId());
        c.answer(c.nextId());
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
        assertEquals(Api.Outcome.OK, fixture.nextOutcome());
    }
}
