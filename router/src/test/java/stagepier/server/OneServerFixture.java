package stagepier.server;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** The pools of a router with one listed cache server, which the test operates. */
abstract class OneServerFixture {
    private static final int LINKS_MOST = 10;
    private static final int DESCRIPTORS = 30;

    final PoolFixture fixture = new PoolFixture(LINKS_MOST, DESCRIPTORS);
    PoolFixture.Cache cache;

    @BeforeEach
    final void startCache() throws Exception {
        cache = new PoolFixture.Cache();
        fixture.ready(1, cache.address());
    }

    @AfterEach
    final void stopCache() throws Exception {
        fixture.close();
        cache.close();
    }
}
