package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The file of results: what is written is read again, runs are merged, and what is no such file is refused. */
class ScaleResultsTest {
    private static final Sample HEARD = new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 50, 1, 15_000.25);
    private static final Sample CORES = new Sample(Conversation.PROCESS, Figure.PROCESSOR, 50, 1, 0.0625);

    @TempDir
    private Path folder;

    @Test
    void whatIsWrittenIsReadAgain() throws Exception {
        ScaleResults results = new ScaleResults(
                "bin/stagepier lab scale --routers 50 <x>", 8, List.of(HEARD, CORES), List.of("a run"));
        Path file = folder.resolve("new").resolve("results.json");
        results.write(file);
        assertEquals(results, ScaleResults.read(file));
        String text = Files.readString(file);
        for (String part : List.of(
                "\"cpu_cores\": 8", "\"LOAD_REPORTS\"", "\"BYTES_IN\"", "\"routers\": 50", "\"seed\": 1", "<x>")) {
            assertTrue(text.contains(part), part + " in " + text);
        }
        assertEquals(
                List.of("results.json"),
                Files.list(file.getParent())
                        .map(p -> p.getFileName().toString())
                        .toList());
    }

    @Test
    void aLaterRunPrevailsAndKeepsWhatItDidNotMeasure() {
        Sample anew = new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 50, 1, 16_000);
        Sample otherSeed = new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 50, 2, 17_000);
        ScaleResults all = new ScaleResults("first", 8, List.of(HEARD, CORES), List.of("a"))
                .with(new ScaleResults("second", 8, List.of(otherSeed, anew), List.of("b")))
                .with(new ScaleResults("second", 8, List.of(), List.of("b")));
        assertEquals(new ScaleResults("first; second", 8, List.of(anew, otherSeed, CORES), List.of("a", "b")), all);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[1]", "{\"command\":", "{}"})
    void whatIsNoSuchFileIsRefused(String text) throws Exception {
        Path file = Files.writeString(folder.resolve("results.json"), text);
        assertTrue(assertThrows(IOException.class, () -> ScaleResults.read(file))
                .getMessage()
                .contains("results.json"));
    }
}
