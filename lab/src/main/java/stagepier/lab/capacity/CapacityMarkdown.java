package stagepier.lab.capacity;

import java.nio.file.Path;
import java.util.stream.Collectors;

/** A report as a fragment for the capacity page, with a mark at each number that a test can check. */
public final class CapacityMarkdown {
    private static final String NONE = "-";

    private final CapacityReport report;
    private final Path pageFolder;

    /** @param pageFolder the folder of the page; files are named from there */
    public CapacityMarkdown(CapacityReport report, Path pageFolder) {
        this.report = report;
        this.pageFolder = pageFolder.toAbsolutePath().normalize();
    }

    /** The table, the commands that gave it, and the notes. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(
                "| conversation and figure | growth | measured slope | measured or fitted at %s routers | how | budget "
                        .formatted(NumberText.number(report.target())));
        text.append("| part measured | passes it (measured) |\n");
        text.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        report.rows().forEach(row -> text.append(line(row)).append('\n'));
        text.append('\n');
        for (ResultsFile file : report.files()) {
            text.append("- `%s`: `%s`, %d cores%n".formatted(named(file.name()), file.command(), file.cores()));
        }
        CapacityText.notes(report)
                .forEach(note -> text.append("- ").append(note).append('\n'));
        for (ResultsFile file : report.files()) {
            file.invalid().forEach(why -> text.append("- `%s`: not valid: %s%n".formatted(named(file.name()), why)));
        }
        return text.toString();
    }

    private String line(CapacityRow row) {
        Subject subject = row.series().subject();
        SizeEstimate at = row.atTarget();
        MarkKind kind = at.isMeasured() ? MarkKind.FIGURE : MarkKind.FIT;
        return "| `%s` | %s | %s | %s | %s | %s | %s | %s |"
                .formatted(
                        subject,
                        CapacityText.growth(row.choice()) + mark(MarkKind.GROWTH, subject),
                        row.choice().chosen().map(fit -> slope(fit, subject)).orElse(NONE),
                        at.value()
                                .map(v -> NumberText.of(v, subject.unit()) + mark(kind, subject))
                                .orElse("not measured"),
                        at.basis(),
                        row.budget().map(ControlBudget::text).orElse(NONE),
                        row.partUsed()
                                .map(part -> CapacityText.used(row) + mark(MarkKind.USED, subject))
                                .orElse(NONE),
                        row.crossing()
                                .map(crossing -> crossing.fitted() + mark(MarkKind.PASSES, subject))
                                .orElse(NONE));
    }

    private String slope(Fit fit, Subject subject) {
        return fit.model() == GrowthModel.CONSTANT
                ? MarkKind.NO_SLOPE + mark(MarkKind.SLOPE, subject)
                : NumberText.of(fit.slope(), subject.unit()) + mark(MarkKind.SLOPE, subject) + " x " + fit.slopeTerm();
    }

    private String mark(MarkKind kind, Subject subject) {
        String names = report.filesOf(subject).stream().map(this::named).collect(Collectors.joining(","));
        return " <!-- %s: %s %s%s -->"
                .formatted(kind.word(), names, subject, kind.hasSize() ? " " + report.target() : "");
    }

    private String named(String file) {
        return pageFolder.relativize(Path.of(file).toAbsolutePath().normalize()).toString();
    }
}
