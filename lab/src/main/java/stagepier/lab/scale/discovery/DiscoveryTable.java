package stagepier.lab.scale.discovery;

import java.io.PrintWriter;
import java.util.List;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

/** A line for each run, for people. */
public final class DiscoveryTable {
    private static final int WIDTH = 9;

    /** A column: a figure, of one router where it is divided by their number. */
    private record Column(String title, Figure figure, boolean each, double unit) {}

    private static final List<Column> COLUMNS = List.of(
            new Column("in B/s", Figure.BYTES_IN, false, 1),
            new Column("out B/s", Figure.BYTES_OUT, false, 1),
            new Column("calls/s", Figure.MESSAGES_OUT, false, 1),
            new Column("failed/s", Figure.CALM_FAILURES, false, 1),
            new Column("change B", Figure.CHANGE_BYTES, true, 1),
            new Column("change ms", Figure.CHANGE_IN_FORCE, false, 1e3),
            new Column("outage/s", Figure.OUTAGE_CONNECTIONS, false, 1),
            new Column("return B", Figure.RETURN_BYTES, true, 1),
            new Column("ms", Figure.RETURN_IN_FORCE, false, 1e3),
            new Column("calls", Figure.RETURN_CALLS, true, 1),
            new Column("connect", Figure.RETURN_CONNECTIONS, true, 1),
            new Column("without", Figure.RETURN_NOT_CURRENT, false, 1),
            new Column("whole B", Figure.RETURN_WHOLE_BYTES, true, 1),
            new Column("ms", Figure.RETURN_WHOLE_IN_FORCE, false, 1e3),
            new Column("calls", Figure.RETURN_WHOLE_CALLS, true, 1),
            new Column("connect", Figure.RETURN_WHOLE_CONNECTIONS, true, 1),
            new Column("without", Figure.RETURN_WHOLE_NOT_CURRENT, false, 1));

    private final PrintWriter to;

    public DiscoveryTable(PrintWriter to) {
        this.to = to;
    }

    /** What the columns are; all are of one router, but for times, which are of the last one. */
    public void head() {
        StringBuilder line = new StringBuilder("watches seed");
        COLUMNS.forEach(c -> line.append(padded(c.title())));
        to.println(line);
        to.flush();
    }

    /** A run. */
    public void row(DiscoverySetting setting, DiscoveryRun.Outcome outcome) {
        StringBuilder line = new StringBuilder("%7d %4d".formatted(setting.watches(), setting.seed()));
        for (Column column : COLUMNS) {
            line.append(padded(outcome.samples().stream()
                    .filter(s -> s.figure() == column.figure())
                    .findFirst()
                    .map(s -> text(column, s))
                    .orElse("-")));
        }
        to.println(line);
        outcome.invalid().forEach(why -> to.println("  not valid: " + why));
        to.flush();
    }

    private static String text(Column column, Sample sample) {
        double value = sample.value() * column.unit() / (column.each() ? sample.routers() : 1);
        return value >= 100 || value == Math.rint(value) ? "%.0f".formatted(value) : "%.2f".formatted(value);
    }

    private static String padded(String text) {
        return " ".repeat(Math.max(1, WIDTH - text.length())) + text;
    }
}
