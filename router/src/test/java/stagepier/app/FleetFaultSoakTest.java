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
 * Soak test of ten or more router processes with overlapping drains, restarts, signals and failures of system calls,
 * cache servers and discovery, drawn from a seed, under clients with five kinds of behaviour. Runs one seed in a build;
 * {@code -Dstagepier.fleet.seeds=N} sets their number, {@code -Dstagepier.fleet.first=N} the first one,
 * {@code -Dstagepier.fleet.routers=N} the number of processes and {@code -Dstagepier.fleet.seconds=N} the duration.
 */
@Timeout(180)
class FleetFaultSoakTest {
    private static final int ROUTERS = Integer.getInteger("stagepier.fleet.routers", 10);
    private static final int SECONDS = Integer.getInteger("stagepier.fleet.seconds", 25);
    private static final int MAX_FAULTS = 12;
    private static final int FAULT_INTERVAL_MS = 60;
    private static final int MAX_CLOCK_STEP_S = 3600;

    /** Texts that must not occur in the log of a process. */
    private static final List<String> FORBIDDEN_LOG_TEXTS =
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
    void noViolationUnderOverlappingFaults(long seed) throws Exception {
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
            runLoad(agent, random);
            for (SoakRouter router : routers) {
                router.stop(() -> FORBIDDEN_LOG_TEXTS);
            }
            ledger.checkForwarded(caches);
            assertEquals(List.of(), ledger.violations(), "seed " + seed);
            long served = caches.stream().mapToLong(StandInCache::answered).sum();
            assertTrue(served > (long) ROUTERS * SECONDS, "too few requests were served: " + served);
        } finally {
            routers.forEach(SoakRouter::close);
        }
    }

    private void runLoad(StandInAgent agent, Random random) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        for (SoakRouter router : routers) {
            for (SoakClient.Behaviour behaviour : SoakClient.Behaviour.values()) {
                String name = "r" + routers.indexOf(router) + behaviour.name().toLowerCase(java.util.Locale.ROOT);
                SoakClient client = new SoakClient(name, behaviour, router, ledger, random.nextLong(), () -> over);
                router.add(client);
                threads.execute(client);
            }
        }
        routers.forEach(threads::execute);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        while (System.nanoTime() < end) {
            injectFault(agent, random);
            TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MS);
        }
        agent.silent(false);
        caches.forEach(cache -> cache.hold(false));
        over = true;
        threads.shutdown();
        assertTrue(threads.awaitTermination(60, TimeUnit.SECONDS), "the soak threads did not stop within 60 s");
    }

    private void injectFault(StandInAgent agent, Random random) {
        SoakRouter router = routers.get(random.nextInt(routers.size()));
        switch (random.nextInt(12)) {
            case 0 -> agent.silent(random.nextBoolean());
            case 1 -> caches.get(random.nextInt(caches.size())).hold(random.nextInt(3) == 0);
            case 2 -> router.faults().stepWallClock(random.nextInt(2 * MAX_CLOCK_STEP_S) - MAX_CLOCK_STEP_S);
            default -> {
                Fault fault = SyscallFaults.HARMLESS.get(random.nextInt(SyscallFaults.HARMLESS.size()));
                router.faults().next(fault.call(), fault.failure(), 1 + random.nextInt(MAX_FAULTS));
            }
        }
    }
}
