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
import stagepier.discovery.WatchBench.Speech;

/**
 * Many routers that ask one service for their list. Each call costs the service work, whether or not it is turned away; what
 * it could not reach in time is turned away at once. A change counts as told 6 s after the service had it.
 */
@Timeout(60)
class SharedServiceTest {
    private static final int COUNTS_MS = 6000;
    /** The shortest drain grace of a known deployment, less the loop's own delay. */
    private static final int SENDS_GO_ON_MS = 300;

    private static final int ROUTERS = 20;
    private static final int CALL_COSTS_MS = 74;
    private static final int TURNS_AWAY_FROM_MS = 2000;

    /** The work that one service has before it, which all routers add to. */
    private static final class SharedWork {
        private double backlogMs;
        private long at;

        /** Takes up a call at that moment; returns whether it is turned away. */
        boolean turnsAway(long now) {
            backlogMs = Math.max(0, backlogMs - (now - at)) + CALL_COSTS_MS;
            at = now;
            return backlogMs > TURNS_AWAY_FROM_MS;
        }
    }

    /** A fleet whose routers all begin in the same moment, each with a watch of its own at the one service. */
    private static final class RouterFleet {
        private final List<WatchBench> benches = new ArrayList<>();
        private final SharedWork work = new SharedWork();

        RouterFleet() throws IOException {
            for (int seed = 0; seed < ROUTERS; seed++) {
                WatchBench bench = new WatchBench(seed, WatchTimes.ofSharedService(0.4));
                bench.agents.get(0).turnsAway = work::turnsAway;
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

        void goDown(boolean isDown) throws IOException {
            for (WatchBench bench : benches) {
                bench.agents.get(0).breakOpenOnes(Speech.RESET);
                bench.agents.get(0).refuses = isDown;
            }
        }

        long latestKnown() {
            return benches.stream()
                    .mapToLong(bench -> bench.drainedAt < 0 ? Long.MAX_VALUE : bench.drainedAt)
                    .max()
                    .orElseThrow();
        }

        int asked() {
            return benches.stream().mapToInt(bench -> bench.agents.get(0).asked).sum();
        }

        void close() throws IOException {
            for (WatchBench bench : benches) {
                bench.close();
            }
        }
    }

    private void assertKnownInTime(RouterFleet fleet, long from) {
        assertTrue(
                fleet.latestKnown() <= from + COUNTS_MS + SENDS_GO_ON_MS,
                "the last router knows " + (fleet.latestKnown() - from) + " ms after the change");
    }

    /** Guards against a fleet whose retries keep the service overloaded for good, so that most of it never hears of a change. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1500, 12_000})
    void aFleetThatStartsAtOnceHearsOfAChange(long after) throws IOException {
        RouterFleet fleet = new RouterFleet();
        try {
            fleet.run(after);
            fleet.change();
            fleet.run(COUNTS_MS + 2000);
            assertKnownInTime(fleet, after);
        } finally {
            fleet.close();
        }
    }

    /** All watches end as the service goes down, and all routers call again at its return. */
    @ParameterizedTest
    @CsvSource({"3000", "5000", "8000"})
    void atTheReturnOfTheServiceAFleetHearsOfAChange(long down) throws IOException {
        RouterFleet fleet = new RouterFleet();
        try {
            fleet.run(2000);
            fleet.goDown(true);
            int before = fleet.asked();
            fleet.run(down);
            assertTrue(
                    fleet.asked() - before <= ROUTERS * (3 + down / 1200), fleet.asked() - before + " calls in vain");
            fleet.goDown(false);
            fleet.change();
            fleet.run(COUNTS_MS + 2000);
            assertKnownInTime(fleet, 2000 + down);
        } finally {
            fleet.close();
        }
    }

    /** The first call waits for what is new: another one before it would cost the service as much again. */
    @Test
    void aNewWatchCostsTheServiceOneCall() throws IOException {
        try (WatchBench bench = new WatchBench(1, WatchTimes.ofSharedService(1))) {
            bench.watch.start();
            bench.run(1000);
            assertEquals(1, bench.agents.get(0).asked);
        }
    }

    /** The answer has to wait for its turn: a call that is given up before that is work for nothing. */
    @ParameterizedTest
    @ValueSource(ints = {400, 900})
    void anAnswerThatWaitsForItsTurnIsWaitedFor(int turnMs) throws IOException {
        try (WatchBench bench = new WatchBench(2, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent service = bench.agents.get(0);
            service.turnMs = turnMs;
            bench.watch.start();
            bench.run(500);
            service.drain();
            bench.run(turnMs + 50);
            assertTrue(bench.drainedAt >= 0, "known with its turn");
            assertEquals(1, service.connections);
        }
    }

    /** A watch that falls silent, and the one after it as well, are both found within the clock. */
    @Test
    void twoSilentConnectionsInARowAreFoundInTime() throws IOException {
        try (WatchBench bench = new WatchBench(4, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent service = bench.agents.get(0);
            bench.watch.start();
            bench.run(500);
            service.breakOpenOnes(Speech.NOTHING);
            bench.until(() -> service.connections > 1, 4000);
            bench.run(50);
            service.breakOpenOnes(Speech.NOTHING);
            long silentFrom = bench.now;
            service.drain();
            bench.until(() -> bench.drainedAt >= 0, 10_000);
            assertTrue(
                    bench.drainedAt <= silentFrom + COUNTS_MS, "known after " + (bench.drainedAt - silentFrom) + " ms");
        }
    }

    /** After a reload an instance of the service may be behind: it is asked once that time is over, whatever the pause was. */
    @Test
    void afterAReloadAnInstanceThatCountsOtherwiseIsTakenInTime() throws IOException {
        try (WatchBench bench = new WatchBench(5, WatchTimes.ofSharedService(0.4))) {
            WatchBench.Agent old = bench.agents.get(0);
            bench.watch.start();
            old.drain();
            old.generation = 40;
            bench.until(() -> bench.group.generation() == 40, 5000);
            bench.drainedAt = -1;
            WatchBench.Agent next = bench.new Agent();
            next.generation = 5;
            long moved = bench.now;
            bench.watch.moveTo(next.address());
            bench.until(() -> bench.drainedAt >= 0, 10_000);
            assertTrue(
                    bench.drainedAt <= moved + 4000 + SENDS_GO_ON_MS,
                    "known " + (bench.drainedAt - moved) + " ms after");
            assertEquals(5, bench.group.generation());
        }
    }
}
