package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Console commands and signals to a router process before it serves: an accepted command takes effect once it serves.
 */
@Timeout(60)
class CommandsWhileStartingTest {
    @TempDir
    private Path folder;

    private StandInAgent agent;
    private StandInAgent other;
    private StandInCache one;
    private StandInCache two;
    private RouterProcess router;

    @BeforeEach
    void start() throws IOException {
        agent = new StandInAgent();
        other = new StandInAgent();
        one = new StandInCache();
        two = new StandInCache();
        agent.silent(true);
        router = RouterProcess.withConsole(
                folder,
                agent,
                Map.of("TMPDIR", folder.toString()),
                StandInAgent.entry(1, one.port(), "up"),
                StandInAgent.entry(2, two.port(), "up"));
    }

    @AfterEach
    void end() throws IOException {
        router.close();
        one.close();
        two.close();
        agent.close();
        other.close();
    }

    private void awaitAnswer(String line, String answer) throws InterruptedException {
        StandInAgent.await(() -> router.callConsole(line).startsWith(answer));
    }

    @Test
    void serverSuspendedDuringStartGetsNoRequests() throws Exception {
        awaitAnswer("STATUS", "ERR starting");
        assertEquals("OK s-00000001 is out", router.callConsole("SUSPEND s-00000001"));
        assertEquals("ERR starting", router.callConsole("STATUS"));
        agent.silent(false);
        awaitAnswer("STATUS", "OK serving");
        for (int n = 0; n < 20; n++) {
            assertTrue(router.ask("mg k" + n + " v Oq" + n + " Pc=read,d=1900").startsWith("VA 2 "));
        }
        assertEquals(0, one.commands().size());
    }

    @Test
    void reloadDuringStartLeavesOneWatch() throws Exception {
        awaitAnswer("STATUS", "ERR starting");
        router.configure(other);
        router.signal("HUP");
        router.awaitLog("configuration reloaded");
        assertEquals("ERR starting", router.callConsole("STATUS"));
        awaitAnswer("STATUS", "OK serving");
        other.awaitCalls(2);
        assertEquals(1, other.openConnections());
        assertEquals(0, agent.calls().size(), "called the previous discovery address");
    }

    @Test
    void sigtermDuringStartExitsWithZero() throws Exception {
        awaitAnswer("STATUS", "ERR starting");
        router.signal("TERM");
        assertEquals(0, router.exitCode());
    }

    @Test
    void pauseResumedDuringStartHasNoEffect() throws Exception {
        awaitAnswer("PAUSE", "OK");
        awaitAnswer("RESUME", "OK");
        assertEquals("ERR starting", router.callConsole("STATUS"));
        agent.silent(false);
        awaitAnswer("STATUS", "OK serving");
        assertEquals("MN", router.ask("mn"));
    }
}
