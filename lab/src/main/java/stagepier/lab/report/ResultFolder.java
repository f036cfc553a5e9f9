package stagepier.lab.report;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.HdrHistogram.HistogramLogWriter;
import stagepier.lab.measure.Series;

/**
 * The folder of one run. It is made under another name and gets its own only when it is whole, so that a run that was
 * killed leaves nothing that looks like a result.
 */
public final class ResultFolder implements AutoCloseable {
    private final Path target;
    private final Path partial;
    private boolean whole;

    public ResultFolder(Path target) throws IOException {
        this.target = target;
        partial = target.resolveSibling(target.getFileName() + ".partial");
        delete(partial);
        Files.createDirectories(partial);
    }

    /** Where logs and the like go while the run goes on. */
    public Path path() {
        return partial;
    }

    /** Writes all of a result and gives the folder its name. */
    public Summary finish(RunResult r) throws IOException {
        Summary summary = Summary.of(r);
        Files.writeString(partial.resolve("seconds.csv"), csv(r.series()));
        histogram(r);
        List<String> charts = Charts.write(r, partial);
        Files.writeString(partial.resolve("report.html"), Page.html(r, summary, charts));
        Files.writeString(partial.resolve("summary.json"), summary.json());
        delete(target);
        Files.move(partial, target, StandardCopyOption.ATOMIC_MOVE);
        whole = true;
        return summary;
    }

    private static String csv(Series series) {
        StringBuilder b = new StringBuilder("second,offered,in_time,late,refused,failed,unanswered,service,attempts,"
                + "fetches,held,p50_ms,p99_ms,p999_ms\n");
        for (int i = 0; i < series.seconds().size(); i++) {
            Series.Second s = series.seconds().get(i);
            b.append(i).append(',').append(s.offered());
            for (Series.RequestOutcome fate : Series.RequestOutcome.values()) {
                b.append(',').append(s.of(fate));
            }
            b.append(String.format(
                    Locale.ROOT,
                    ",%.4f,%.3f,%d,%d,%.2f,%.2f,%.2f%n",
                    s.service(),
                    s.attempts(),
                    s.fetches(),
                    s.held(),
                    s.latencyAt(50) / 1e3,
                    s.latencyAt(99) / 1e3,
                    s.latencyAt(99.9) / 1e3));
        }
        return b.toString();
    }

    private void histogram(RunResult r) throws IOException {
        try (PrintStream out = new PrintStream(
                new FileOutputStream(partial.resolve("latency.hlog").toFile()), false, StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(out);
            writer.outputLogFormatVersion();
            writer.outputComment("microseconds from the planned time of sending; scenario "
                    + r.scenario().name() + ", seed " + r.seed());
            writer.outputLegend();
            writer.outputIntervalHistogram(
                    0, r.scenario().demand().seconds(), r.series().latency(), 1000);
        }
    }

    private static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (!whole) {
            delete(partial);
        }
    }
}
