package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Keeps the module printable and free of all but the JDK. */
class ModuleGuardTest {
    private static final Path SOURCES = Path.of("src/main/java/stagepier");

    private static List<String> lines(String file) throws IOException {
        return Files.readAllLines(SOURCES.resolve(file));
    }

    @Test
    void theModuleStaysPrintable() throws IOException {
        List<String> lines = lines("Brain.java");
        long nonBlank = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(nonBlank >= 300 && nonBlank <= 1200, nonBlank + " lines");
        for (String line : lines) {
            assertTrue(line.length() <= 110, line);
        }
    }

    @Test
    void theModuleImportsOnlyTheJdkAndItsInterface() throws IOException {
        for (String file : List.of("Brain.java", "Api.java")) {
            for (String line : lines(file)) {
                if (line.startsWith("import ")) {
                    assertTrue(line.startsWith("import java.util.") || line.startsWith("import stagepier.Api."), line);
                }
                assertTrue(!line.contains("stagepier.adapter") && !line.contains("System.")
                        && !line.contains("Math.random"), line);
            }
        }
    }

    @Test
    void nothingStaticCanChange() throws IOException {
        for (String line : lines("Brain.java")) {
            String code = line.strip();
            if (code.matches("(private |public )?static .*[=;]$") || code.matches("(private |public )?static .* = .*;")) {
                assertTrue(code.contains(" final "), line);
            }
        }
    }

    @Test
    void theModuleNamesItsInterfaceAndTheDeployFileNamesTheModule() throws IOException {
        assertTrue(String.join("\n", lines("Brain.java")).contains("Api.java"));
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        assertTrue(deploy.contains("policy = [\"router/src/main/java/stagepier/Brain.java\"]"));
        try (Stream<Path> files = Files.list(SOURCES)) {
            assertEquals(2, files.filter(Files::isRegularFile).count(), "decisions have one home");
        }
    }
}
