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
import stagepier.discovery.WatchBench.ResponseMode;

/**
 * Checks when the router knows a change of the server list, against the time when the change is deemed known. A change
 * that a silent watch misses is deemed known 6 s after the silence began, or 2 s after the hold time of the call if
 * that is later; a change that an agent has at the time when the agent has it; after SIGHUP 4 s later. From then on
 * requests may be sent by the old list for one second, of which 0.4 s are reserved for delays of the event loop.
 */
@Timeout(30)
class DiscoveryWatchTest {
    private static final int DEEMED_KNOWN_MS = 6000;
    private static final int AFTER_HOLD_MS = 2000;
    private static final int SENDS_ALLOWED_MS = 600;
    /**
     * Duration of a response header and list in pieces of 24 bytes at intervals of 0.3 s, plus a call that was pending
     * when they started.
     */
    private static final int PIECES_DURATION_MS = 6000;

    private WatchBench bench;
    private WatchBench.Agent agent;

    @BeforeEach
    void setUp() throws IOException {
        bench = new WatchBench();
        agent = bench.agents.get(0);
        bench.watch.start();
        bench.runUntil(() -> agent.callsReceived > 0, 1000);
    }

    @AfterEach
    void tearDown() throws IOException {
        bench.close();
    }

    /** The open connection falls silent during the hold time of a call, and the drain follows some time later. */
    @ParameterizedTest
    @CsvSource({
        "SILENT,0,0",
        "SILENT,0,3500",
        "SILENT,2900,100",
        "SILENT,1500,5900",
        "SILENT,400,2500",
        "HALF_HEADER,0,0",
        "HALF_HEADER,2900,50",
        "HEADER_ONLY,0,0",
        "HEADER_ONLY,1500,10",
        "HEADER_ONLY,2900,50",
        "HALF_BODY,0,0",
        "HALF_BODY,2900,50",
        "HALF_BODY,1500,1000",
        "RESET,100,0",
        "RESET,2900,10",
        "RESET,0,5000"
    })
    void changeMissedByASilentWatchIsKnownWhenItIsDeemedKnown(
            ResponseMode responseMode, long heldForMs, long drainAfter) throws IOException {
        bench.run(heldForMs);
        int before = agent.callsReceived;
        agent.breakOpenConnections(responseMode);
        long silentFrom = bench.now;
        bench.run(drainAfter);
        agent.drain();
        long afterHold = silentFrom - heldForMs + agent.maxHoldMs + AFTER_HOLD_MS;
        long deemedKnownAt = responseMode == ResponseMode.RESET
                ? bench.now
                : Math.max(bench.now, Math.max(silentFrom + DEEMED_KNOWN_MS, afterHold));
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= deemedKnownAt + SENDS_ALLOWED_MS,
                "known at " + bench.drainedAt + ", deemed known at " + deemedKnownAt);
        assertTrue(
                agent.callsReceived - before <= 12, agent.callsReceived - before + " calls after the connection broke");
    }

    /**
     * Prevents a list that arrives slowly from being given up again and again although no connection delivers it
     * faster.
     */
    @ParameterizedTest
    @ValueSource(longs = {100, 2900, 2990})
    void listInSmallPiecesIsAppliedHoweverLateItStarts(long heldForMs) throws IOException {
        bench.run(heldForMs);
        agent.mode = ResponseMode.PIECES;
        agent.drain();
        long from = bench.now;
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= from + PIECES_DURATION_MS, "after the drain: " + (bench.drainedAt - from) + " ms");
        assertTrue(agent.connections <= 12, agent.connections + " connections");
    }

    /** Prevents an agent that sends a byte now and then from keeping the watch on an old list permanently. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 2900})
    void listIsRequestedAgainInParallelToAnEndlessResponse(long heldForMs) throws IOException {
        bench.run(heldForMs);
        agent.breakOpenConnections(ResponseMode.DRIP);
        agent.drain();
        long from = bench.now;
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt < from + DEEMED_KNOWN_MS, "known after " + (bench.drainedAt - from) + " ms");
        bench.run(5000);
        assertTrue(agent.connections <= 3, agent.connections + " connections");
    }

    /**
     * What an agent has when discovery returns is deemed known at once, and the drain grace of the settings may be
     * short: the delays between the return and the list have to fit into it.
     */
    @ParameterizedTest
    @CsvSource({"0.4,8000", "0.4,1230", "0.75,4100", "0.75,9990"})
    void listIsRequestedSoonerWithAShortDrainGrace(double drainGrace, long awayMs) throws IOException {
        try (WatchBench own = new WatchBench(3, WatchTimes.ofAgent(drainGrace))) {
            WatchBench.Agent silent = own.agents.get(0);
            own.watch.start();
            own.runUntil(() -> silent.callsReceived > 0, 1000);
            silent.dropsCalls = true;
            silent.isSilent = true;
            own.run(awayMs);
            silent.isSilent = false;
            silent.drain();
            long deemedKnownAt = Math.max(own.now, awayMs < DEEMED_KNOWN_MS ? DEEMED_KNOWN_MS : 0);
            own.runUntil(() -> own.drainedAt >= 0, 10_000);
            assertTrue(
                    own.drainedAt <= deemedKnownAt + drainGrace * SENDS_ALLOWED_MS,
                    "known at " + own.drainedAt + ", deemed known at " + deemedKnownAt);
        }
    }

    /**
     * A list without a length is complete when the connection is closed, not when it is reset; half a list is never
     * complete.
     */
    @ParameterizedTest
    @CsvSource({"UNTIL_CLOSE,true", "UNTIL_RESET,false", "TRUNCATED_BY_CLOSE,false"})
    void resetDoesNotCompleteAResponse(ResponseMode responseMode, boolean isComplete) throws IOException {
        bench.run(500);
        agent.mode = responseMode;
        agent.drain();
        bench.run(3000);
        assertEquals(isComplete, bench.drainedAt >= 0);
        assertTrue(agent.callsReceived <= 3000 / 40, agent.callsReceived + " calls");
        agent.mode = ResponseMode.COMPLETE;
        bench.runUntil(() -> bench.drainedAt >= 0, 1000);
    }

    /** Prevents a busy loop of calls to an agent that closes the connection after each response. */
    @Test
    void agentThatClosesAfterEachResponseIsCalledNoMoreOften() throws IOException {
        agent.mode = ResponseMode.UNTIL_CLOSE;
        bench.run(60_000);
        assertTrue(agent.callsReceived <= 26, agent.callsReceived + " calls a minute");
    }

    /**
     * The old agent reports its list while connections to the new one are refused; that says nothing about the new
     * agent's list.
     */
    @Test
    void firstCallToANewAgentAsksForTheCurrentList() throws IOException {
        WatchBench.Agent next = bench.new Agent();
        next.stopAccepting(true);
        bench.watch.moveTo(next.address());
        bench.run(3200);
        next.dropsCalls = true;
        next.isSilent = true;
        next.acceptAgain();
        bench.run(300);
        next.isSilent = false;
        next.drain();
        long from = bench.now;
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(bench.drainedAt <= from + SENDS_ALLOWED_MS, "known after " + (bench.drainedAt - from) + " ms");
    }

    /**
     * After SIGHUP the new agent may be behind, or number its versions differently: what it has is known 4 s later, and
     * an older list is not applied before that.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void agentWithAnOlderVersionMayCatchUpBeforeItsListIsAccepted(boolean catchesUp) throws IOException {
        agent.drain();
        agent.generation = 40;
        bench.runUntil(() -> bench.group.generation() == 40, 5000);
        bench.drainedAt = -1;
        WatchBench.Agent next = bench.new Agent();
        next.generation = 5;
        long moved = bench.now;
        bench.watch.moveTo(next.address());
        bench.run(2000);
        assertEquals(40, bench.group.generation(), "an older list is not applied");
        if (catchesUp) {
            next.generation = 41;
        }
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= moved + 4000 + SENDS_ALLOWED_MS,
                "known " + (bench.drainedAt - moved) + " ms after the move");
        assertEquals(next.generation, bench.group.generation());
        assertTrue(next.callsReceived <= 40, next.callsReceived + " calls");
    }

    /** What the agent has when discovery returns is deemed known at once, so no delay between calls may be long. */
    @ParameterizedTest
    @CsvSource({"8000,false", "8000,true", "1200,true", "4100,false", "7300,true", "9990,true", "30000,true"})
    void listIsRequestedSoonAfterDiscoveryReturns(long awayMs, boolean dropsCalls) throws IOException {
        bench.run(200);
        agent.dropsCalls = dropsCalls;
        agent.isSilent = true;
        // The pending call is on a connection that fell silent; this test is about the calls after it.
        long deemedKnownAt = Math.max(bench.now + awayMs, dropsCalls ? bench.now + DEEMED_KNOWN_MS : 0);
        int before = agent.callsReceived;
        bench.run(awayMs);
        assertTrue(agent.callsReceived - before <= 2 + awayMs / 300, agent.callsReceived - before + " failed calls");
        agent.isSilent = false;
        agent.drain();
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= deemedKnownAt + SENDS_ALLOWED_MS,
                "known at " + bench.drainedAt + ", deemed known at " + deemedKnownAt);
    }

    /** An agent that refuses connections is called only now and then, and is found soon after its return. */
    @ParameterizedTest
    @ValueSource(longs = {3000, 4700, 8000, 9990, 16_200})
    void unavailableAgentIsRetriedWithoutABusyLoopAndCalledSoonAfterItsReturn(long awayMs) throws IOException {
        WatchBench.Agent next = bench.new Agent();
        java.net.InetSocketAddress address = next.address();
        next.close();
        agent.breakOpenConnections(ResponseMode.RESET);
        bench.watch.moveTo(address);
        bench.run(awayMs);
        long failures = bench.counter("discovery_failures");
        assertTrue(failures <= awayMs / 80, failures + " tries");
        WatchBench.Agent back = bench.new Agent(address);
        back.drain();
        long deemedKnownAt = bench.now;
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= deemedKnownAt + SENDS_ALLOWED_MS,
                "known " + (bench.drainedAt - deemedKnownAt) + " ms after the return");
    }

    /** After SIGHUP the new agent's list is deemed known 4 s later, even if that agent is silent at first. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 3900})
    void newAgentsListIsKnownInTimeAfterAnAddressChange(long silent) throws IOException {
        WatchBench.Agent next = bench.new Agent();
        next.isSilent = silent > 0;
        next.dropsCalls = true;
        next.drain();
        long moved = bench.now;
        bench.watch.moveTo(next.address());
        bench.run(silent);
        next.isSilent = false;
        bench.runUntil(() -> bench.drainedAt >= 0, 10_000);
        assertTrue(
                bench.drainedAt <= moved + 4000 + SENDS_ALLOWED_MS,
                "known " + (bench.drainedAt - moved) + " ms after the move");
    }

    /** The first call of a watch returns the current list: a process that starts must not wait for the next change. */
    @Test
    void firstCallOfAConnectionIsAnsweredAtOnce() throws IOException {
        bench.runUntil(() -> agent.callsReceived > 1, 100);
        assertEquals(1, agent.connections);
    }

    /**
     * The process is suspended while the agent answers, so that the timer of the call fires before any socket is read.
     * The connection must not be given up with its response unread, or the list would stay old until the next
     * connection is up.
     */
    @ParameterizedTest
    @ValueSource(longs = {4200, 10_000})
    void pendingInputIsReadAfterASuspensionBeforeTheCallIsGivenUp(long ms) throws IOException {
        bench.run(500);
        agent.drain();
        bench.suspendProcess(ms);
        assertEquals(bench.now, bench.drainedAt, "known before anything else runs");
        bench.runPending();
        assertEquals(1, agent.connections);
    }

    /**
     * A call that was pending at that moment proves that there is nothing newer; one that was answered just then does
     * not.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void listIsFreshOnceTheAgentCouldHaveSentMore(boolean uponAResponse) throws IOException {
        bench.run(500);
        int before = agent.callsReceived;
        int[] callsWhenFresh = {-1};
        Runnable refresh = () -> bench.watch.refresh(() -> callsWhenFresh[0] = agent.callsReceived);
        if (uponAResponse) {
            bench.onResponse = () -> {
                bench.onResponse = () -> {};
                refresh.run();
            };
            bench.runUntil(() -> callsWhenFresh[0] >= 0, 4000);
            assertEquals(before + 1, callsWhenFresh[0], "one more call for the current list");
        } else {
            refresh.run();
            assertEquals(before, callsWhenFresh[0], "at once");
        }
    }

    /** Prevents requests from waiting permanently when discovery is unavailable. */
    @Test
    void waitersAreReleasedSoonWhenTheAgentIsSilent() throws IOException {
        agent.isSilent = true;
        bench.run(3500);
        boolean[] released = {false};
        bench.watch.refresh(() -> released[0] = true);
        assertEquals(false, released[0]);
        bench.runUntil(() -> released[0], 250);
    }

    /** The cost of a router without changes. */
    @Test
    void idleWatchCallsSeldom() throws IOException {
        bench.run(60_000);
        assertTrue(agent.callsReceived >= 20 && agent.callsReceived <= 24, agent.callsReceived + " calls a minute");
        assertEquals(1, agent.connections);
    }

    /** Forty routers start at the same moment and receive a change at the same moment. */
    @Test
    void manyRoutersDoNotCallInStep() throws IOException {
        int[] callsIn100ms = new int[400];
        for (int router = 0; router < 40; router++) {
            try (WatchBench other = new WatchBench(router)) {
                other.watch.start();
                other.run(5000);
                other.agents.get(0).drain();
                while (other.now < 35_000) {
                    other.run(50);
                    callsIn100ms[(int) other.agents.get(0).lastCallAt / 100] +=
                            other.agents.get(0).lastCallAt > other.now - 50 ? 1 : 0;
                }
            }
        }
        int maxCalls = java.util.Arrays.stream(callsIn100ms).skip(200).max().orElseThrow();
        assertTrue(maxCalls <= 10, maxCalls + " of 40 in a tenth of a second");
    }
}
