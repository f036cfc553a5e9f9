package stagepier.lab.capacity;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Which model a series follows.
 *
 * @param chosen  empty where none can be chosen
 * @param tried   all models with their fits, the best first
 * @param why     why none was chosen; empty where one was
 */
public record GrowthChoice(Optional<Fit> chosen, List<Fit> tried, String why) {
    /** Sizes below which no model can be chosen. */
    public static final int SIZES_LEAST = 4;
    /** Values that the criterion needs for the model with most coefficients. */
    public static final int VALUES_LEAST = GrowthModel.QUADRATIC.coefficients() + 3;
    /**
     * Models whose criterion is less than this above the least have substantial support (Burnham and Anderson, Model
     * selection and multimodel inference, 2002, section 2.6); the one with the fewest coefficients among them is taken.
     */
    public static final double SUPPORTED_WITHIN = 2;

    /** Fits all models and chooses by residual, with the criterion's penalty for each further coefficient. */
    public static GrowthChoice of(FigureSeries series) {
        int sizes = series.sizes().size();
        int values = series.observations().size();
        if (sizes < SIZES_LEAST || values < VALUES_LEAST) {
            String why = "no model can be chosen from %d sizes and %d values (%d and %d are needed)";
            return new GrowthChoice(
                    Optional.empty(), List.of(), why.formatted(sizes, values, SIZES_LEAST, VALUES_LEAST));
        }
        Regression regression = new Regression(series);
        List<Fit> tried = Arrays.stream(GrowthModel.values())
                .map(regression::fit)
                .sorted(Comparator.comparingDouble(Fit::criterion))
                .toList();
        Fit chosen = supported(tried).stream()
                .min(Comparator.comparingInt(fit -> fit.model().coefficients()))
                .orElseThrow();
        return new GrowthChoice(Optional.of(chosen), tried, "");
    }

    /** Models that the values speak for about as well as for the chosen one, without that. */
    public List<GrowthModel> alsoSupported() {
        return supported(tried).stream()
                .map(Fit::model)
                .filter(m -> chosen.isEmpty() || m != chosen.get().model())
                .toList();
    }

    private static List<Fit> supported(List<Fit> tried) {
        return tried.stream()
                .filter(fit -> fit.criterion() - tried.get(0).criterion() < SUPPORTED_WITHIN)
                .toList();
    }
}
