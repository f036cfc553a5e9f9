package stagepier.lab.report;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import stagepier.lab.check.Verdict;
import stagepier.lab.ledger.Violation;
import stagepier.lab.measure.Series;

/**
 * A run in figures, as {@code summary.json} keeps it. Times in milliseconds, shares as parts of one.
 *
 * @param service      worth served in time over worth asked for
 * @param promises     a verdict each, with the first counterexample's lines; null in a summary of before there were any
 * @param recoverySeconds until service is back at 95%; null where it does not come back
 */
public record Summary(
        String scenario,
        String about,
        long seed,
        boolean clean,
        boolean valid,
        List<String> breaches,
        long offered,
        Map<String, Long> fates,
        double service,
        double lowestService,
        Double recoverySeconds,
        double attempts,
        double worstAttempts,
        double p50,
        double p99,
        double p999,
        long fetches,
        Map<String, Long> fetchesByCause,
        double generatorLagP99,
        List<Double> readySeconds,
        List<Double> cpuSeconds,
        List<Double> residentMb,
        long nodeConnectionsOpened,
        long nodeConnectionsMost,
        long nodeTurnedAway,
        List<String> promises) {
    private static final Gson GSON = new GsonBuilder()
            .setPrettyPrinting()
            .serializeNulls()
            .serializeSpecialFloatingPointValues()
            .create();
    private static final int BREACHES_KEPT = 50;

    public static Summary of(RunResult r) {
        Map<String, Long> fates = new LinkedHashMap<>();
        for (Series.RequestOutcome fate : Series.RequestOutcome.values()) {
            fates.put(fate.name().toLowerCase(java.util.Locale.ROOT), r.series().total(fate));
        }
        Map<String, Long> causes = new LinkedHashMap<>();
        r.fetches().forEach((cause, n) -> causes.put(cause.name().toLowerCase(java.util.Locale.ROOT), n));
        double recovery = r.recovery();
        return new Summary(
                r.scenario().name(),
                r.scenario().about(),
                r.seed(),
                r.isClean(),
                r.valid(),
                Stream.concat(
                                r.verdicts().stream().filter(Verdict::isBroken).map(Verdict::toString),
                                r.breaches().stream().limit(BREACHES_KEPT).map(Violation::toString))
                        .toList(),
                r.series().offered(),
                fates,
                r.series().service(0, Integer.MAX_VALUE),
                r.lowestService(),
                Double.isNaN(recovery) ? null : recovery,
                (double) r.series().executions() / Math.max(1, r.series().offered()),
                r.worstAttempts(),
                ms(r, 50),
                ms(r, 99),
                ms(r, 99.9),
                causes.values().stream().mapToLong(n -> n).sum(),
                causes,
                r.lag().getValueAtPercentile(99) / 1e3,
                r.readySeconds(),
                r.cpuSeconds(),
                r.residentMb(),
                r.nodeTotals().get(0),
                r.nodeTotals().get(1),
                r.nodeTotals().get(2),
                r.verdicts().stream()
                        .flatMap(v -> Stream.concat(
                                Stream.of(v.toString()), v.lines().stream().map(l -> "    " + l)))
                        .toList());
    }

    private static double ms(RunResult r, double percentile) {
        return r.series().latency().getTotalCount() == 0
                ? 0
                : r.series().latency().getValueAtPercentile(percentile) / 1e3;
    }

    public String json() {
        return GSON.toJson(this);
    }

    /** @throws IOException where the folder holds no whole run */
    public static Summary read(Path folder) throws IOException {
        Path file = folder.resolve("summary.json");
        try {
            Summary s = GSON.fromJson(Files.readString(file), Summary.class);
            if (s == null || s.scenario() == null) {
                throw new IOException(file + ": not the summary of a run");
            }
            return s;
        } catch (com.google.gson.JsonParseException e) {
            throw new IOException(file + ": not the summary of a run: " + e.getMessage(), e);
        }
    }

    /** One line for a terminal. */
    public String line() {
        return "%-18s seed %-4d %-7s service %.3f  lowest second %.3f  back after %s  attempts %.2f (worst %.2f)  p50 %.1f  p99 %.1f  p99.9 %.1f ms"
                .formatted(
                        scenario,
                        seed,
                        !valid ? "INVALID" : clean ? "clean" : "BROKEN",
                        service,
                        lowestService,
                        recoverySeconds == null ? "never" : "%.1f s".formatted(recoverySeconds),
                        attempts,
                        worstAttempts,
                        p50,
                        p99,
                        p999);
    }
}
