package stagepier.lab.capacity;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;

/** A report as JSON, for other programs. */
public final class CapacityJson {
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    private record Source(String file, String command, int cores, List<String> invalid) {}

    private record Term(double coefficient, double standardError) {}

    private record Growth(
            String model,
            List<Term> terms,
            double relativeError,
            double rSquared,
            List<String> alsoSupported,
            List<Tried> tried) {}

    private record Tried(String model, double aicc) {}

    private record Estimate(int routers, Double value, double low, double high, String basis) {}

    private record Passed(String kind, Integer routers, Integer largestWithin, Integer smallestOver) {}

    private record Row(
            String conversation,
            String figure,
            String unit,
            List<SizeStatistics> sizes,
            Growth growth,
            String noGrowthBecause,
            Estimate atFleet,
            String budget,
            Double limit,
            Double partUsed,
            Passed passed) {}

    private record Whole(List<Source> files, int routers, List<Row> figures) {}

    private CapacityJson() {}

    public static String of(CapacityReport report) {
        return GSON.toJson(new Whole(
                report.files().stream()
                        .map(f -> new Source(f.name(), f.command(), f.cores(), f.invalid()))
                        .toList(),
                report.target(),
                report.rows().stream().map(CapacityJson::row).toList()));
    }

    /** Keys are left out where there is nothing to be told. */
    private static Row row(CapacityRow row) {
        Subject subject = row.series().subject();
        SizeEstimate at = row.atTarget();
        return new Row(
                subject.conversation(),
                subject.figure(),
                subject.unit(),
                row.series().bySize(),
                row.choice().chosen().map(fit -> growth(fit, row.choice())).orElse(null),
                row.choice().why().isEmpty() ? null : row.choice().why(),
                at.value()
                        .map(v -> new Estimate(at.routers(), v, at.low(), at.high(), at.basis()))
                        .orElse(null),
                row.budget().map(Enum::name).orElse(null),
                row.budget()
                        .filter(b -> !b.isNoGrowth())
                        .map(ControlBudget::limit)
                        .orElse(null),
                row.partUsed().orElse(null),
                row.crossing().map(CapacityJson::passed).orElse(null));
    }

    private static Growth growth(Fit fit, GrowthChoice choice) {
        List<Term> terms = java.util.stream.IntStream.range(
                        0, fit.coefficients().size())
                .mapToObj(i ->
                        new Term(fit.coefficients().get(i), fit.standardErrors().get(i)))
                .toList();
        return new Growth(
                fit.model().name(),
                terms,
                fit.relativeError(),
                fit.rSquared(),
                choice.alsoSupported().stream().map(Enum::name).toList(),
                choice.tried().stream()
                        .map(t -> new Tried(t.model().name(), t.criterion()))
                        .toList());
    }

    private static Passed passed(Crossing crossing) {
        return new Passed(
                crossing.kind().name(),
                crossing.kind() == Crossing.Kind.AT ? crossing.routers() : null,
                crossing.largestWithin().orElse(null),
                crossing.smallestOver().orElse(null));
    }
}
