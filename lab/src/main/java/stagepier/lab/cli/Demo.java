package stagepier.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stagepier.lab.fleet.Experiment;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.measure.Series;
import stagepier.lab.report.ResultFolder;
import stagepier.lab.report.Summary;
import stagepier.lab.scenario.Fault;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;

/** The newcomer's first command: a whole fleet on this machine, a fault if wanted, and a report. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts a fleet of stand-ins and real routers on this machine, shows it at work and leaves a report.")
final class Demo implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--seconds", defaultValue = "20", description = "length of the load (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--routers", defaultValue = "2", description = "router processes (${DEFAULT-VALUE})")
    private int routers;

    @Option(names = "--nodes", defaultValue = "6", description = "cache nodes (${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--rate", defaultValue = "300", description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--fault", description = "what goes wrong after a third of the time: ${COMPLETION-CANDIDATES}")
    private Fault.Kind fault;

    @Option(names = "--seed", defaultValue = "1", description = "of all that is random (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--out", defaultValue = "results/demo", description = "folder of the report (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException, InvalidScenarioException {
        PrintWriter to = spec.commandLine().getOut();
        Scenario scenario = scenario();
        to.printf(
                "%d cache nodes, %d routers, %.0f requests a second for %d s%s%n",
                nodes,
                routers,
                rate,
                seconds,
                fault == null ? "" : "; " + word(fault) + " of a quarter of them after " + seconds / 3 + " s");
        to.printf(
                "%6s %8s %8s %8s %8s %9s %9s  %s%n",
                "second", "service", "refused", "failed", "p99 ms", "fetches", "held", "nodes");
        to.flush();
        try (ResultFolder results = new ResultFolder(out);
                Experiment experiment = new Experiment(
                        scenario, seed, RouterProcess.command(Lab.routerJar().toAbsolutePath()), results.path())) {
            Summary summary = results.finish(experiment.run(p -> show(to, p)));
            to.println(summary.line());
            summary.breaches().stream().limit(10).forEach(b -> to.println("  " + b));
            to.println(
                    summary.clean()
                            ? "all rules kept"
                            : summary.valid() ? "RULES BROKEN" : "not valid: the load was not sent as planned");
            to.println("report: " + out.resolve("report.html"));
            to.flush();
            return summary.clean() ? 0 : Cli.BROKEN;
        }
    }

    /** The same as a scenario file would be, so that its checks hold here as well. */
    private Scenario scenario() throws InvalidScenarioException {
        String text = """
                name = "demo"
                about = "A fleet on one machine"
                [fleet]
                nodes = %d
                routers = %d
                zones = 2
                [load]
                rate = %s
                seconds = %d
                """.formatted(nodes, routers, Double.toString(rate), seconds);
        if (fault != null) {
            text += """
                    [[fault]]
                    kind = "%s"
                    at_s = %d
                    lasts_s = %d
                    part = 0.25
                    """.formatted(word(fault), seconds / 3, Math.max(1, seconds / 4));
        }
        return ScenarioReader.parse("demo", text);
    }

    private static String word(Fault.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    /** A line for the last second whose requests have mostly ended. */
    private static void show(PrintWriter to, Experiment.Progress p) {
        List<Series.Second> all = p.series().seconds();
        int i = Math.min(all.size() - 1, (int) p.seconds() - 2);
        if (i < 0) {
            return;
        }
        Series.Second s = all.get(i);
        to.printf(
                "%6d %8.3f %8d %8d %8.1f %9d %9d  %s%n",
                i,
                s.service(),
                s.of(Series.RequestOutcome.REFUSED),
                s.of(Series.RequestOutcome.FAILED) + s.of(Series.RequestOutcome.UNANSWERED),
                s.latencyAt(99) / 1e3,
                s.fetches(),
                s.held(),
                String.join(" ", p.glance().nodes()));
        to.flush();
    }
}
