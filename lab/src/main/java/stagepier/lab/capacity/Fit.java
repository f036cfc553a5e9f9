package stagepier.lab.capacity;

import java.util.List;

/**
 * A model fitted to a series.
 *
 * @param coefficients   of the model's terms, in their order
 * @param standardErrors of the coefficients
 * @param covariance     of the coefficients, by rows
 * @param relativeError  standard error of the residuals, as a part of the value
 * @param rSquared       part of the variation around a constant that the model explains; 0 where there is none
 * @param criterion      corrected information criterion of Akaike; the least is best
 */
public record Fit(
        GrowthModel model,
        List<Double> coefficients,
        List<Double> standardErrors,
        List<List<Double>> covariance,
        double relativeError,
        double rSquared,
        double criterion) {
    /** The fitted value at a size. */
    public double at(double routers) {
        double[] terms = model.terms(routers);
        double sum = 0;
        for (int i = 0; i < terms.length; i++) {
            sum += coefficients.get(i) * terms[i];
        }
        return sum;
    }

    /** Standard error of the fitted value at a size, as far as it comes from the coefficients. */
    public double errorAt(double routers) {
        double[] terms = model.terms(routers);
        double variance = 0;
        for (int i = 0; i < terms.length; i++) {
            for (int j = 0; j < terms.length; j++) {
                variance += terms[i] * covariance.get(i).get(j) * terms[j];
            }
        }
        return Math.sqrt(Math.max(0, variance));
    }

    /** The coefficient of the term that grows fastest; 0 where nothing grows. */
    public double slope() {
        return model == GrowthModel.CONSTANT ? 0 : coefficients.get(coefficients.size() - 1);
    }

    /** What a slope is counted by, as N or ln N; empty where nothing grows. */
    public String slopeTerm() {
        return model == GrowthModel.CONSTANT ? "" : model.termName(coefficients.size() - 1);
    }

    /** The formula with the standard error of each coefficient. */
    public String formula(String unit) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < coefficients.size(); i++) {
            text.append(i == 0 ? "" : " + ")
                    .append(NumberText.of(coefficients.get(i), unit))
                    .append(" (+/- ")
                    .append(NumberText.of(standardErrors.get(i), unit))
                    .append(')')
                    .append(i == 0 ? "" : " x " + model.termName(i));
        }
        return text.toString();
    }
}
