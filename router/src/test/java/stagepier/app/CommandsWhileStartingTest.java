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

/** Calls of staff and signals that reach a real process before it serves: what is answered with yes holds once it does. */
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

    private void awaitSays(String line, String answer) throws InterruptedException {
        StandInAgent.await(() -> router.says(line).startsWith(answer));
    }

    @Test
    void aServerThatIsTakenOutWhileTheProcessStartsGetsNothing() throws Exception {
        awaitSays("STATUS", "ERR starting");
        assertEquals("OK s-00000001 is out", router.says("SUSPEND s-00000001"));
        assertEquals("ERR starting", router.says("STATUS"));
        agent.silent(false);
        awaitSays("STATUS", "OK serving");
        for (int n = 0; n < 20; n++) {
            assertTrue(router.ask("mg k" + n + " v Oq" + n + " Pc=read,d=1900").startsWith("VA 2 "));
        }
        assertEquals(0, one.commands().size());
    }

    @Test
    void aConfigurationThatIsReadAgainWhileTheProcessStartsLeavesOneWatch() throws Exception {
        awaitSays("STATUS", "ERR starting");
        router.configure(other);
        router.signal("HUP");
        router.awaitLog("configuration read again");
        assertEquals("ERR starting", router.says("STATUS"));
        awaitSays("STATUS", "OK serving");
        other.awaitCalls(2);
        assertEquals(1, other.open());
        assertEquals(0, agent.calls().size(), "asked discovery where it was before");
    }

    @Test
    void aProcessThatIsToldToEndWhileItStartsEndsInOrder() throws Exception {
        awaitSays("STATUS", "ERR starting");
        router.signal("TERM");
        assertEquals(0, router.exitCode());
    }

    @Test
    void aPauseThatIsTakenBackWhileTheProcessStartsLeavesNothingBehind() throws Exception {
        awaitSays("PAUSE", "OK");
        awaitSays("RESUME", "OK");
        assertEquals("ERR starting", router.says("STATUS"));
        agent.silent(false);
        awaitSays("STATUS", "OK serving");
        assertEquals("MN", router.ask("mn"));
    }
}
