package stagepier.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.lab.check.Guarantee;
import stagepier.lab.check.Verdict;
import stagepier.lab.check.Verdict.State;
import stagepier.lab.fleet.Experiment;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.report.RunResult;
import stagepier.lab.scenario.ScenarioReader;

/** Five real routers that decide together, under a short choice of faults; the rest is played by {@code lab run}. */
@Timeout(120)
class FleetPlayTest {
    private static final String SCENARIO = """
            [fleet]
            nodes = 3
            routers = 5
            notice_s = 0.3
            [load]
            rate = 40
            seconds = 22
            keys = 500
            [together]
            lease_ms = 2000
            skew_ms = 500
            [[together.proposal]]
            at_s = 2
            routers = [3]
            [[together.proposal.window]]
            name = "match"
            from_s = 5
            until_s = 16
            [[fault]]
            kind = "replace"
            at_s = 6
            lasts_s = 4.5
            nodes = [1]
            """;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[[link_fault]]\nshape = \"partition\"\na = [0, 1]\nat_s = 6\nlasts_s = 6\n",
                "[[fault]]\nkind = \"router_kill\"\nrouters = [0, 4]\nat_s = 7\nlasts_s = 1\n"
            })
    void theRealFleetKeepsItsPromises(String fault) throws Exception {
        RunResult result;
        try (Experiment experiment = new Experiment(
                ScenarioReader.parse("test", SCENARIO + fault),
                5,
                RouterProcess.command(Path.of("../router/target/stagepier.jar").toAbsolutePath()),
                folder)) {
            result = experiment.run(p -> {});
        }
        Map<Guarantee, Verdict> verdicts = new EnumMap<>(Guarantee.class);
        result.verdicts().forEach(v -> verdicts.put(v.promise(), v));
        for (Verdict v : verdicts.values()) {
            assertTrue(!v.isBroken(), v + " " + v.lines());
        }
        for (Guarantee p :
                List.of(Guarantee.P1, Guarantee.P2, Guarantee.P3, Guarantee.P5, Guarantee.P6, Guarantee.P8)) {
            assertEquals(State.KEPT, verdicts.get(p).state(), verdicts.get(p).toString());
        }
        assertEquals(List.of(), result.breaches());
    }
}
