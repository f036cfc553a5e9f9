package stagepier.lab.report;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import stagepier.lab.check.Verdict;
import stagepier.lab.ledger.Violation;
import stagepier.lab.measure.Series;
import stagepier.lab.model.OriginModel;
import stagepier.lab.scenario.Scenario;

/**
 * What one run of a scenario came to.
 *
 * @param breaches       broken rules
 * @param valid          whether the load was sent as planned
 * @param lag            microseconds by which the generator was late
 * @param readySeconds   how long each router took to be ready
 * @param cpuSeconds     processor seconds of each router during the load
 * @param residentMb     resident memory of each router at the end
 * @param counters       each router's own counters at the end; the verdict uses none of them
 * @param nodeTotals     connections opened, most at one node, requests turned away
 * @param fetches        fetches by cause
 * @param verdicts       on what a fleet that decides together promises; empty where it does not
 */
public record RunResult(
        Scenario scenario,
        long seed,
        Series series,
        List<Violation> breaches,
        boolean valid,
        Histogram lag,
        List<Double> readySeconds,
        List<Double> cpuSeconds,
        List<Double> residentMb,
        List<Map<String, Long>> counters,
        List<Long> nodeTotals,
        Map<OriginModel.Cause, Long> fetches,
        List<Verdict> verdicts) {
    public boolean isClean() {
        return breaches.isEmpty() && valid && verdicts.stream().noneMatch(Verdict::isBroken);
    }

    /** The lowest second of service between the first full second and the last. */
    public double lowestService() {
        double lowest = 1;
        int until = Math.min(series.seconds().size(), (int) scenario.demand().seconds());
        for (int i = 1; i < until; i++) {
            lowest = Math.min(lowest, series.service(i, i + 1));
        }
        return lowest;
    }

    /** Attempts for each request in the worst second. */
    public double worstAttempts() {
        return series.seconds().stream()
                .filter(s -> s.offered() >= 20)
                .mapToDouble(Series.Second::attempts)
                .max()
                .orElse(0);
    }

    /**
     * Seconds from the first fault, or from the end of the last one between processes where there is no other, until service is back at 95% of what it was before, for three seconds on end; 0
     * where it never fell below, NaN where it does not come back.
     */
    public double recovery() {
        double at = scenario.faults().stream()
                .mapToDouble(f -> f.at())
                .min()
                .orElse(scenario.linkFaults().stream()
                        .mapToDouble(f -> f.until())
                        .max()
                        .orElse(Double.NaN));
        if (Double.isNaN(at)) {
            return 0;
        }
        int from = (int) at;
        int until = Math.min(series.seconds().size(), (int) scenario.demand().seconds());
        double usual = 0.95 * series.service(1, Math.max(2, from));
        int lastBad = -1;
        for (int i = from; i < until; i++) {
            if (series.service(i, i + 1) < usual) {
                lastBad = i;
            }
        }
        if (lastBad < 0) {
            return 0;
        }
        return lastBad + 3 >= until ? Double.NaN : lastBad + 1 - at;
    }
}
