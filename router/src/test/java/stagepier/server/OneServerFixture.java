package stagepier.server;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** The pools of a router with one cache server, which the list names and a test speaks for. */
abstract class OneServerFixture {
    private static final int LINKS_MOST = 10;
    private static final int DESCRIPTORS = 30;

    final PoolBench bench = new PoolBench(LINKS_MOST, DESCRIPTORS);
    PoolBench.Cache cache;

    @BeforeEach
    final void startCache() throws Exception {
        cache = new PoolBench.Cache();
        bench.ready(1, cache.address());
    }

    @AfterEach
    final void stopCache() throws Exception {
        bench.close();
        cache.close();
    }
}
