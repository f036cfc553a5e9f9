package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A report as a table for a terminal. */
public final class CapacityText {
    private static final List<String> HEADER = List.of(
            "conversation and figure",
            "growth",
            "fit (standard error)",
            "residual",
            "R^2",
            "at the fleet's size",
            "budget",
            "used",
            "passes it");
    private static final String NONE = "-";

    private CapacityText() {}

    /** The table, then what the reader has to know beside it. */
    public static String of(CapacityReport report) {
        List<List<String>> lines = new ArrayList<>(List.of(HEADER));
        report.rows().forEach(row -> lines.add(cells(row)));
        StringBuilder text = new StringBuilder();
        for (List<String> line : lines) {
            for (int i = 0; i < line.size(); i++) {
                int column = i;
                int width = lines.stream()
                        .mapToInt(l -> l.get(column).length())
                        .max()
                        .orElse(0);
                text.append(i == line.size() - 1 ? line.get(i) : String.format("%-" + width + "s  ", line.get(i)));
            }
            text.append(System.lineSeparator());
        }
        Stream.concat(notes(report).stream(), report.invalid().stream())
                .forEach(note -> text.append(note).append(System.lineSeparator()));
        return text.toString();
    }

    private static List<String> cells(CapacityRow row) {
        String unit = row.series().subject().unit();
        Optional<Fit> fit = row.choice().chosen();
        return List.of(
                row.series().subject().toString(),
                growth(row.choice()),
                fit.map(f -> f.formula(unit)).orElse(row.choice().why()),
                fit.map(f -> NumberText.number(100 * f.relativeError()) + "%").orElse(NONE),
                fit.map(f -> NumberText.number(f.rSquared())).orElse(NONE),
                estimate(row.atTarget(), unit),
                row.budget().map(ControlBudget::text).orElse(NONE),
                used(row),
                row.crossing().map(Crossing::text).orElse(NONE));
    }

    /** The chosen model, and those that the values speak for as well. */
    static String growth(GrowthChoice choice) {
        String also = choice.alsoSupported().stream().map(GrowthModel::word).collect(Collectors.joining(", "));
        return choice.chosen().map(fit -> fit.model().word()).orElse(NONE)
                + (also.isEmpty() ? "" : " (or " + also + ")");
    }

    /** A value with its spread and how it was come by. */
    static String estimate(SizeEstimate estimate, String unit) {
        return estimate.value()
                .map(value -> "%s (%s to %s), %s"
                        .formatted(
                                NumberText.of(value, unit),
                                NumberText.of(estimate.low(), unit),
                                NumberText.of(estimate.high(), unit),
                                estimate.basis()))
                .orElse("not measured");
    }

    static String used(CapacityRow row) {
        return row.partUsed().map(part -> NumberText.number(100 * part) + "%").orElse(NONE);
    }

    /** How to read the table. */
    static List<String> notes(CapacityReport report) {
        List<String> notes = new ArrayList<>();
        notes.add("fleet: " + NumberText.number(report.target())
                + " routers; N: routers; spread: lowest and highest seed "
                + "where measured, one standard error where extrapolated");
        notes.add("growth: the model with the fewest coefficients within "
                + NumberText.number(GrowthChoice.SUPPORTED_WITHIN)
                + " of the least AICc (Hurvich and Tsai 1989; Burnham and Anderson 2002); residuals are relative");
        if (report.row(Subject.CONTROL_BYTES.conversation(), Subject.CONTROL_BYTES.figure())
                .isPresent()) {
            notes.add(Subject.CONTROL_BYTES.conversation() + " adds up "
                    + report.totalled().stream().map(Enum::name).collect(Collectors.joining(", ")));
        }
        return notes;
    }
}
