package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleMeasurement;
import stagepier.lab.scale.ScalePlan;
import stagepier.lab.scale.ScaleResults;

/** The short form of the scale runs: a real router process beside 49 to 1,899 hollow ones. */
@Timeout(240)
class ScaleGrowthTest {
    /** A machine that was too busy for the pace of a run has shown nothing: it is played again. */
    private static final int TRIES = 3;

    @TempDir
    private Path folder;

    @Test
    void whatControlCostsARouterDoesNotGrowWithTheFleet() throws Exception {
        ScalePlan plan = ScalePlan.shortForm();
        ScaleResults results = null;
        for (int tries = 0;
                tries < TRIES && (results == null || !results.invalid().isEmpty());
                tries++) {
            results =
                    new ScaleMeasurement(plan, DeploymentCommand.read(Path.of("..")), folder).measure(null, each -> {});
        }
        assertEquals(
                plan.sizes(),
                results.samples().stream()
                        .map(Sample::routers)
                        .distinct()
                        .sorted()
                        .collect(Collectors.toList()));
        assertEquals(List.of(), GrowthCheck.faults(results), results.toJson());
        assertTrue(results.samples().stream().noneMatch(sample -> sample.value() < 0));
    }
}
