package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import stagepier.lab.cli.Cli;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

class CapacityCommandTest {
    private static final double NOISE = 0.02;

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private List<Sample> samples;

    @BeforeEach
    void makeUp() {
        samples = new ArrayList<>();
        List<Integer> until800 = SyntheticSamples.SIZES.subList(0, 5);
        samples.addAll(
                SyntheticSamples.of(Conversation.LOAD_REPORTS, Figure.BYTES_IN, until800, n -> 203.0 * n, NOISE, 1));
        samples.addAll(SyntheticSamples.of(Conversation.LOAD_REPORTS, Figure.BYTES_OUT, until800, n -> 203, NOISE, 2));
        samples.addAll(SyntheticSamples.of(
                Conversation.PROCESS, Figure.PROCESSOR, SyntheticSamples.SIZES, n -> 0.002 + 1e-6 * n * n, NOISE, 3));
        samples.addAll(
                SyntheticSamples.of(Conversation.PROCESS, Figure.THREADS, SyntheticSamples.SIZES, n -> 26, 0, 4));
        samples.addAll(SyntheticSamples.of(
                Conversation.DISCOVERY, Figure.CHANGE_BYTES, List.of(50, 100), n -> 150.0 * n, 0, 5));
    }

    private int run(String... arguments) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        CommandLine cli = Cli.commandLine().setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return cli.execute(Stream.concat(Stream.of("lab", "capacity"), Arrays.stream(arguments))
                .toArray(String[]::new));
    }

    private Path file(String invalid) throws Exception {
        return Files.writeString(folder.resolve("results.json"), SyntheticSamples.json(samples, invalid));
    }

    @Test
    void tableChartsAndFragmentComeOfOneFile() throws Exception {
        Path results = file("");
        assertEquals(
                0,
                run(results.toString(), "--out", folder.resolve("out").toString(), "--page-folder", folder.toString()),
                err.toString());
        String table = out.toString();
        for (String part : List.of(
                "LOAD_REPORTS BYTES_IN",
                "ALL_CONTROL BYTES_IN_AND_OUT",
                "linear",
                "quadratic",
                "constant",
                "extrapolated from 50, 100, 200, 400, 800",
                ", measured",
                "below the smallest measured (played: over at 50)",
                "(played: within at 100, over at 200)",
                "no model can be chosen from 2 sizes and 6 values",
                "+/- ")) {
            assertTrue(table.contains(part), part + " in\n" + table);
        }
        for (String chart : List.of("load-reports-bytes-in", "all-control-bytes-in-and-out", "process-processor")) {
            String svg = Files.readString(folder.resolve("out").resolve(chart + ".svg"));
            assertTrue(svg.contains("<svg") && svg.contains("budget"), chart);
        }
        String again = Files.readString(folder.resolve("out/process-processor.svg"));
        run(results.toString(), "--out", folder.resolve("out").toString());
        assertEquals(
                again, Files.readString(folder.resolve("out/process-processor.svg")), "the same values, another chart");
    }

    /** What the command writes for the page is what the page's check accepts. */
    @Test
    void theFragmentPassesTheCheckOfThePage() throws Exception {
        run(file("").toString(), "--out", folder.toString(), "--page-folder", folder.toString());
        Path page = folder.resolve("capacity.md");
        assertEquals(List.of(), CapacityPage.findings(page));
        assertTrue(CapacityPage.marked(page) >= 10, Files.readString(page));
    }

    @Test
    void jsonHoldsTheSame() throws Exception {
        assertEquals(
                0,
                run(folder.resolve(file("").getFileName()).toString(), "--json", "--out", folder.toString()),
                err.toString());
        JsonObject all = JsonParser.parseString(out.toString()).getAsJsonObject();
        JsonObject load = all.getAsJsonArray("figures").get(0).getAsJsonObject();
        assertEquals("LINEAR", load.getAsJsonObject("growth").get("model").getAsString());
        assertEquals(
                "BELOW_SMALLEST", load.getAsJsonObject("passed").get("kind").getAsString());
        assertEquals(5, load.getAsJsonArray("sizes").size());
    }

    @Test
    void runsThatDidNotKeepTheirPaceAreToldAndEndWithOne() throws Exception {
        assertEquals(Cli.BROKEN, run(file("\"800 routers, seed 2: 31% late\"").toString(), "--out", folder.toString()));
        assertTrue(out.toString().contains("results.json: not valid: 800 routers, seed 2: 31% late"), out.toString());
    }

    @Test
    void badInputIsOneLineAndAnExitCode() throws Exception {
        assertEquals(Cli.USAGE, run());
        assertEquals(Cli.USAGE, run(file("").toString(), "--routers", "0"));
        assertEquals(Cli.IO_ERROR, run(folder.resolve("none.json").toString()));
        assertEquals(1, err.toString().lines().count(), err.toString());
        Path bad = Files.writeString(
                folder.resolve("bad.json"), SyntheticSamples.json(samples, "").replaceFirst("BYTES_IN", "BITES_IN"));
        assertEquals(Cli.IO_ERROR, run(bad.toString()));
        assertTrue(err.toString().contains("bad.json: samples[0].figure: must be one of"), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
    }
}
