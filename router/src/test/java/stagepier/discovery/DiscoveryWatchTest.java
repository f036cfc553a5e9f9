package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.discovery.WatchBench.Speech;

/**
 * When a change that discovery has to tell is known here, against when it counts as told: what a watch that fell silent
 * misses 6 s after that, or 2 s after the wait of the call if that is later; what an agent has when it has it; after SIGHUP
 * 4 s later. From then on sends may go on for one second, of which 0.4 s are left to the loop's own delay.
 */
@Timeout(30)
class DiscoveryWatchTest {
    private static final int SILENCE_MS = 6000;
    private static final int AFTER_WAIT_MS = 2000;
    private static final int SENDS_GO_ON_MS = 600;
    /** The head and the list in pieces of 24 bytes, 0.3 s apart, and a call that was open when they began. */
    private static final int PIECES_TAKE_MS = 6000;

    private WatchBench bench;
    private WatchBench.Agent agent;

    @BeforeEach
    void begin() throws IOException {
        bench = new WatchBench();
        agent = bench.agents.get(0);
        bench.watch.start();
        bench.until(() -> agent.asked > 0, 1000);
    }

    @AfterEach
    void end() throws IOException {
        bench.close();
    }

    /** The open connection falls silent at some moment of its wait, and the drain comes so long after. */
    @ParameterizedTest
    @CsvSource({
        "NOTHING,0,0",
        "NOTHING,0,3500",
        "NOTHING,2900,100",
        "NOTHING,1500,5900",
        "NOTHING,400,2500",
        "HALF_A_HEAD,0,0",
        "HALF_A_HEAD,2900,50",
        "HEAD,0,0",
        "HEAD,1500,10",
        "HEAD,2900,50",
        "HALF_A_LIST,0,0",
        "HALF_A_LIST,2900,50",
        "HALF_A_LIST,1500,1000",
        "RESET,100,0",
        "RESET,2900,10",
        "RESET,0,5000"
    })
    void whatASilentWatchMissesIsKnownByTheTimeItCounts(Speech how, long into, long drainAfter) throws IOException {
        bench.run(into);
        int before = agent.asked;
        agent.breakOpenOnes(how);
        long silentFrom = bench.now;
        bench.run(drainAfter);
        agent.drain();
        long afterWait = silentFrom - into + agent.longestHold + AFTER_WAIT_MS;
        long counts =
                how == Speech.RESET ? bench.now : Math.max(bench.now, Math.max(silentFrom + SILENCE_MS, afterWait));
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt <= counts + SENDS_GO_ON_MS, "known at " + bench.drainedAt + ", counts at " + counts);
        assertTrue(agent.asked - before <= 12, agent.asked - before + " calls for it");
    }

    /** Guards against a list that is given up for coming slowly, over and over, where no connection brings it faster. */
    @ParameterizedTest
    @ValueSource(longs = {100, 2900, 2990})
    void aListInSmallPiecesIsTakenHoweverLateItBegins(long into) throws IOException {
        bench.run(into);
        agent.always = Speech.PIECES;
        agent.drain();
        long from = bench.now;
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= from + PIECES_TAKE_MS,
                "from its first connection: " + (bench.drainedAt - from) + " ms");
        assertTrue(agent.connections <= 12, agent.connections + " connections");
    }

    /** Guards against an agent that holds the watch on an old list for good by a byte now and then. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 2900})
    void besideAnAnswerThatNeverEndsTheListIsAskedForAnew(long into) throws IOException {
        bench.run(into);
        agent.breakOpenOnes(Speech.DRIP);
        agent.drain();
        long from = bench.now;
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt < from + SILENCE_MS, "known after " + (bench.drainedAt - from) + " ms");
        bench.run(5000);
        assertTrue(agent.connections <= 3, agent.connections + " connections");
    }

    /**
     * What an agent gets at the return of discovery counts at once, and the grace of the settings may be short: the waits
     * between its return and the list have to fit it.
     */
    @ParameterizedTest
    @CsvSource({"0.4,8000", "0.4,1230", "0.75,4100", "0.75,9990"})
    void withAShortDrainGraceTheListIsAskedForSooner(double drainGrace, long away) throws IOException {
        try (WatchBench own = new WatchBench(3, WatchTimes.ofAgent(drainGrace))) {
            WatchBench.Agent silent = own.agents.get(0);
            own.watch.start();
            own.until(() -> silent.asked > 0, 1000);
            silent.forgets = true;
            silent.isDown = true;
            own.run(away);
            silent.isDown = false;
            silent.drain();
            long counts = Math.max(own.now, away < SILENCE_MS ? SILENCE_MS : 0);
            own.until(() -> own.drainedAt >= 0, 10_000);
            assertTrue(
                    own.drainedAt <= counts + drainGrace * SENDS_GO_ON_MS,
                    "known at " + own.drainedAt + ", counts at " + counts);
        }
    }

    /** A list without a length is whole at its end and not at a reset; half of one never is. */
    @ParameterizedTest
    @CsvSource({"UNTIL_THE_END,true", "UNTIL_A_RESET,false", "CUT_BY_THE_END,false"})
    void aResetIsNoEnd(Speech how, boolean isWhole) throws IOException {
        bench.run(500);
        agent.always = how;
        agent.drain();
        bench.run(3000);
        assertEquals(isWhole, bench.drainedAt >= 0);
        assertTrue(agent.asked <= 3000 / 40, agent.asked + " calls");
        agent.always = Speech.WHOLE;
        bench.until(() -> bench.drainedAt >= 0, 1000);
    }

    /** Guards against a spin at an agent that ends each of its answers by closing. */
    @Test
    void anAgentThatClosesAfterEachAnswerIsAskedNoMoreOften() throws IOException {
        agent.always = Speech.UNTIL_THE_END;
        bench.run(60_000);
        assertTrue(agent.asked <= 26, agent.asked + " calls a minute");
    }

    /** The old agent says what there was while the new one is refused; that is no word of the new one. */
    @Test
    void theFirstCallAtANewAgentAsksWhatThereIsNow() throws IOException {
        WatchBench.Agent next = bench.new Agent();
        next.cutOff(true);
        bench.watch.moveTo(next.address());
        bench.run(3200);
        next.forgets = true;
        next.isDown = true;
        next.comeBack();
        bench.run(300);
        next.isDown = false;
        next.drain();
        long from = bench.now;
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt <= from + SENDS_GO_ON_MS, "known after " + (bench.drainedAt - from) + " ms");
    }

    /** After SIGHUP the new agent may be behind, or count otherwise: what it has is known 4 s later, and not before it is new. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAgentWithAnOlderVersionIsBehindAtFirstAndThenCountsOtherwise(boolean catchesUp) throws IOException {
        agent.drain();
        agent.generation = 40;
        bench.until(() -> bench.group.generation() == 40, 5000);
        bench.drainedAt = -1;
        WatchBench.Agent next = bench.new Agent();
        next.generation = 5;
        long moved = bench.now;
        bench.watch.moveTo(next.address());
        bench.run(2000);
        assertEquals(40, bench.group.generation(), "nothing older is taken");
        if (catchesUp) {
            next.generation = 41;
        }
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= moved + 4000 + SENDS_GO_ON_MS,
                "known " + (bench.drainedAt - moved) + " ms after the move");
        assertEquals(next.generation, bench.group.generation());
        assertTrue(next.asked <= 40, next.asked + " calls");
    }

    /** Whatever the agent gets at the return of discovery counts at once, so no pause between calls may be long. */
    @ParameterizedTest
    @CsvSource({"8000,false", "8000,true", "1200,true", "4100,false", "7300,true", "9990,true", "30000,true"})
    void atTheReturnOfDiscoveryTheListIsAskedForSoon(long away, boolean forgets) throws IOException {
        bench.run(200);
        agent.forgets = forgets;
        agent.isDown = true;
        // Its open call is one that fell silent; those after it are at stake here.
        long counts = Math.max(bench.now + away, forgets ? bench.now + SILENCE_MS : 0);
        int before = agent.asked;
        bench.run(away);
        assertTrue(agent.asked - before <= 2 + away / 300, agent.asked - before + " calls in vain");
        agent.isDown = false;
        agent.drain();
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt <= counts + SENDS_GO_ON_MS, "known at " + bench.drainedAt + ", counts at " + counts);
    }

    /** An agent that refuses connections costs a call now and then, and is found soon after it is there again. */
    @ParameterizedTest
    @ValueSource(longs = {3000, 4700, 8000, 9990, 16_200})
    void anAgentThatIsAwayIsAskedSoonAfterItsReturnAndNotInASpin(long away) throws IOException {
        WatchBench.Agent next = bench.new Agent();
        java.net.InetSocketAddress address = next.address();
        next.close();
        agent.breakOpenOnes(Speech.RESET);
        bench.watch.moveTo(address);
        bench.run(away);
        long failures = bench.counted("discovery_failures");
        assertTrue(failures <= away / 80, failures + " tries");
        WatchBench.Agent back = bench.new Agent(address);
        back.drain();
        long counts = bench.now;
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= counts + SENDS_GO_ON_MS,
                "known " + (bench.drainedAt - counts) + " ms after the return");
    }

    /** After SIGHUP what the new agent has counts 4 s later, though it be silent at first. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 3900})
    void afterAMoveTheNewAgentsListIsKnownInTime(long silent) throws IOException {
        WatchBench.Agent next = bench.new Agent();
        next.isDown = silent > 0;
        next.forgets = true;
        next.drain();
        long moved = bench.now;
        bench.watch.moveTo(next.address());
        bench.run(silent);
        next.isDown = false;
        bench.until(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= moved + 4000 + SENDS_GO_ON_MS,
                "known " + (bench.drainedAt - moved) + " ms after the move");
    }

    /** The watch's very first call says what the list is now: a process that starts must not wait for the next change. */
    @Test
    void theFirstCallOfAConnectionIsAnsweredAtOnce() throws IOException {
        bench.until(() -> agent.asked > 1, 100);
        assertEquals(1, agent.connections);
    }

    /**
     * The process stands still while the agent answers; then the call's timer is due before any socket is looked at. Guards
     * against a connection that is given up with its answer unread, and a list that stays old until the next one is up.
     */
    @ParameterizedTest
    @ValueSource(longs = {4200, 10_000})
    void afterAStandStillWhatCameIsReadBeforeTheCallIsGivenUp(long ms) throws IOException {
        bench.run(500);
        agent.drain();
        bench.freeze(ms);
        assertEquals(bench.now, bench.drainedAt, "known with the first thing that is done");
        bench.turn();
        assertEquals(1, agent.connections);
    }

    /** A call that is open at that moment has waited and brought nothing; one that was answered just then has not. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theListIsFreshOnceTheAgentHadTheChanceToSayMore(boolean uponAnAnswer) throws IOException {
        bench.run(500);
        int before = agent.asked;
        int[] askedWhenFresh = {-1};
        Runnable refresh = () -> bench.watch.refresh(() -> askedWhenFresh[0] = agent.asked);
        if (uponAnAnswer) {
            bench.onAnswer = () -> {
                bench.onAnswer = () -> {};
                refresh.run();
            };
            bench.until(() -> askedWhenFresh[0] >= 0, 4000);
            assertEquals(before + 1, askedWhenFresh[0], "asked anew what there is now");
        } else {
            refresh.run();
            assertEquals(before, askedWhenFresh[0], "at once");
        }
    }

    /** Guards against requests that wait for good where discovery is away. */
    @Test
    void whereTheAgentIsSilentWhoeverWaitsForItGoesOnSoon() throws IOException {
        agent.isDown = true;
        bench.run(3500);
        boolean[] gone = {false};
        bench.watch.refresh(() -> gone[0] = true);
        assertEquals(false, gone[0]);
        bench.until(() -> gone[0], 250);
    }

    /** The price of a router where nothing changes. */
    @Test
    void aQuietWatchAsksSeldom() throws IOException {
        bench.run(60_000);
        assertTrue(agent.asked >= 20 && agent.asked <= 24, agent.asked + " calls a minute");
        assertEquals(1, agent.connections);
    }

    /** Forty routers begin in the same moment, and are all told of a change in the same moment. */
    @Test
    void manyRoutersDoNotAskInStep() throws IOException {
        int[] askedIn100ms = new int[400];
        for (int router = 0; router < 40; router++) {
            try (WatchBench other = new WatchBench(router)) {
                other.watch.start();
                other.run(5000);
                other.agents.get(0).drain();
                while (other.now < 35_000) {
                    other.run(50);
                    askedIn100ms[(int) other.agents.get(0).askedAt / 100] +=
                            other.agents.get(0).askedAt > other.now - 50 ? 1 : 0;
                }
            }
        }
        int most = java.util.Arrays.stream(askedIn100ms).skip(200).max().orElseThrow();
        assertTrue(most <= 10, most + " of 40 in a tenth of a second");
    }
}
