package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import stagepier.app.SyscallFaults.Fault;

/**
 * Ten real processes or more, whose drains, restarts, signals, system calls, cache servers and discovery fail at times that overlap and are
 * drawn by a seed, under clients of five manners. One seed in a build; more by {@code -Dstagepier.fleet.seeds=N}, from
 * {@code -Dstagepier.fleet.first=N} on, with {@code -Dstagepier.fleet.routers=N} processes for {@code -Dstagepier.fleet.seconds=N}.
 */
@Timeout(180)
class FleetFaultSoakTest {
    private static final int ROUTERS = Integer.getInteger("stagepier.fleet.routers", 10);
    private static final int SECONDS = Integer.getInteger("stagepier.fleet.seconds", 25);
    private static final int FAULTS_MOST = 12;
    private static final int FAULT_EVERY_MS = 60;
    private static final int CLOCK_STEP_MOST_S = 3600;

    /** Lines of a log that no process may write. */
    private static final List<String> FAULTS_OF_LOG =
            List.of(" ERROR ", "globalEventExecutor", "had no answer in time", "xceptionCaught", "xception was thrown");

    @TempDir
    private Path folder;

    private final SoakLedger ledger = new SoakLedger();
    private final List<SoakRouter> routers = new ArrayList<>();
    private final List<StandInCache> caches = new ArrayList<>();
    private volatile boolean over;

    static LongStream seeds() {
        long first = Long.getLong("stagepier.fleet.first", 1);
        return LongStream.range(first, first + Long.getLong("stagepier.fleet.seeds", 1));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderFaultsThatOverlap(long seed) throws Exception {
        Random random = new Random(seed);
        try (StandInAgent agent = new StandInAgent();
                StandInCache one = new StandInCache();
                StandInCache two = new StandInCache();
                StandInCache three = new StandInCache()) {
            caches.addAll(List.of(one, two, three));
            String[] entries = {
                StandInAgent.entry(1, one.port(), "up"),
                StandInAgent.entry(2, two.port(), "up"),
                StandInAgent.entry(3, three.port(), "up")
            };
            for (int r = 0; r < ROUTERS; r++) {
                routers.add(
                        new SoakRouter(folder.resolve("r" + r), agent, entries, ledger, random.nextLong(), () -> over));
            }
            for (SoakRouter router : routers) {
                router.awaitReady();
            }
            play(agent, random);
            for (SoakRouter router : routers) {
                router.end(() -> FAULTS_OF_LOG);
            }
            ledger.checkForwarded(caches);
            assertEquals(List.of(), ledger.broken(), "seed " + seed);
            long served = caches.stream().mapToLong(StandInCache::answered).sum();
            assertTrue(served > (long) ROUTERS * SECONDS, "hardly anything was served: " + served);
        } finally {
            routers.forEach(SoakRouter::close);
        }
    }

    private void play(StandInAgent agent, Random random) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        for (SoakRouter router : routers) {
            for (SoakClient.Manner manner : SoakClient.Manner.values()) {
                String name = "r" + routers.indexOf(router) + manner.name().toLowerCase(java.util.Locale.ROOT);
                SoakClient client = new SoakClient(name, manner, router, ledger, random.nextLong(), () -> over);
                router.add(client);
                threads.execute(client);
            }
        }
        routers.forEach(threads::execute);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        while (System.nanoTime() < end) {
            fail(agent, random);
            TimeUnit.MILLISECONDS.sleep(FAULT_EVERY_MS);
        }
        agent.silent(false);
        caches.forEach(cache -> cache.hold(false));
        over = true;
        threads.shutdown();
        assertTrue(threads.awaitTermination(60, TimeUnit.SECONDS), "the soak does not end");
    }

    private void fail(StandInAgent agent, Random random) {
        SoakRouter router = routers.get(random.nextInt(routers.size()));
        switch (random.nextInt(12)) {
            case 0 -> agent.silent(random.nextBoolean());
            case 1 -> caches.get(random.nextInt(caches.size())).hold(random.nextInt(3) == 0);
            case 2 -> router.faults().stepWallClock(random.nextInt(2 * CLOCK_STEP_MOST_S) - CLOCK_STEP_MOST_S);
            default -> {
                Fault fault = SyscallFaults.HARMLESS.get(random.nextInt(SyscallFaults.HARMLESS.size()));
                router.faults().next(fault.call(), fault.failure(), 1 + random.nextInt(FAULTS_MOST));
            }
        }
    }
}
