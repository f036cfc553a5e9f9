package stagepier.lab.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Two sets of runs side by side, with an interval for each difference from a bootstrap over seeds. */
public final class Comparison {
    private static final int RESAMPLES = 5000;
    private static final double TAIL = 0.025;

    /** One figure: both means, the difference, and the 95% interval of that. */
    public record Row(String figure, double first, double second, double difference, double low, double high) {
        /** Whether the interval leaves no doubt that there is a difference. */
        public boolean isDecided() {
            return low > 0 || high < 0;
        }
    }

    private Comparison() {}

    /** Pairs runs by seed where both sets have the same seeds; otherwise each set is drawn from for itself. */
    public static List<Row> of(List<Summary> first, List<Summary> second) {
        List<Row> rows = new ArrayList<>();
        rows.add(row("service", first, second, Summary::service));
        rows.add(row("lowest second of service", first, second, Summary::lowestService));
        rows.add(row("attempts a request", first, second, Summary::attempts));
        rows.add(row("p50 ms", first, second, Summary::p50));
        rows.add(row("p99 ms", first, second, Summary::p99));
        rows.add(row("p99.9 ms", first, second, Summary::p999));
        rows.add(row("origin fetches", first, second, s -> s.fetches()));
        rows.add(row(
                "CPU seconds of all routers",
                first,
                second,
                s -> s.cpuSeconds().stream().mapToDouble(d -> d).sum()));
        return rows;
    }

    private static Row row(String figure, List<Summary> first, List<Summary> second, ToDoubleFunction<Summary> value) {
        double[] a = first.stream().mapToDouble(value).toArray();
        double[] b = second.stream().mapToDouble(value).toArray();
        boolean paired = first.stream()
                .map(Summary::seed)
                .toList()
                .equals(second.stream().map(Summary::seed).toList());
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1L);
        double[] differences = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            if (paired) {
                for (int k = 0; k < a.length; k++) {
                    int j = random.nextInt(a.length);
                    sum += (b[j] - a[j]) / a.length;
                }
            } else {
                sum = drawn(b, random) - drawn(a, random);
            }
            differences[i] = sum;
        }
        Arrays.sort(differences);
        double meanA = Arrays.stream(a).average().orElse(Double.NaN);
        double meanB = Arrays.stream(b).average().orElse(Double.NaN);
        return new Row(
                figure,
                meanA,
                meanB,
                meanB - meanA,
                differences[(int) (TAIL * RESAMPLES)],
                differences[(int) ((1 - TAIL) * RESAMPLES) - 1]);
    }

    private static double drawn(double[] of, UniformRandomProvider random) {
        double sum = 0;
        for (int k = 0; k < of.length; k++) {
            sum += of[random.nextInt(of.length)] / of.length;
        }
        return sum;
    }
}
