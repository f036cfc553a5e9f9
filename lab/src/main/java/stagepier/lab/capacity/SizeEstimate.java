package stagepier.lab.capacity;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A figure at one size: measured where that size was played, else read off the fit.
 *
 * @param value empty where the size was not played and no model could be chosen
 * @param low   lowest of the seeds, or the value less its standard error
 * @param high  highest of the seeds, or the value and its standard error
 * @param basis how the value was come by, in words
 */
public record SizeEstimate(
        int routers, Optional<Double> value, double low, double high, boolean isMeasured, String basis) {
    static SizeEstimate of(FigureSeries series, GrowthChoice choice, int routers) {
        Optional<SizeStatistics> played = series.at(routers);
        if (played.isPresent()) {
            SizeStatistics size = played.get();
            return new SizeEstimate(
                    routers, Optional.of(size.median()), size.lowest(), size.highest(), true, "measured");
        }
        if (choice.chosen().isEmpty()) {
            return new SizeEstimate(routers, Optional.empty(), 0, 0, false, choice.why());
        }
        double value = choice.chosen().get().at(routers);
        double error = choice.chosen().get().errorAt(routers);
        return new SizeEstimate(routers, Optional.of(value), value - error, value + error, false, from(series.sizes()));
    }

    private static String from(List<Integer> sizes) {
        return "extrapolated from " + sizes.stream().map(NumberText::number).collect(Collectors.joining(", "));
    }
}
