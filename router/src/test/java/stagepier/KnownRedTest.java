package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** {@code .ci/run} excludes exactly the tests that KNOWN-RED.txt names, and at most three. */
class KnownRedTest {
    private static final int BAD_DATA = 65;
    private static final String LINE = "some.of.ThingTest#%s | mvn -Dtest=ThingTest test, seed 1 | it is slow | #12";

    @TempDir
    private Path root;

    private record Result(int exitCode, List<String> excluded, List<String> messages) {}

    @BeforeEach
    void writeTestClass() throws Exception {
        Path folder = Files.createDirectories(root.resolve("module/src/test/java/some/of"));
        Files.writeString(folder.resolve("ThingTest.java"), """
                class ThingTest {
                    void one() { }
                    void two() { }
                    void three() { }
                    void four() { }
                }
                """);
    }

    private Result run() throws Exception {
        Path out = root.resolve("out");
        Path err = root.resolve("err");
        Process process = new ProcessBuilder(
                        Path.of("../.ci/known-red").toAbsolutePath().toString(), root.toString())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        return new Result(process.exitValue(), Files.readAllLines(out), Files.readAllLines(err));
    }

    private Result run(String text) throws Exception {
        Files.writeString(root.resolve("KNOWN-RED.txt"), text, StandardCharsets.UTF_8);
        return run();
    }

    private static String lines(String... methods) {
        return String.join("\n", List.of(methods).stream().map(LINE::formatted).toList()) + "\n";
    }

    @Test
    void missingOrEmptyFileExcludesNoTest() throws Exception {
        assertEquals(new Result(0, List.of(), List.of()), run());
        assertEquals(new Result(0, List.of(), List.of()), run(""));
    }

    @Test
    void eachLineIsPrintedAndItsTestExcluded() throws Exception {
        assertEquals(
                new Result(0, List.of("some.of.ThingTest#one"), List.of("known red: " + LINE.formatted("one"))),
                run(lines("one")));
        Result three = run(lines("one", "two", "three"));
        assertEquals(0, three.exitCode());
        assertEquals(
                List.of("some.of.ThingTest#one", "some.of.ThingTest#two", "some.of.ThingTest#three"), three.excluded());
        assertEquals(3, three.messages().size());
        assertEquals(1, run(lines("one").stripTrailing()).excluded().size(), "a last line without a line end counts");
    }

    @Test
    void fourthLineFails() throws Exception {
        assertEquals(BAD_DATA, run(lines("one", "two", "three", "four")).exitCode());
        assertEquals(
                BAD_DATA,
                run(lines("one", "two", "three", "four").stripTrailing()).exitCode());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "some.of.ThingTest#one",
                "some.of.ThingTest#one | command",
                "some.of.ThingTest#one | command | seen",
                "some.of.ThingTest#one |  | seen | #1",
                "some.of.ThingTest#one | command |  | #1",
                "some.of.ThingTest#one | command | seen | ",
                "some.of.ThingTest | command | seen | #1",
                "some.of.*Test#one | command | seen | #1",
                "some.of.ThingTest#o* | command | seen | #1",
                "ThingTest#one | command | seen | #1",
                "!some.of.ThingTest#one | command | seen | #1",
                "some.of.ThingTest#one+two | command | seen | #1",
                "some.of.ThingTest#one | a | b | c | d",
                "# a comment",
                "",
                " "
            })
    void malformedLineFailsWithOneMessage(String line) throws Exception {
        Result result = run(line + "\n");
        assertEquals(BAD_DATA, result.exitCode());
        assertEquals(
                List.of(
                        "KNOWN-RED.txt: line 1 is not 'package.Class#method | command and seed | what was seen | issue'"),
                result.messages());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"some.of.ThingTest#gone | command | seen | #1", "some.of.OtherTest#one | command | seen | #1"})
    void lineThatNamesNoTestFails(String line) throws Exception {
        Result result = run(line + "\n");
        assertEquals(BAD_DATA, result.exitCode());
        assertTrue(
                result.messages().get(0).contains("names no test"),
                result.messages().toString());
    }
}
