package stagepier.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import stagepier.lab.scale.ScaleResults;

/** What becomes of the results of a measurement: the same options for each command that gives some. */
final class ResultsOptions {
    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec command;

    @Option(names = "--out", defaultValue = "results/scale", description = "folder of the results (${DEFAULT-VALUE})")
    private Path out;

    @Option(names = "--add", description = "keeps what the results there hold of other sizes and seeds")
    private boolean add;

    @Option(names = "--json", description = "prints the results as JSON")
    private boolean json;

    Path folder() {
        return out;
    }

    /** Whether the results are printed as JSON, and no table is. */
    boolean isJson() {
        return json;
    }

    /** The results that a file of that name holds and that are to be added to, or null. */
    ScaleResults earlier(String file) throws IOException {
        Path path = out.resolve(file);
        return add && Files.exists(path) ? ScaleResults.read(path) : null;
    }

    /** Writes results, beside earlier ones where they are to be kept, and says where they are. */
    void write(String file, ScaleResults results) throws IOException {
        ScaleResults earlier = earlier(file);
        ScaleResults all = earlier == null ? results : earlier.with(results);
        all.write(out.resolve(file));
        announce(file, results);
    }

    /** Prints results that are written already, or where they are. */
    void announce(String file, ScaleResults results) {
        PrintWriter to = command.commandLine().getOut();
        to.println(json ? results.toJson() : "results: " + out.resolve(file));
        to.flush();
    }

    /** The command as it was typed. */
    String typed() {
        return "bin/stagepier "
                + String.join(" ", command.commandLine().getParseResult().originalArgs());
    }
}
