package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Limits the size of the decision module and its imports to the JDK. */
class ModuleGuardTest {
    private static final Path SOURCES = Path.of("src/main/java/stagepier");

    /** Returns the files listed under {@code policy} in the deploy file, the module first. */
    private static List<String> policyFiles() throws IOException {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        String list = deploy.lines()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return Pattern.compile("\"router/src/main/java/stagepier/(\\w+\\.java)\"")
                .matcher(list)
                .results()
                .map(file -> file.group(1))
                .toList();
    }

    private static List<String> policyLines() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String file : policyFiles()) {
            lines.addAll(lines(file));
        }
        return lines;
    }

    private static List<String> lines(String file) throws IOException {
        return Files.readAllLines(SOURCES.resolve(file));
    }

    @Test
    void moduleKeepsItsLimitsOfSize() throws IOException {
        List<String> lines = policyLines();
        long nonBlank = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(nonBlank >= 300 && nonBlank <= 1200, nonBlank + " lines");
        for (String line : lines) {
            assertTrue(line.length() <= 110, line);
        }
    }

    @Test
    void moduleImportsOnlyTheJdkAndItsInterface() throws IOException {
        for (List<String> lines : List.of(policyLines(), lines("Api.java"))) {
            for (String line : lines) {
                if (line.startsWith("import ")) {
                    assertTrue(line.startsWith("import java.util.") || line.startsWith("import stagepier.Api."), line);
                }
                assertTrue(
                        !line.contains("stagepier.adapter")
                                && !line.contains("System.")
                                && !line.contains("Math.random"),
                        line);
            }
        }
    }

    @Test
    void staticFieldsAreFinal() throws IOException {
        for (String line : policyLines()) {
            String code = line.strip();
            if (code.matches("(private |public )?static .*[=;]$")
                    || code.matches("(private |public )?static .* = .*;")) {
                assertTrue(code.contains(" final "), line);
            }
        }
    }

    /** Besides the interface, package-info is the only file here not listed as policy, so it must contain no code. */
    @Test
    void packageInfoContainsNoCode() throws IOException {
        String text = String.join("\n", lines("package-info.java"));
        assertEquals(
                "package stagepier;",
                text.replaceFirst("(?s)^/\\*\\*.*?\\*/", "").strip());
    }

    @Test
    void moduleNamesItsInterfaceAndTheDeployFileListsTheModule() throws IOException {
        assertTrue(String.join("\n", lines("RoutingPolicy.java")).contains("Api.java"));
        List<String> expected = Stream.concat(Stream.of("Api.java", "package-info.java"), policyFiles().stream())
                .sorted()
                .toList();
        assertEquals("RoutingPolicy.java", policyFiles().get(0));
        try (Stream<Path> files = Files.list(SOURCES)) {
            assertEquals(
                    expected,
                    files.filter(Files::isRegularFile)
                            .map(file -> file.getFileName().toString())
                            .sorted()
                            .toList(),
                    "each file of the decision module is listed as policy");
        }
    }
}
