package stagepier.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.cli.Cli;
import stagepier.lab.nemesis.LinkFault.Shape;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;

/** A player that fails for one combination: it is found, and nothing but it is left. */
class HuntTest {
    private static final String BASE = "[fleet]\nrouters = 14\n[load]\nseconds = 30\n";
    private static final Grammar GRAMMAR = new Grammar(14, 30);

    private static boolean isPartition(Step s, double least) {
        return s instanceof Step.OfLinks l && l.fault().shape() == Shape.PARTITION && s.lasts() >= least;
    }

    private static boolean isKill(Step s) {
        return s instanceof Step.OfRouters r && r.fault().kind() == Fault.Kind.ROUTER_KILL;
    }

    /**
     * Fails where a partition of 2 s and more comes with a kill; a single step fails in another way, which is not to be shrunk
     * to.
     */
    private static Set<String> planted(List<Step> schedule) {
        boolean fails = schedule.stream().anyMatch(s -> isPartition(s, 2))
                && schedule.stream().anyMatch(HuntTest::isKill);
        return fails ? Set.of("P5") : schedule.size() == 1 ? Set.of("P9") : Set.of();
    }

    @Test
    void aPlantedCombinationIsFoundAndShrunkToItself() throws Exception {
        List<String> lines = new ArrayList<>();
        Hunt.Found found = Hunt.run(
                GRAMMAR,
                seed -> s -> s.equals(GRAMMAR.draw(seed)) && s.size() == 1 ? Set.of() : planted(s),
                1,
                500,
                400,
                lines::add);
        assertEquals(Set.of("P5"), found.broken());
        assertEquals(found.seed(), lines.size());
        assertEquals(2, found.shrunk().size(), found.shrunk().toString());
        Step partition = found.shrunk().stream()
                .filter(s -> isPartition(s, 2))
                .findFirst()
                .orElseThrow();
        Step kill = found.shrunk().stream().filter(HuntTest::isKill).findFirst().orElseThrow();
        assertTrue(partition.lasts() < 4, "half of it would no longer fail: " + partition);
        assertEquals(List.of(0.5, 2.0, 2.0), List.of(kill.lasts(), kill.at(), partition.at()));
        assertTrue(found.drawn().size() >= 2 && found.plays() <= 400);

        Scenario replay = ScenarioReader.parse("found", found.scenario(BASE));
        assertEquals(1, replay.faults().size());
        assertEquals(1, replay.linkFaults().size());
        assertEquals(((Step.OfLinks) partition).fault(), replay.linkFaults().get(0));
    }

    @Test
    void everyScheduleIsOfTheGrammarAndItsFileReplaysIt() throws Exception {
        for (long seed = 0; seed < 300; seed++) {
            List<Step> drawn = GRAMMAR.draw(seed);
            assertEquals(drawn, GRAMMAR.draw(seed));
            assertTrue(drawn.size() >= 1 && drawn.size() <= 5);
            assertTrue(
                    drawn.stream().allMatch(s -> s.at() >= 2 && s.at() + s.lasts() <= 30 - Grammar.CALM),
                    drawn.toString());
            Scenario replay = ScenarioReader.parse("found", Hunt.replay(BASE, drawn));
            assertEquals(
                    drawn.stream()
                            .filter(Step.OfLinks.class::isInstance)
                            .map(s -> ((Step.OfLinks) s).fault())
                            .toList(),
                    replay.linkFaults());
            assertEquals(
                    drawn.size(), replay.linkFaults().size() + replay.faults().size());
        }
        for (long seed = 0; seed < 50; seed++) {
            ScenarioReader.parse(
                    "two", Hunt.replay("[fleet]\nrouters = 2\n[load]\nseconds = 16\n", new Grammar(2, 16).draw(seed)));
        }
    }

    @Test
    void aHuntThatCannotBeIsRefusedInOneLine(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("short.toml"), "[load]\nseconds = 5\n");
        for (String[] args :
                new String[][] {{"lab", "hunt", file.toString()}, {"lab", "hunt", file.toString(), "--seeds", "0"}}) {
            StringWriter said = new StringWriter();
            int code = Cli.commandLine().setErr(new PrintWriter(said, true)).execute(args);
            assertEquals(args.length == 3 ? Cli.IO_ERROR : Cli.USAGE, code, said.toString());
            assertEquals(1, said.toString().lines().count(), said.toString());
        }
    }

    @Test
    void whatNeverFailsIsNotFoundAndPlaysAreBounded() throws Exception {
        assertNull(Hunt.run(GRAMMAR, seed -> s -> Set.of(), 1, 20, 10, line -> {}));
        Shrinker shrinker = new Shrinker(s -> Set.of("P1"), Set.of("P1"), 3);
        shrinker.shrink(GRAMMAR.draw(4));
        assertEquals(3, shrinker.plays());
        assertThrows(IllegalArgumentException.class, () -> new Grammar(1, 60));
        assertThrows(IllegalArgumentException.class, () -> new Grammar(14, 10));
    }
}
