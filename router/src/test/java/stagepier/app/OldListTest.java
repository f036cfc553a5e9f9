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

/** The real process, when what it knows of cache servers has grown old without its doing. */
@Timeout(60)
class OldListTest {
    @TempDir
    private Path folder;

    private final StandInAgent agent;
    private final StandInCache one;
    private final StandInCache other;
    private RouterProcess router;

    OldListTest() throws Exception {
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
        router = new RouterProcess(folder, agent, most("up"), first("up"));
    }

    private String first(String lifecycle) {
        return StandInAgent.entry(1, one.port(), lifecycle);
    }

    /** All others, which are processes of one name each at one port. */
    private String most(String lifecycle) {
        return IntStream.range(2, 8)
                .mapToObj(id -> StandInAgent.entry(id, other.port(), lifecycle))
                .collect(Collectors.joining(","));
    }

    /** What the agent has counts from the first moment of a process on, and the list of its configuration may be old. */
    @Test
    void aNewProcessServesNobodyByItsKnownListBeforeDiscoveryWasAsked() throws Exception {
        agent.slow(60);
        agent.tell(first("draining"), most("draining"));
        start();
        String answer = router.ask("mg k1 v Oa Pc=read,d=1900");
        assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
        assertEquals(0, one.connections() + other.connections());
    }

    /** Guards against a start that hangs on discovery. */
    @Test
    void aNewProcessServesByItsKnownListWhereDiscoveryIsSilent() throws Exception {
        agent.silent(true);
        start();
        assertTrue(router.ask("mg k1 v Oa Pc=read,d=1900").startsWith("VA 2 Oa"));
    }

    /**
     * The agent tells of two drains while the process stands still: the first has been written to it, the second comes with
     * the call after. Guards against requests that are decided before both are known.
     */
    @Test
    void afterAStandStillNothingIsSentToThoseThatDrainedMeanwhile() throws Exception {
        start();
        try (Socket client = router.connect()) {
            Rehearsal.write(client, "mg k1 v Oa Pc=read,d=1900\r\n");
            var answers = Rehearsal.reader(client);
            assertEquals(List.of("VA 2 Oa", "hi"), List.of(answers.readLine(), answers.readLine()));
            agent.awaitCalls(2);
            long before = one.answered() + other.answered();
            router.signal("STOP");
            agent.tell(first("draining"));
            StandInAgent.await(agent::nobodyWaits);
            agent.tell(most("draining"));
            for (int i = 0; i < 40; i++) {
                Rehearsal.write(client, "mg key%d v Ob%d Pc=read,d=1900\r\n".formatted(i, i));
            }
            // Longer than the loop may take over a turn, for that is what a stand-still is.
            TimeUnit.MILLISECONDS.sleep(1200);
            router.signal("CONT");
            for (int i = 0; i < 40; i++) {
                assertTrue(answers.readLine().startsWith("SERVER_ERROR busy"));
            }
            assertEquals(before, one.answered() + other.answered(), "sent to one that drains");
        }
        assertTrue(router.ask("mn").equals("MN"));
    }
}
