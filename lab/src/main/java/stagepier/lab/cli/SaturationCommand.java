package stagepier.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleResults;
import stagepier.lab.scale.saturation.SaturationMeasurement;
import stagepier.lab.scale.saturation.SaturationSetting;

/** Measures what one router passes on with a whole core. */
@Command(
        name = "saturation",
        mixinStandardHelpOptions = true,
        description = "Measures requests and bytes of values a second of one router that is never without work. "
                + "Exit code 1 where the router was not kept busy, and so nothing was shown.")
final class SaturationCommand implements Callable<Integer> {
    private static final String RESULTS = "saturation-%d.json";
    private static final int CONNECTIONS_MOST = 500;
    private static final int VALUE_MOST = 1 << 20;
    private static final int SECONDS_MOST = 600;
    private static final int WARM_UP = 6;
    private static final double MEGABYTE = 1e6;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "of clients, one request at a time on each (${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--value-bytes", defaultValue = "100", description = "of each answer (${DEFAULT-VALUE})")
    private int valueBytes;

    @Option(names = "--seconds", defaultValue = "8", description = "measured span of each run (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "a run for each (${DEFAULT-VALUE})")
    private List<Long> seeds;

    @CommandLine.Mixin
    private ResultsOptions output;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check();
        SaturationMeasurement measurement = new SaturationMeasurement(
                DeploymentCommand.read(Lab.root()), output.folder().toAbsolutePath());
        List<Sample> samples = new ArrayList<>();
        List<String> invalid = new ArrayList<>();
        for (long seed : seeds) {
            SaturationMeasurement.Outcome outcome =
                    measurement.measure(new SaturationSetting(connections, valueBytes, WARM_UP, seconds, seed));
            samples.addAll(outcome.samples());
            invalid.addAll(outcome.invalid());
            if (!output.isJson()) {
                print(seed, outcome);
            }
        }
        output.write(
                RESULTS.formatted(valueBytes),
                new ScaleResults(output.typed(), Runtime.getRuntime().availableProcessors(), samples, invalid));
        return invalid.isEmpty() ? 0 : Cli.BROKEN;
    }

    private void print(long seed, SaturationMeasurement.Outcome outcome) {
        PrintWriter to = spec.commandLine().getOut();
        outcome.invalid().forEach(reason -> to.println("NOT VALID: " + reason));
        if (!outcome.samples().isEmpty()) {
            to.printf(
                    "seed %d: %,.0f requests/s and %,.1f MB/s of values answered, %,.0f requests/s not, "
                            + "%.2f cores (%,.0f requests/s and %,.1f MB/s a core)%n",
                    seed,
                    value(outcome, Figure.REQUESTS_ANSWERED),
                    value(outcome, Figure.VALUE_BYTES_ANSWERED) / MEGABYTE,
                    value(outcome, Figure.REQUESTS_NOT_ANSWERED),
                    value(outcome, Figure.PROCESSOR),
                    value(outcome, Figure.REQUESTS_ANSWERED_PER_CORE),
                    value(outcome, Figure.VALUE_BYTES_ANSWERED_PER_CORE) / MEGABYTE);
        }
        to.flush();
    }

    private static double value(SaturationMeasurement.Outcome outcome, Figure figure) {
        return outcome.samples().stream()
                .filter(sample -> sample.figure() == figure)
                .mapToDouble(Sample::value)
                .findFirst()
                .orElse(Double.NaN);
    }

    private void check() {
        require(
                connections >= 1 && connections <= CONNECTIONS_MOST,
                "--connections must lie between 1 and " + CONNECTIONS_MOST);
        require(valueBytes >= 1 && valueBytes <= VALUE_MOST, "--value-bytes must lie between 1 and " + VALUE_MOST);
        require(seconds >= 1 && seconds <= SECONDS_MOST, "--seconds must lie between 1 and " + SECONDS_MOST);
    }

    private void require(boolean isSo, String message) {
        if (!isSo) {
            throw new CommandLine.ParameterException(spec.commandLine(), message);
        }
    }
}
