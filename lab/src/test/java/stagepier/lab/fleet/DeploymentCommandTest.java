package stagepier.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tomlj.Toml;

/** What scale runs start is what a deployment starts, word by word. */
class DeploymentCommandTest {
    private static final Path ROOT = Path.of("..");

    @TempDir
    private Path folder;

    @Test
    void itIsTheCommandOfTheDeploymentWithItsPathsMadeWhole() throws Exception {
        String run = Toml.parse(ROOT.resolve("deploy/balancer.toml")).getString("run");
        List<String> written = new ArrayList<>(List.of(run.split(" ")));
        assertEquals("exec", written.remove(0));
        List<String> command = DeploymentCommand.read(ROOT);
        assertEquals(written.size(), command.size());
        for (int i = 1; i < command.size(); i++) {
            String word = command.get(i);
            boolean isPath = written.get(i).contains("router/target/");
            assertTrue(
                    isPath
                            ? word.endsWith(
                                    written.get(i).substring(written.get(i).indexOf("router/target/")))
                            : word.equals(written.get(i)),
                    written.get(i) + " became " + word);
        }
        assertEquals(RouterProcess.java(), command.get(0));
    }

    @Test
    void whatDoesNotRunARouterIsRefused() throws Exception {
        assertThrows(IOException.class, () -> DeploymentCommand.read(folder));
        Path file = Files.createDirectories(folder.resolve("deploy")).resolve("balancer.toml");
        for (String text : List.of(
                "", "run = \"python router.py\"", "run = \"exec java -jar router/target/no.jar serve\"", "run =")) {
            Files.writeString(file, text);
            assertThrows(IOException.class, () -> DeploymentCommand.read(folder), text);
        }
    }
}
