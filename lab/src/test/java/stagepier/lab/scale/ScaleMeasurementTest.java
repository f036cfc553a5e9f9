package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.fleet.DeploymentCommand;

/** A whole measurement of a small fleet, with one real router. */
@Timeout(90)
class ScaleMeasurementTest {
    private static final int ROUTERS = 20;
    /** Of 240 cache servers, a router under load has links to so many at the least. */
    private static final int LINKS_LEAST = 100;

    @TempDir
    private Path folder;

    @Test
    void aSmallFleetIsMeasuredAndItsResultsAreKept() throws Exception {
        ScalePlan plan = new ScalePlan(List.of(ROUTERS), 1, List.of(5L), 3, 3, ReportPacing.EVERY);
        List<ScaleResults> told = new ArrayList<>();
        ScaleResults results = null;
        // A machine that was too busy for the pace of the run has shown nothing: it is played again.
        for (int tries = 3; tries > 0 && (results == null || results.samples().isEmpty()); tries--) {
            told.clear();
            results =
                    new ScaleMeasurement(plan, DeploymentCommand.read(Path.of("..")), folder).measure(null, told::add);
        }
        assertEquals(List.of(results), told);
        assertEquals(results, ScaleResults.read(folder.resolve(ScaleMeasurement.RESULTS)));
        assertEquals(List.of(), results.invalid());
        assertEquals(4 + 5 + 5 + 5, results.samples().size(), results.toString());
        results.samples().forEach(s -> assertTrue(s.value() > 0, s.toString()));
        double heard = value(results, Conversation.LOAD_REPORTS, Figure.MESSAGES_IN);
        assertEquals(
                Map.of(Conversation.CONTROL_PROCESS, true, Conversation.PROCESS, false),
                Map.of(
                        Conversation.CONTROL_PROCESS,
                        value(results, Conversation.CONTROL_PROCESS, Figure.DESCRIPTORS) < LINKS_LEAST,
                        Conversation.PROCESS,
                        value(results, Conversation.PROCESS, Figure.DESCRIPTORS) < LINKS_LEAST),
                "links to cache servers are there under load only\n" + results);
        assertEquals(
                ROUTERS - 1,
                heard
                        * LoadReportModel.everyPeriod(StatedLoad.SHORTEST_DEADLINE)
                                .meanGap(),
                3,
                results.toString());
        StringWriter text = new StringWriter();
        ScaleTable table = new ScaleTable(new PrintWriter(text));
        table.head();
        table.rows(results);
        assertEquals(2, text.toString().lines().count(), text.toString());
    }

    private static double value(ScaleResults results, Conversation conversation, Figure figure) {
        return results.samples().stream()
                .filter(s -> s.conversation() == conversation && s.figure() == figure)
                .findFirst()
                .orElseThrow()
                .value();
    }
}
