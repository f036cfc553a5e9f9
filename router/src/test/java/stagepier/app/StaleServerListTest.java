package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A router process whose list of cache servers has become outdated during a start or a suspension. */
@Timeout(60)
class StaleServerListTest {
    @TempDir
    private Path folder;

    private final StandInAgent agent;
    private final StandInCache one;
    private final StandInCache other;
    private RouterProcess router;

    StaleServerListTest() throws Exception {
        agent = new StandInAgent();
        one = new StandInCache();
        other = new StandInCache();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
        agent.close();
        one.close();
        other.close();
    }

    private void start() throws Exception {
        router = new RouterProcess(folder, agent, others("up"), firstServer("up"));
    }

    private String firstServer(String lifecycle) {
        return StandInAgent.entry(1, one.port(), lifecycle);
    }

    /** Returns the entries of all other servers, which share one port. */
    private String others(String lifecycle) {
        return IntStream.range(2, 8)
                .mapToObj(id -> StandInAgent.entry(id, other.port(), lifecycle))
                .collect(Collectors.joining(","));
    }

    /** Prevents requests from being routed by an outdated known list before the agent was asked for the current one. */
    @Test
    void newProcessDoesNotRouteByKnownListBeforeAskingDiscovery() throws Exception {
        agent.delayAnswers(60);
        agent.publish(firstServer("draining"), others("draining"));
        start();
        String answer = router.ask("mg k1 v Oa Pc=read,d=1900");
        assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
        assertEquals(0, one.connections() + other.connections());
    }

    /** Prevents a start that waits for discovery without limit. */
    @Test
    void newProcessRoutesByKnownListWhenDiscoveryIsSilent() throws Exception {
        agent.silent(true);
        start();
        assertTrue(router.ask("mg k1 v Oa Pc=read,d=1900").startsWith("VA 2 Oa"));
    }

    /**
     * The agent reports two drains while the process is suspended: the first is already in the socket, the second
     * arrives with the next call. Requests must not be routed before the router knows both.
     */
    @Test
    void suspendedProcessSendsNothingToServersThatDrainedMeanwhile() throws Exception {
        start();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
            var answers = Rehearsal.reader(client);
            assertEquals(List.of("VA 2 Oa", "hi"), List.of(answers.readLine(), answers.readLine()));
            agent.awaitCalls(2);
            long before = one.answered() + other.answered();
            router.signal("STOP");
            agent.publish(firstServer("draining"));
            StandInAgent.await(agent::hasNoPendingCall);
            agent.publish(others("draining"));
            for (int i = 0; i < 40; i++) {
                Rehearsal.write(client, "mg key%d v Ob%d Pc=read,d=1900\r\n".formatted(i, i));
            }
            // Longer than the loop delay from which the router assumes that it was suspended.
            TimeUnit.MILLISECONDS.sleep(1200);
            router.signal("CONT");
            for (int i = 0; i < 40; i++) {
                assertTrue(answers.readLine().startsWith("SERVER_ERROR busy"));
            }
            assertEquals(before, one.answered() + other.answered(), "request sent to a draining server");
        }
        assertTrue(router.ask("mn").equals("MN"));
    }
}
