package stagepier.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stagepier.lab.fleet.Experiment;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.report.Comparison;
import stagepier.lab.report.ResultFolder;
import stagepier.lab.report.RunResult;
import stagepier.lab.report.Summary;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;
import stagepier.lab.standin.RelayCost;

/** Runs scenarios, and shows and compares what they came to. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Runs scenarios against real routers.",
        subcommands = {
            HuntCommand.class,
            ScaleCommand.class,
            ScaleDiscoveryCommand.class,
            ThroughputCommand.class,
            SaturationCommand.class,
            CapacityCommand.class
        })
final class Lab implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "run, hunt, scale, scale-discovery, throughput, saturation, list, report, compare or capacity?");
    }

    /** Where the router is: what the launcher says, or what the build makes. */
    static Path routerJar() {
        return Path.of(System.getProperty("stagepier.router", "router/target/stagepier.jar"));
    }

    /** The project's folder, in which the file of the deployment is. */
    static Path root() {
        return routerJar().toAbsolutePath().getParent().getParent().getParent();
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario; exit code 1 where a rule was broken or the load was not sent as planned.")
    int runScenario(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--seed", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})") long seed,
            @Option(names = "--repeat", defaultValue = "1", description = "runs, each with the next seed") int repeat,
            @Option(names = "--out", description = "folder of the results (results/SCENARIO)") Path out,
            @Option(names = "--json", description = "prints the summaries as JSON") boolean json,
            @Option(names = "--router", description = "the router's jar") Path router)
            throws IOException, InterruptedException, InvalidScenarioException {
        if (repeat < 1 || repeat > 1000) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--repeat must lie between 1 and 1000");
        }
        Scenario scenario = ScenarioReader.read(file);
        Path folder = out != null ? out : Path.of("results", scenario.name());
        boolean clean = true;
        PrintWriter to = spec.commandLine().getOut();
        for (int i = 0; i < repeat; i++) {
            Summary summary = one(
                    scenario, seed + i, router != null ? router : routerJar(), folder.resolve("seed-" + (seed + i)));
            to.println(json ? summary.json() : summary.line());
            if (!json) {
                summary.breaches().stream().limit(5).forEach(b -> to.println("  " + b));
                summary.promises().forEach(p -> to.println("  " + p));
            }
            to.flush();
            clean &= summary.clean();
        }
        return clean ? 0 : Cli.BROKEN;
    }

    static Summary one(Scenario scenario, long seed, Path router, Path folder)
            throws IOException, InterruptedException {
        try (ResultFolder results = new ResultFolder(folder);
                Experiment experiment = new Experiment(
                        scenario, seed, RouterProcess.command(router.toAbsolutePath()), results.path())) {
            RunResult result = experiment.run(progress -> {});
            return results.finish(result);
        }
    }

    @Command(
            name = "relay-cost",
            mixinStandardHelpOptions = true,
            description = "Measures what the relay between processes adds with no fault set, beside a direct link.")
    int relayCost(
            @Option(names = "--round-trips", defaultValue = "5000", description = "of each (${DEFAULT-VALUE})")
                    int trips)
            throws IOException, InterruptedException, InvalidScenarioException {
        if (trips < 100 || trips > 1_000_000) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--round-trips must lie between 100 and 1000000");
        }
        RelayCost.Cost cost = RelayCost.measure(ScenarioReader.parse("relay-cost", ""), trips);
        PrintWriter to = spec.commandLine().getOut();
        to.printf("%-10s %10s %10s %10s   microseconds a round trip%n", "", "median", "p99", "p99.9");
        for (var row : List.of(Map.entry("direct", cost.direct()), Map.entry("relayed", cost.relayed()))) {
            to.printf(
                    "%-10s %10d %10d %10d%n",
                    row.getKey(),
                    row.getValue().getValueAtPercentile(50),
                    row.getValue().getValueAtPercentile(99),
                    row.getValue().getValueAtPercentile(99.9));
        }
        to.flush();
        return 0;
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the scenarios of a folder.")
    int list(@Parameters(arity = "0..1", defaultValue = "lab/scenarios") Path folder) throws IOException {
        PrintWriter to = spec.commandLine().getOut();
        boolean all = true;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".toml")).sorted().toList()) {
                try {
                    Scenario s = ScenarioReader.read(file);
                    to.printf(
                            "%-20s %4.0f s  %2d nodes  %d routers  %5.0f/s  %s%n",
                            s.name(),
                            s.demand().seconds(),
                            s.nodes(),
                            s.routers(),
                            s.demand().rate(),
                            s.about());
                } catch (InvalidScenarioException e) {
                    to.println(e.getMessage());
                    all = false;
                }
            }
        }
        to.flush();
        return all ? 0 : Cli.BAD_CONFIG;
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "Shows the runs below a folder.")
    int report(
            @Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--markdown", description = "prints a table for a document") boolean markdown)
            throws IOException {
        PrintWriter to = spec.commandLine().getOut();
        if (markdown) {
            to.println(
                    "| scenario | seed | rules | service | lowest second | back at 95% | attempts (worst second) | p50 / p99 / p99.9 ms |");
            to.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
            for (Summary s : summaries(folder)) {
                to.printf(
                        "| `%s` | %d | %s | %.3f | %.3f | %s | %.2f (%.2f) | %.0f / %.0f / %.0f |%n",
                        s.scenario(),
                        s.seed(),
                        !s.valid()
                                ? "not valid"
                                : s.clean() ? "kept" : s.breaches().size() + " broken",
                        s.service(),
                        s.lowestService(),
                        s.recoverySeconds() == null ? "not in the run" : "%.1f s".formatted(s.recoverySeconds()),
                        s.attempts(),
                        s.worstAttempts(),
                        s.p50(),
                        s.p99(),
                        s.p999());
            }
            to.flush();
            return 0;
        }
        for (Summary s : summaries(folder)) {
            to.println(s.line());
            s.breaches().forEach(b -> to.println("  " + b));
        }
        to.flush();
        return 0;
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Sets the runs of two folders side by side, with 95%% intervals over seeds.")
    int compare(@Parameters(paramLabel = "DIR") Path first, @Parameters(paramLabel = "DIR") Path second)
            throws IOException {
        List<Summary> a = summaries(first);
        List<Summary> b = summaries(second);
        PrintWriter to = spec.commandLine().getOut();
        to.printf("%d runs of %s, %d of %s%n", a.size(), first, b.size(), second);
        to.printf("%-28s %12s %12s %12s   %s%n", "", "first", "second", "difference", "95% interval");
        for (Comparison.Row r : Comparison.of(a, b)) {
            to.printf(
                    "%-28s %12.4f %12.4f %+12.4f   %+.4f to %+.4f%s%n",
                    r.figure(),
                    r.first(),
                    r.second(),
                    r.difference(),
                    r.low(),
                    r.high(),
                    r.isDecided() ? "" : "   no difference seen");
        }
        if (a.size() < 3 || b.size() < 3) {
            to.println("with fewer than 3 seeds a side, intervals mean little");
        }
        to.flush();
        return 0;
    }

    /** All whole runs at or below a folder, by their seeds. */
    static List<Summary> summaries(Path folder) throws IOException {
        List<Summary> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(folder, 3)) {
            for (Path file : files.filter(f -> f.getFileName().toString().equals("summary.json"))
                    .filter(f -> !f.getParent().toString().endsWith(".partial"))
                    .sorted()
                    .toList()) {
                all.add(Summary.read(file.getParent()));
            }
        }
        if (all.isEmpty()) {
            throw new IOException(folder + ": no run there");
        }
        all.sort(java.util.Comparator.comparing(Summary::scenario).thenComparingLong(Summary::seed));
        return all;
    }
}
