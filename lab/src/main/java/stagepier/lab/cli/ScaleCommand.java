package stagepier.lab.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stagepier.lab.capacity.GrowthCheck;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.scale.PlanTooLargeException;
import stagepier.lab.scale.ReportPacing;
import stagepier.lab.scale.ScaleMeasurement;
import stagepier.lab.scale.ScalePlan;
import stagepier.lab.scale.ScaleResults;
import stagepier.lab.scale.ScaleTable;

/** Measures what a router's control conversations cost it at several sizes of the fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures real routers with the options of the deployment beside hollow ones that only send load "
                + "reports.")
final class ScaleCommand implements Callable<Integer> {
    private static final int ROUTERS_MOST = 50_000;
    private static final int SECONDS_MOST = 3600;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--routers",
            split = ",",
            defaultValue = "50,100,200",
            description = "sizes of the fleet, real and hollow routers together (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(names = "--real", defaultValue = "3", description = "router processes among them (${DEFAULT-VALUE})")
    private int real;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1",
            description = "each size is played with each of them (${DEFAULT-VALUE})")
    private List<Long> seeds;

    @Option(names = "--seconds", defaultValue = "20", description = "measured span of each run (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--warm-up",
            defaultValue = "6",
            description = "seconds before each measured span (${DEFAULT-VALUE})")
    private int warmUp;

    @Option(
            names = "--short",
            description = "the form that runs with all tests, in place of sizes, seeds and spans: exit code 1 where "
                    + "something that is counted grows with the fleet or passes its budget")
    private boolean isShort;

    @Option(
            names = "--reports",
            defaultValue = "every",
            description = "how often hollow routers report: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private ReportPacing reports;

    @CommandLine.Mixin
    private ResultsOptions output;

    @Override
    public Integer call() throws IOException, InterruptedException, PlanTooLargeException {
        check();
        ScalePlan plan = isShort ? ScalePlan.shortForm() : new ScalePlan(sizes, real, seeds, seconds, warmUp, reports);
        ScaleMeasurement.check(plan);
        ScaleMeasurement measurement = new ScaleMeasurement(
                plan, DeploymentCommand.read(Lab.root()), output.folder().toAbsolutePath());
        ScaleResults earlier = output.earlier(ScaleMeasurement.RESULTS);
        ScaleTable table = new ScaleTable(spec.commandLine().getOut());
        if (!output.isJson()) {
            table.head();
        }
        boolean[] whole = {true};
        ScaleResults all = measurement.measure(earlier, results -> {
            whole[0] &= !results.samples().isEmpty();
            if (!output.isJson()) {
                table.rows(results);
            }
        });
        output.announce(ScaleMeasurement.RESULTS, all);
        List<String> faults = isShort ? GrowthCheck.faults(all) : List.of();
        faults.forEach(spec.commandLine().getErr()::println);
        return whole[0] && faults.isEmpty() ? 0 : Cli.BROKEN;
    }

    private void check() {
        if (real < 1) {
            throw usage("--real must be 1 or more");
        }
        int least = Math.max(real, ScalePlan.ROUTERS_LEAST);
        if (sizes.isEmpty() || sizes.stream().anyMatch(size -> size < least || size > ROUTERS_MOST)) {
            throw usage("--routers must lie between %d and %d".formatted(least, ROUTERS_MOST));
        }
        if (seconds < 1 || seconds > SECONDS_MOST) {
            throw usage("--seconds must lie between 1 and " + SECONDS_MOST);
        }
        if (warmUp < 1 || warmUp > SECONDS_MOST) {
            throw usage("--warm-up must lie between 1 and " + SECONDS_MOST);
        }
    }

    private CommandLine.ParameterException usage(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }
}
