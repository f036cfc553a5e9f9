package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.discovery.WatchBench.ResponseMode;

/**
 * Many routers that call one service for their list. Each call costs the service work, whether or not it is rejected; a
 * call that it cannot answer in time is rejected at once. A change is deemed known 6 s after the service had it.
 */
@Timeout(60)
class SharedServiceTest {
    private static final int DEEMED_KNOWN_MS = 6000;
    /** The shortest drain grace of a known deployment, minus the delay of the event loop. */
    private static final int SENDS_ALLOWED_MS = 300;

    private static final int ROUTERS = 20;
    private static final int CALL_COST_MS = 74;
    private static final int REJECTS_ABOVE_MS = 2000;

    /** The pending work of the service, shared by all routers. */
    private static final class ServiceQueue {
        private double backlogMs;
        private long at;

        /** Accepts a call at this moment; returns whether it is rejected. */
        boolean rejectsCall(long now) {
            backlogMs = Math.max(0, backlogMs - (now - at)) + CALL_COST_MS;
            at = now;
            return backlogMs > REJECTS_ABOVE_MS;
        }
    }

    /** A fleet whose routers all start at the same moment, each with its own watch on the one service. */
    private static final class RouterFleet {
        private final List<WatchBench> benches = new ArrayList<>();
        private final ServiceQueue queue = new ServiceQueue();

        RouterFleet() throws IOException {
            for (int seed = 0; seed < ROUTERS; seed++) {
                WatchBench bench = new WatchBench(seed, WatchTimes.ofSharedService(0.4));
                bench.agents.get(0).rejectsCall = queue::rejectsCall;
                benches.add(bench);
                bench.watch.start();
            }
        }

        void run(long ms) throws IOException {
            for (long passed = 0; passed < ms; passed += WatchBench.STEP_MS) {
                for (WatchBench bench : benches) {
                    bench.run(WatchBench.STEP_MS);
                }
            }
        }

        void change() {
            benches.forEach(bench -> bench.agents.get(0).drain());
        }

        void setDown(boolean isDown) throws IOException {
            for (WatchBench bench : benches) {
                bench.agents.get(0).breakOpenConnections(ResponseMode.RESET);
                bench.agents.get(0).rejectsAll = isDown;
            }
        }

        long lastKnownAt() {
            return benches.stream()
                    .mapToLong(bench -> bench.drainedAt < 0 ? Long.MAX_VALUE : bench.drainedAt)
                    .max()
                    .orElseThrow();
        }

        int callsReceived() {
            return benches.stream()
                    .mapToInt(bench -> bench.agents.get(0).callsReceived)
                    .sum();
        }

        void close() throws IOException {
            for (WatchBench bench : benches) {
                bench.close();
            }
        }
    }

    private void assertKnownInTime(RouterFleet fleet, long since) {
        assertTrue(
                fleet.lastKnownAt() <= since + DEEMED_KNOWN_MS + SENDS_ALLOWED_MS,
                "the last router knows " + (fleet.lastKnownAt() - since) + " ms after the change");
    }

    /**
     * Prevents retries of a fleet from keeping the service overloaded permanently, so that most routers never learn of
     * a change.
     */
    @ParameterizedTest
    @ValueSource(longs = {100, 1500, 12_000})
    void fleetThatStartsAtOnceLearnsOfAChangeInTime(long after) throws IOException {
        RouterFleet fleet = new RouterFleet();
        try {
            fleet.run(after);
            fleet.change();
            fleet.run(DEEMED_KNOWN_MS + 2000);
            assertKnownInTime(fleet, after);
        } finally {
            fleet.close();
        }
    }

    /** All watches end when the service goes down, and all routers call again when it returns. */
    @ParameterizedTest
    @CsvSource({"3000", "5000", "8000"})
    void fleetLearnsOfAChangeInTimeAfterTheServiceReturns(long downMs) throws IOException {
        RouterFleet fleet = new RouterFleet();
        try {
            fleet.run(2000);
            fleet.setDown(true);
            int before = fleet.callsReceived();
            fleet.run(downMs);
            assertTrue(
                    fleet.callsReceived() - before <= ROUTERS * (3 + downMs / 1200),
                    fleet.callsReceived() - before + " failed calls");
            fleet.setDown(false);
            fleet.change();
            fleet.run(DEEMED_KNOWN_MS + 2000);
            assertKnownInTime(fleet, 2000 + downMs);
        } finally {
            fleet.close();
        }
    }

    /** The first call waits for changes: another call before it would double the cost for the service. */
    @Test
    void newWatchCostsTheServiceOneCall() throws IOException {
        try (WatchBench bench = new WatchBench(1, WatchTimes.ofSharedService(1))) {
            bench.watch.start();
            bench.run(1000);
            assertEquals(1, bench.agents.get(0).callsReceived);
        }
    }

    /** The response has to wait in the queue of the service: a call that is given up before that is wasted work. */
    @ParameterizedTest
    @ValueSource(ints = {400, 900})
    void watchWaitsForAQueuedResponse(int queueDelayMs) throws IOException {
        try (WatchBench bench = new WatchBench(2, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent service = bench.agents.get(0);
            service.queueDelayMs = queueDelayMs;
            bench.watch.start();
            bench.run(500);
            service.drain();
            bench.run(queueDelayMs + 50);
            assertTrue(bench.drainedAt >= 0, "known when the queued response arrives");
            assertEquals(1, service.connections);
        }
    }

    /** Two silent connections in a row are both detected within the 6 s. */
    @Test
    void twoSilentConnectionsInARowAreDetectedInTime() throws IOException {
        try (WatchBench bench = new WatchBench(4, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent service = bench.agents.get(0);
            bench.watch.start();
            bench.run(500);
            service.breakOpenConnections(ResponseMode.SILENT);
            bench.runUntil(() -> service.connections > 1, 4000);
            bench.run(50);
            service.breakOpenConnections(ResponseMode.SILENT);
            long silentFrom = bench.now;
            service.drain();
            bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
            assertTrue(
                    bench.drainedAt <= silentFrom + DEEMED_KNOWN_MS,
                    "known after " + (bench.drainedAt - silentFrom) + " ms");
        }
    }

    /**
     * After a reload an instance of the service may be behind: it is called as soon as the time to catch up is over,
     * whatever the retry delay was.
     */
    @Test
    void listOfAnInstanceWithOtherVersionNumbersIsAppliedInTimeAfterAReload() throws IOException {
        try (WatchBench bench = new WatchBench(5, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent old = bench.agents.get(0);
            bench.watch.start();
            old.drain();
            old.generation = 40;
            bench.runUntil(() -> bench.group.generation() == 40, 5000);
            bench.drainedAt = -1;
            WatchBench.Agent next = bench.new Agent();
            next.generation = 5;
            long moved = bench.now;
            bench.watch.moveTo(next.address());
            bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
            assertTrue(
                    bench.drainedAt <= moved + 4000 + SENDS_ALLOWED_MS,
                    "known " + (bench.drainedAt - moved) + " ms after");
            assertEquals(5, bench.group.generation());
        }
    }
}
