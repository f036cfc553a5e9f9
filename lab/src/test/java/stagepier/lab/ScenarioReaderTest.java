package stagepier.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.FleetScenario;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;

class ScenarioReaderTest {
    @Test
    void allThatAreShippedMakeSense() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            List<Path> all = files.toList();
            assertTrue(all.size() >= 12, all.toString());
            for (Path file : all) {
                Scenario s = ScenarioReader.read(file);
                assertEquals(file.getFileName().toString(), s.name() + ".toml");
                assertTrue(!s.about().isEmpty(), file.toString());
            }
        }
    }

    @Test
    void anEmptyFileIsACalmFleet() throws Exception {
        Scenario s = ScenarioReader.parse("x.toml", "");
        assertEquals("x", s.name());
        assertEquals(List.of(), s.faults());
        assertEquals(2, s.kinds().size());
    }

    @Test
    void everyErrorIsToldWithItsLineAndKey() {
        String text = """
                name = "Bad Name"
                [fleet]
                nodes = 0
                nodez = 3
                [load]
                rate = "fast"
                shape = "square"
                [[class]]
                name = "read"
                aim_ms = 500
                deadline_ms = 400
                [[fault]]
                at_s = 3
                part = 0.5
                [[fault]]
                kind = "crash"
                nodes = [1, 99]
                [[fault]]
                kind = "hang"
                """;
        String message = assertThrows(InvalidScenarioException.class, () -> ScenarioReader.parse("f.toml", text))
                .getMessage();
        for (String line : List.of(
                "f.toml:1: name: must be lower-case",
                "f.toml:3: fleet.nodes: must lie between 1 and 64",
                "f.toml:4: fleet.nodez: is unknown",
                "f.toml:6: load.rate: must be a number",
                "f.toml:7: load.shape: must be one of steady, wave, burst",
                "f.toml:11: class[0].deadline_ms: must not be below aim_ms",
                "fault[0].kind: is missing",
                "f.toml:17: fault[1].nodes: must hold whole numbers from 0 to 5",
                "fault[2].part: is missing, and so is the list")) {
            assertTrue(message.contains(line), line + " in" + System.lineSeparator() + message);
        }
        assertEquals(9, message.lines().count(), message);
    }

    @Test
    void aFleetThatDecidesTogetherIsReadAndItsErrorsTold() throws Exception {
        String text = """
                [together]
                lease_ms = 500
                clock_offsets_ms = [0, 1500]
                [[together.proposal]]
                at_s = 2
                routers = [1]
                [[together.proposal.window]]
                from_s = 4
                scope = "kind:RESTORE"
                """;
        FleetScenario t = ScenarioReader.parse("x", text).together();
        assertEquals(
                new FleetScenario.Proposal(
                        2, List.of(1), List.of(new FleetScenario.Window("window", 4, 86_400, "kind:RESTORE"))),
                t.proposals().get(0));
        assertEquals(List.of(0.5, 2.0), List.of(t.lease(), t.skew()));
        assertEquals(List.of(0, 1500, 0), List.of(t.clockOffset(0), t.clockOffset(1), t.clockOffset(2)));
        assertNull(ScenarioReader.parse("x", "").together());
        assertNull(ScenarioReader.parse("x", "[together]\non = false\n").together());
        String bad = text.replace("[0, 1500]", "[0, 1, 2]")
                        .replace("[1]", "[2]")
                        .replace("kind:RESTORE", "some")
                        .replace("from_s = 4", "from_s = 4\nuntil_s = 3")
                + "lenght = 3\n";
        String message = assertThrows(InvalidScenarioException.class, () -> ScenarioReader.parse("f", bad))
                .getMessage();
        for (String line : List.of(
                "f:3: together.clock_offsets_ms: names more",
                "f:6: together.proposal[0].routers: must hold",
                "f:9: together.proposal[0].window[0].until_s: must be above",
                "f:10: together.proposal[0].window[0].scope: must be",
                "f:11: together.proposal[0].window[0].lenght: is unknown")) {
            assertTrue(message.contains(line), line + " in" + System.lineSeparator() + message);
        }
        assertEquals(5, message.lines().count(), message);
    }

    @Test
    void whatIsNoTomlIsToldByLine() {
        for (var bad : Map.of("a = ", 1, "[x\n", 1, "a = 1\na = 2\n", 2).entrySet()) {
            String message = assertThrows(InvalidScenarioException.class, () -> ScenarioReader.parse("f", bad.getKey()))
                    .getMessage();
            assertTrue(message.startsWith("f:" + bad.getValue() + ": "), message);
        }
    }

    @Test
    void faultsOfRoutersNameRouters() throws Exception {
        Scenario s = ScenarioReader.parse("x", "[[fault]]\nkind = \"router_kill\"\nrouters = [1]\n");
        assertEquals(Fault.Kind.ROUTER_KILL, s.faults().get(0).kind());
        assertEquals(List.of(1), s.faults().get(0).nodes());
    }
}
