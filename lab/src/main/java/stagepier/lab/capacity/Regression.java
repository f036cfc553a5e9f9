package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/**
 * Fits one model to a series by least squares (Apache Commons Math). Each residual counts relative to the median of its
 * size: what is measured differs from run to run by a part of its value, and a fit by absolute residuals would follow
 * the largest size alone and miss the sizes at which budgets are passed.
 */
final class Regression {
    /** Medians below this part of the largest one count as this part. Guards against a division by nothing. */
    private static final double LEAST_SCALE = 1e-3;
    /** Relative residuals below this are not told apart: no run measures better. */
    private static final double RESOLUTION = 1e-4;

    private final List<Observation> observations;
    /** The largest median: all is fitted as a part of it, so that the numbers of the regression are of one size. */
    private final double largest;
    /** Of each observation: the median of its size as a part of the largest. */
    private final double[] scales;

    Regression(FigureSeries series) {
        observations = series.observations();
        Map<Integer, Double> medians = series.bySize().stream()
                .collect(Collectors.toMap(SizeStatistics::routers, size -> Math.abs(size.median())));
        double most = Collections.max(medians.values());
        largest = most == 0 ? 1 : most;
        scales = observations.stream()
                .mapToDouble(o -> Math.max(LEAST_SCALE, medians.get(o.routers()) / largest))
                .toArray();
    }

    Fit fit(GrowthModel model) {
        OLSMultipleLinearRegression regression = regression(model);
        double residuals = regression.calculateResidualSumOfSquares();
        double variation = regression(GrowthModel.CONSTANT).calculateResidualSumOfSquares();
        double variance = residuals / (observations.size() - model.coefficients());
        double[][] unscaled = regression.estimateRegressionParametersVariance();
        List<List<Double>> covariance = new ArrayList<>();
        for (double[] row : unscaled) {
            covariance.add(Arrays.stream(row)
                    .map(v -> v * variance * largest * largest)
                    .boxed()
                    .toList());
        }
        return new Fit(
                model,
                scaled(regression.estimateRegressionParameters()),
                scaled(regression.estimateRegressionParametersStandardErrors()),
                covariance,
                Math.sqrt(variance),
                variation == 0 ? 0 : 1 - residuals / variation,
                criterion(model, residuals));
    }

    /**
     * Akaike's criterion with the correction for few values (Hurvich and Tsai, Regression and time series model
     * selection in small samples, Biometrika 76, 1989). The variance counts as a parameter.
     */
    private double criterion(GrowthModel model, double residuals) {
        int values = observations.size();
        int parameters = model.coefficients() + 1;
        double mean = Math.max(residuals / values, RESOLUTION * RESOLUTION);
        return values * Math.log(mean)
                + 2.0 * parameters
                + 2.0 * parameters * (parameters + 1) / (values - parameters - 1);
    }

    private OLSMultipleLinearRegression regression(GrowthModel model) {
        int values = observations.size();
        double[] y = new double[values];
        double[][] x = new double[values][];
        for (int i = 0; i < values; i++) {
            double scale = scales[i];
            y[i] = observations.get(i).value() / largest / scale;
            x[i] = Arrays.stream(model.terms(observations.get(i).routers()))
                    .map(term -> term / scale)
                    .toArray();
        }
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        // The constant term is among the scaled ones.
        regression.setNoIntercept(true);
        regression.newSampleData(y, x);
        return regression;
    }

    private List<Double> scaled(double[] values) {
        return Arrays.stream(values).map(v -> v * largest).boxed().toList();
    }
}
