package stagepier.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stagepier.lab.hunt.Grammar;
import stagepier.lab.hunt.Hunt;
import stagepier.lab.hunt.ScheduleRunner;
import stagepier.lab.report.Summary;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;

/** Looks for faults under which a fleet breaks what it promises. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario under faults drawn by seed; shrinks the first that fail to a scenario file that replays them, "
                        + "and then ends with exit code 1.")
final class HuntCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO.toml")
    private Path file;

    @Option(names = "--seeds", defaultValue = "10", description = "schedules to be played (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
    private long first;

    @Option(
            names = "--plays",
            defaultValue = "30",
            description = "plays for the shrinking at the most (${DEFAULT-VALUE})")
    private int plays;

    @Option(
            names = "--tries",
            defaultValue = "1",
            description = "plays of one schedule until it fails, where it does not always (${DEFAULT-VALUE})")
    private int tries;

    @Option(names = "--out", description = "folder of the results (results/hunt-SCENARIO)")
    private Path out;

    @Option(names = "--router", description = "the router's jar")
    private Path router;

    @Override
    public Integer call() throws IOException, InterruptedException, InvalidScenarioException {
        for (int n : new int[] {seeds, plays, tries}) {
            if (n < 1 || n > 100_000) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--seeds, --plays and --tries must lie between 1 and 100000");
            }
        }
        String base = Files.readString(file);
        Scenario scenario = ScenarioReader.parse(file.toString(), base);
        Path folder = out != null ? out : Path.of("results", "hunt-" + scenario.name());
        Grammar grammar;
        try {
            grammar = new Grammar(scenario.routers(), scenario.demand().seconds());
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        PrintWriter to = spec.commandLine().getOut();
        try {
            Hunt.Found found =
                    Hunt.run(grammar, seed -> player(base, scenario, seed, folder), first, seeds, plays, line -> {
                        to.println(line);
                        to.flush();
                    });
            return tell(found, base, scenario, folder, to);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private int tell(Hunt.Found found, String base, Scenario scenario, Path folder, PrintWriter to) throws IOException {
        if (found == null) {
            to.println("nothing broken by " + seeds + " schedules");
            to.flush();
            return 0;
        }
        Path replay = Files.createDirectories(folder).resolve(scenario.name() + "-found-" + found.seed() + ".toml");
        Files.writeString(replay, found.scenario(base));
        to.printf(
                "seed %d breaks %s: %d faults shrunk to %d by %d plays%nreplay: lab run %s --seed %d%n",
                found.seed(),
                found.broken(),
                found.drawn().size(),
                found.shrunk().size(),
                found.plays(),
                replay,
                found.seed());
        to.flush();
        return Cli.BROKEN;
    }

    private ScheduleRunner player(String base, Scenario scenario, long seed, Path folder) {
        return schedule -> {
            try {
                Scenario drawn = ScenarioReader.parse(scenario.name() + ".toml", Hunt.replay(base, schedule));
                Set<String> broken = new TreeSet<>();
                for (int i = 0; i < tries && broken.isEmpty(); i++) {
                    Summary summary = Lab.one(
                            drawn,
                            seed,
                            (router != null ? router : Lab.routerJar()).toAbsolutePath(),
                            folder.resolve("seed-" + seed));
                    // Each breach begins with the name of its rule or promise.
                    summary.breaches().forEach(b -> broken.add(b.split(" ")[0]));
                }
                return broken;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InvalidScenarioException e) {
                throw new IllegalStateException("a schedule that makes no scenario: " + e.getMessage(), e);
            }
        };
    }
}
