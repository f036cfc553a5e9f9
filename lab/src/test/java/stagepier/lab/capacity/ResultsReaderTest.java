package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleResults;

class ResultsReaderTest {
    private static final String GOOD = """
            {"command": "bin/stagepier lab scale", "cpu_cores": 8, "more": 1, "samples": [
              {"conversation": "LOAD_REPORTS", "figure": "BYTES_IN", "routers": 50, "seed": 1, "value": 12.5}],
             "invalid": ["50 routers: 1.2 s late"]}
            """;

    @TempDir
    private Path folder;

    @Test
    void aGoodFileIsReadWhole() throws Exception {
        assertEquals(
                new ResultsFile(
                        "r.json",
                        "bin/stagepier lab scale",
                        8,
                        List.of(new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 50, 1, 12.5)),
                        List.of("50 routers: 1.2 s late")),
                ResultsReader.parse("r.json", GOOD));
    }

    @Test
    void whatScaleRunsWriteIsRead() throws Exception {
        Path file = folder.resolve("results.json");
        List<Sample> samples = List.of(new Sample(Conversation.DISCOVERY, Figure.CHANGE_BYTES, 1900, 2, 640_300));
        new ScaleResults("bin/stagepier lab scale", 8, samples, List.of("one run was late")).write(file);
        assertEquals(
                new ResultsFile("r.json", "bin/stagepier lab scale", 8, samples, List.of("one run was late")),
                ResultsReader.parse("r.json", Files.readString(file)));
    }

    @Test
    void badInputIsToldWithFileAndKey() {
        Map<String, String> errors = Map.ofEntries(
                Map.entry("{", "r.json: not JSON: "),
                Map.entry("[]", "r.json: not the results of scale runs"),
                Map.entry("{}", "r.json: samples: is missing"),
                Map.entry("{\"samples\": 3}", "r.json: samples: must be a list"),
                Map.entry("{\"samples\": []}", "r.json: samples: holds none"),
                Map.entry("{\"samples\": [4]}", "r.json: samples[0]: must be an object"),
                Map.entry(
                        GOOD.replace("LOAD_REPORTS", "LOAD"),
                        "r.json: samples[0].conversation: must be one of LOAD_REPORTS, DISCOVERY"),
                Map.entry(GOOD.replace("\"BYTES_IN\"", "4"), "r.json: samples[0].figure: must be a text"),
                Map.entry(GOOD.replace("BYTES_IN", "BYTES"), "r.json: samples[0].figure: must be one of BYTES_IN, "),
                Map.entry(
                        GOOD.replace("50,", "0,"),
                        "r.json: samples[0].routers: must be a whole number from 1 to 1000000"),
                Map.entry(
                        GOOD.replace("\"seed\": 1", "\"seed\": 1.5"),
                        "r.json: samples[0].seed: must be a whole number"),
                Map.entry(GOOD.replace(", \"seed\": 1", ""), "r.json: samples[0].seed: is missing"),
                Map.entry(GOOD.replace("12.5", "-1"), "r.json: samples[0].value: must be a finite number"),
                Map.entry(GOOD.replace("12.5", "NaN"), "r.json: samples[0].value: must be a "),
                Map.entry(GOOD.replace("12.5", "1e999"), "r.json: samples[0].value: must be a finite number"),
                Map.entry(GOOD.replace("12.5", "\"many\""), "r.json: samples[0].value: must be a number"),
                Map.entry(GOOD.replace("\"cpu_cores\": 8", "\"cpu_cores\": null"), "r.json: cpu_cores: is missing"),
                Map.entry(GOOD.replace("\"command\"", "\"commands\""), "r.json: command: is missing"),
                Map.entry(GOOD.replace("\"50 routers: 1.2 s late\"", "7"), "r.json: invalid[0]: must be a text"));
        errors.forEach((text, start) -> {
            String message = assertThrows(
                            InvalidResultsException.class, () -> ResultsReader.parse("r.json", text), start)
                    .getMessage();
            assertEquals(start, message.substring(0, Math.min(start.length(), message.length())));
            assertEquals(1, message.lines().count(), message);
        });
    }

    @Test
    void aFolderGivesItsWholeResultsOnly() throws Exception {
        for (String name :
                List.of("a/results.json", "b/discovery-results.json", "c.partial/results.json", "summary.json")) {
            Files.createDirectories(folder.resolve(name).getParent());
            Files.writeString(folder.resolve(name), GOOD);
        }
        assertEquals(
                List.of(folder.resolve("a/results.json"), folder.resolve("b/discovery-results.json")),
                ResultsReader.find(List.of(folder, folder.resolve("a/results.json"))));
        assertThrows(NoSuchFileException.class, () -> ResultsReader.find(List.of(folder.resolve("none"))));
        assertThrows(
                IOException.class, () -> ResultsReader.find(List.of(Files.createDirectory(folder.resolve("empty")))));
    }

    @Test
    void oneFigureOfOneRunStandsInOneFileOnly() throws Exception {
        List<ResultsFile> twice = List.of(ResultsReader.parse("a.json", GOOD), ResultsReader.parse("b.json", GOOD));
        assertEquals(
                "b.json: samples[0]: LOAD_REPORTS BYTES_IN, 50 routers, seed 1 stands in a.json already",
                assertThrows(InvalidResultsException.class, () -> CapacityReport.of(twice, 1900))
                        .getMessage());
    }

    @Test
    void theTotalIsOfWholeRunsOnly() throws Exception {
        List<Sample> samples = List.of(
                new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 50, 1, 10),
                new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_OUT, 50, 1, 20),
                new Sample(Conversation.DISCOVERY, Figure.BYTES_IN, 50, 1, 400),
                new Sample(Conversation.PROCESS, Figure.BYTES_IN, 50, 1, 8000),
                // Of this run discovery is missing.
                new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_IN, 100, 1, 10),
                new Sample(Conversation.LOAD_REPORTS, Figure.BYTES_OUT, 100, 1, 20));
        FigureSeries total = SeriesTable.of(samples).get(4);
        assertEquals(Subject.CONTROL_BYTES, total.subject());
        assertEquals(List.of(new Observation(50, 1, 430)), total.observations());
        CapacityReport report = CapacityReport.of(List.of(new ResultsFile("f", "c", 1, samples, List.of())), 1900);
        assertEquals(List.of(Conversation.LOAD_REPORTS, Conversation.DISCOVERY), report.totalled());
    }
}
