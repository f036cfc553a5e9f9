package stagepier.lab.cli;

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
import picocli.CommandLine.Parameters;
import stagepier.lab.capacity.CapacityCharts;
import stagepier.lab.capacity.CapacityJson;
import stagepier.lab.capacity.CapacityMarkdown;
import stagepier.lab.capacity.CapacityReport;
import stagepier.lab.capacity.CapacityText;
import stagepier.lab.capacity.ResultsFile;
import stagepier.lab.capacity.ResultsReader;

/** Fits growth to the results of scale runs and sets it beside the budgets. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Fits growth to the figures of scale runs and tells where each passes its budget; exit code 1 "
                + "where a run among them calls itself invalid.")
final class CapacityCommand implements Callable<Integer> {
    private static final String FRAGMENT = "capacity.md";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "DIR|FILE",
            arity = "1..*",
            description = "results files, or folders with files whose names end with results.json")
    private List<Path> paths;

    @Option(
            names = "--routers",
            defaultValue = "" + CapacityReport.FLEET_ROUTERS,
            description = "size of the fleet that is asked about (${DEFAULT-VALUE})")
    private int routers;

    @Option(
            names = "--out",
            defaultValue = "results/capacity",
            description = "folder of the charts and of " + FRAGMENT + " (${DEFAULT-VALUE})")
    private Path out;

    @Option(
            names = "--page-folder",
            defaultValue = "docs",
            description = "folder of the page that takes the fragment; it names files from there (${DEFAULT-VALUE})")
    private Path pageFolder;

    @Option(names = "--json", description = "prints JSON in place of the table")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        if (routers < 1 || routers > 1_000_000) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--routers must lie between 1 and 1000000");
        }
        List<ResultsFile> files = new ArrayList<>();
        for (Path file : ResultsReader.find(paths)) {
            files.add(ResultsReader.read(file));
        }
        CapacityReport report = CapacityReport.of(files, routers);
        CapacityCharts.write(report, out);
        Files.writeString(out.resolve(FRAGMENT), new CapacityMarkdown(report, pageFolder).text());
        PrintWriter to = spec.commandLine().getOut();
        to.print(json ? CapacityJson.of(report) + System.lineSeparator() : CapacityText.of(report));
        to.flush();
        return report.invalid().isEmpty() ? 0 : Cli.BROKEN;
    }
}
