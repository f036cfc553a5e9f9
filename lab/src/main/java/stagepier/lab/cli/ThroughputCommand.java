package stagepier.lab.cli;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.scale.ThroughputMeasurement;
import stagepier.lab.scale.ThroughputPoint;
import stagepier.lab.scenario.InvalidScenarioException;

/** Measures how many requests, and how many bytes of values, one router passes on at which part of a core. */
@Command(
        name = "throughput",
        mixinStandardHelpOptions = true,
        description =
                "Measures requests and bytes of values a second of one router, and the processor time that it takes "
                        + "for them.")
final class ThroughputCommand implements Callable<Integer> {
    private static final String RESULTS = "throughput.json";
    private static final int RATE_MOST = 100_000;
    private static final int VALUE_MOST = 500_000;
    private static final int SECONDS_MOST = 3600;
    private static final double MEGABYTE = 1e6;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "1000,2000,4000,8000",
            description = "requests a second of each run (${DEFAULT-VALUE})")
    private List<Integer> rates;

    @Option(names = "--value-bytes", defaultValue = "100", description = "of each answer (${DEFAULT-VALUE})")
    private int valueBytes;

    @Option(names = "--seconds", defaultValue = "8", description = "measured span of each run (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "of all that is random (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--out",
            defaultValue = "results/throughput",
            description = "folder of the results (${DEFAULT-VALUE})")
    private Path out;

    /** What is kept in the file. */
    private record Results(String command, int cpuCores, List<ThroughputPoint> points) {}

    @Override
    public Integer call() throws IOException, InterruptedException, InvalidScenarioException {
        check();
        Path folder = Files.createDirectories(out.toAbsolutePath());
        ThroughputMeasurement measurement = new ThroughputMeasurement(DeploymentCommand.read(Lab.root()), folder);
        PrintWriter to = spec.commandLine().getOut();
        to.printf(
                "%10s %12s %12s %12s %8s %12s%n",
                "asked 1/s", "value bytes", "answered 1/s", "values MB/s", "cores", "us an answer");
        to.flush();
        List<ThroughputPoint> points = new ArrayList<>();
        for (int rate : rates) {
            ThroughputPoint p = measurement.measure(rate, valueBytes, seconds, seed);
            points.add(p);
            to.printf(
                    "%10.0f %12d %12.0f %12.1f %8.3f %12.0f%s%n",
                    p.asked(),
                    p.valueBytes(),
                    p.answered(),
                    p.valueBytesAnswered() / MEGABYTE,
                    p.processor(),
                    p.microsecondsEach(),
                    p.loadKept() ? "" : "   NOT VALID: the load was not sent as planned");
            to.flush();
        }
        String command = "bin/stagepier lab throughput --rates %s --value-bytes %d --seconds %d --seed %d"
                .formatted(String.join(",", rates.stream().map(String::valueOf).toList()), valueBytes, seconds, seed);
        Files.writeString(
                folder.resolve(RESULTS),
                new GsonBuilder()
                                .setPrettyPrinting()
                                .disableHtmlEscaping()
                                .create()
                                .toJson(new Results(
                                        command, Runtime.getRuntime().availableProcessors(), points))
                        + System.lineSeparator());
        to.println("results: " + out.resolve(RESULTS));
        to.flush();
        return points.stream().allMatch(ThroughputPoint::loadKept) ? 0 : Cli.BROKEN;
    }

    private void check() {
        if (rates.stream().anyMatch(rate -> rate < 1 || rate > RATE_MOST)) {
            throw usage("--rates must lie between 1 and " + RATE_MOST);
        }
        if (valueBytes < 1 || valueBytes > VALUE_MOST) {
            throw usage("--value-bytes must lie between 1 and " + VALUE_MOST);
        }
        if (seconds < 1 || seconds > SECONDS_MOST) {
            throw usage("--seconds must lie between 1 and " + SECONDS_MOST);
        }
    }

    private CommandLine.ParameterException usage(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }
}
