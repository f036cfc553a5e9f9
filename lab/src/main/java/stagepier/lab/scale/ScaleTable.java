package stagepier.lab.scale;

import java.io.PrintWriter;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Results of scale runs as a table for people: a line for each size and seed. */
public final class ScaleTable {
    private static final String NONE = "-";
    private static final double MEGABYTE = 1 << 20;

    /** A column: what it shows, and how. */
    private record Column(
            String head, int width, Conversation conversation, Figure figure, double unit, String format) {}

    private static final List<Column> COLUMNS = List.of(
            new Column("in B/s", 10, Conversation.LOAD_REPORTS, Figure.BYTES_IN, 1, "%.0f"),
            new Column("in 1/s", 8, Conversation.LOAD_REPORTS, Figure.MESSAGES_IN, 1, "%.1f"),
            new Column("out B/s", 8, Conversation.LOAD_REPORTS, Figure.BYTES_OUT, 1, "%.0f"),
            new Column("out 1/s", 8, Conversation.LOAD_REPORTS, Figure.MESSAGES_OUT, 1, "%.2f"),
            new Column("list B/s", 9, Conversation.DISCOVERY, Figure.BYTES_IN, 1, "%.0f"),
            new Column("change s", 9, Conversation.DISCOVERY, Figure.CHANGE_IN_FORCE_AT_PROCESSES, 1, "%.3f"),
            new Column("control cores", 13, Conversation.CONTROL_PROCESS, Figure.PROCESSOR, 1, "%.4f"),
            new Column("descriptors", 12, Conversation.CONTROL_PROCESS, Figure.DESCRIPTORS, 1, "%.0f"),
            new Column("loaded cores", 12, Conversation.PROCESS, Figure.PROCESSOR, 1, "%.3f"),
            new Column("heap MB", 8, Conversation.PROCESS, Figure.HEAP, MEGABYTE, "%.1f"),
            new Column("resident MB", 12, Conversation.PROCESS, Figure.RESIDENT, MEGABYTE, "%.1f"),
            new Column("threads", 8, Conversation.PROCESS, Figure.THREADS, 1, "%.0f"),
            new Column("descriptors", 12, Conversation.PROCESS, Figure.DESCRIPTORS, 1, "%.0f"));

    private final PrintWriter to;

    public ScaleTable(PrintWriter to) {
        this.to = to;
    }

    /** The line above all others. */
    public void head() {
        to.println("%8s %6s ".formatted("routers", "seed")
                + COLUMNS.stream().map(c -> padded(c.head(), c.width())).collect(Collectors.joining(" ")));
        to.flush();
    }

    /** The lines of some runs, and below them what was not valid. */
    public void rows(ScaleResults results) {
        results.samples().stream()
                .map(s -> List.of((long) s.routers(), s.seed()))
                .distinct()
                .forEach(run -> row(results, run.get(0).intValue(), run.get(1)));
        results.invalid().forEach(line -> to.println("NOT VALID: " + line));
        to.flush();
    }

    private void row(ScaleResults results, int routers, long seed) {
        to.println("%8d %6d ".formatted(routers, seed)
                + COLUMNS.stream()
                        .map(c -> padded(cell(results, routers, seed, c), c.width()))
                        .collect(Collectors.joining(" ")));
    }

    private static String cell(ScaleResults results, int routers, long seed, Column column) {
        Optional<Sample> found = results.samples().stream()
                .filter(s -> s.routers() == routers
                        && s.seed() == seed
                        && s.conversation() == column.conversation()
                        && s.figure() == column.figure())
                .findFirst();
        return found.map(s -> column.format().formatted(s.value() / column.unit()))
                .orElse(NONE);
    }

    private static String padded(String text, int width) {
        return " ".repeat(Math.max(0, width - text.length())) + text;
    }
}
