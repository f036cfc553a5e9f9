package stagepier.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.check.Guarantee;
import stagepier.lab.check.Verdict;
import stagepier.lab.check.Verdict.State;
import stagepier.lab.fleet.Experiment;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.report.RunResult;
import stagepier.lab.report.Summary;
import stagepier.lab.scenario.ScenarioReader;

/**
 * Processes that write histories over links which the lab breaks: who keeps the promises passes, who breaks them all is found
 * out in each.
 */
@Timeout(90)
class FleetScenarioTest {
    private static final String SCENARIO = """
            [fleet]
            nodes = 2
            routers = 3
            [load]
            rate = 20
            seconds = 15
            keys = 100
            [together]
            lease_ms = 500
            skew_ms = 500
            link_bytes_per_s = 5000
            copies_per_s = 10
            clock_offsets_ms = [0, 1500]
            [[together.proposal]]
            at_s = 1
            [[together.proposal.window]]
            from_s = 5
            [[link_fault]]
            shape = "partition"
            a = [0]
            at_s = 3.5
            lasts_s = 4.5
            """;

    @TempDir
    private Path folder;

    private RunResult run(String how) throws Exception {
        List<String> command = List.of(
                RouterProcess.java(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                FaultyRouter.class.getName(),
                how);
        try (Experiment experiment = new Experiment(ScenarioReader.parse("test", SCENARIO), 5, command, folder)) {
            return experiment.run(p -> {});
        }
    }

    private static Map<Guarantee, Verdict> byPromise(RunResult result) {
        Map<Guarantee, Verdict> all = new EnumMap<>(Guarantee.class);
        result.verdicts().forEach(v -> all.put(v.promise(), v));
        return all;
    }

    @Test
    void aFleetThatKeepsItsPromisesIsFoundToDoSo() throws Exception {
        RunResult result = run("none");
        Map<Guarantee, Verdict> verdicts = byPromise(result);
        for (Verdict v : verdicts.values()) {
            assertTrue(!v.isBroken(), v + " " + v.lines());
        }
        for (Guarantee p : List.of(
                Guarantee.P1, Guarantee.P2, Guarantee.P3, Guarantee.P4, Guarantee.P5, Guarantee.P8, Guarantee.P12)) {
            assertEquals(State.KEPT, verdicts.get(p).state(), verdicts.get(p).toString());
        }
        assertTrue(
                Summary.of(result).promises().get(0).startsWith("P1 kept"),
                Summary.of(result).promises().toString());
        assertTrue(
                Files.readString(folder.resolve("calendar-0.toml")).contains("[[window]]"), "staff proposed a window");
    }

    @Test
    void oneThatBreaksThemAllIsFoundOutInEach() throws Exception {
        RunResult result = run("faithless");
        for (Verdict v : byPromise(result).values()) {
            assertEquals(State.BROKEN, v.state(), v.toString());
        }
        assertEquals(Guarantee.values().length, result.verdicts().size());
        assertTrue(!result.isClean(), "a broken promise is a broken run");
    }
}
