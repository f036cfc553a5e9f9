package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stagepier.lab.cli.Cli;

/** A plan is refused before anything starts where there is not the room for it, and options that make no sense are. */
class ScalePlanTest {
    private static final MachineResources WIDE = new MachineResources(64L << 30, 1_000_000, 28_000);

    private static ScalePlan plan(int routers, int real) {
        return new ScalePlan(List.of(50, routers), real, List.of(1L), 10, 6, ReportPacing.EVERY);
    }

    private static String refusal(ScalePlan plan, MachineResources room) {
        return assertThrows(
                        PlanTooLargeException.class,
                        () -> ScaleRequirements.of(plan).check(room))
                .getMessage();
    }

    @Test
    void theLargestFleetOfTheProjectHasRoom() {
        assertDoesNotThrow(
                () -> ScaleRequirements.of(plan(1900, 3)).check(new MachineResources(12L << 30, 20_000, 28_000)));
    }

    @Test
    void eachBoundIsNamedThatAPlanWouldPass() {
        String most = refusal(plan(200, 65), new MachineResources(64L << 30, 1_000_000, 1_000_000));
        assertTrue(most.matches("too large for this machine: \\d+ MB of memory needed, 12288 at the most"), most);
        String processes = refusal(plan(400, 300), WIDE);
        assertTrue(processes.contains("301 processes needed, 300 at the most"), processes);
        String descriptors = refusal(plan(1900, 3), new MachineResources(12L << 30, 1024, 28_000));
        assertTrue(
                descriptors.matches("too large for this machine: \\d+ descriptors needed, 1024 at the most"),
                descriptors);
        String ports = refusal(plan(1900, 3), new MachineResources(12L << 30, 20_000, 1000));
        assertTrue(ports.matches("too large for this machine: \\d+ ports needed, 1000 at the most"), ports);
        String memory = refusal(plan(1900, 3), new MachineResources(1L << 30, 20_000, 28_000));
        assertTrue(memory.matches("too large for this machine: \\d+ MB of memory needed, 1024 at the most"), memory);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "lab scale --routers 500 --real 400 | 78 | too large for this machine",
                "lab scale --routers 50,6 | 64 | --routers must lie between 7 and 50000",
                "lab scale --routers 50 --real 0 | 64 | --real must be 1 or more",
                "lab scale --routers 50 --seconds 0 | 64 | --seconds must lie between 1 and 3600",
                "lab scale --reports sometimes | 64 | --reports"
            })
    void theCommandSaysSoInOneLine(String command, int code, String line) {
        StringWriter said = new StringWriter();
        assertEquals(
                code,
                Cli.commandLine().setErr(new PrintWriter(said, true)).execute(command.split(" ")),
                said.toString());
        assertTrue(said.toString().contains(line), said.toString());
        assertEquals(1, said.toString().lines().count(), said.toString());
    }
}
