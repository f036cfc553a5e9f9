package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import stagepier.lab.scale.Figure;

class GrowthChoiceTest {
    private static final double NOISE = 0.03;
    private static final int DRAWS = 200;

    /** Each model, with values of about the size that scale runs give. */
    private record Case(GrowthModel model, IntToDoubleFunction growth, double slope) {}

    private static final List<Case> CASES = List.of(
            new Case(GrowthModel.CONSTANT, n -> 26, 0),
            new Case(GrowthModel.LINEAR, n -> 90 + 203.0 * n, 203),
            new Case(GrowthModel.LOGARITHMIC, n -> 40 + 11 * Math.log(n), 11),
            new Case(GrowthModel.QUADRATIC, n -> 0.002 + 3e-5 * n + 2e-6 * n * n, 2e-6));

    @Test
    void knownGrowthIsFoundUnderNoise() {
        for (Case one : CASES) {
            int found = 0;
            int within = 0;
            for (int seed = 0; seed < DRAWS; seed++) {
                GrowthChoice choice = GrowthChoice.of(
                        SyntheticSamples.series(Figure.BYTES_IN, SyntheticSamples.SIZES, one.growth(), NOISE, seed));
                Fit fit = choice.chosen().orElseThrow();
                found += fit.model() == one.model() ? 1 : 0;
                within += fit.model() == one.model()
                                && (one.model() == GrowthModel.CONSTANT
                                        || Math.abs(fit.slope() - one.slope())
                                                <= 3
                                                        * fit.standardErrors()
                                                                .get(fit.standardErrors()
                                                                                .size()
                                                                        - 1))
                        ? 1
                        : 0;
            }
            assertTrue(found >= 0.9 * DRAWS, one.model() + " found " + found + " times of " + DRAWS);
            assertTrue(
                    within >= 0.95 * found,
                    one.model() + ": slope within three standard errors " + within + " of " + found);
        }
    }

    @Test
    void growthWithoutNoiseIsFoundToTheDigit() {
        for (Case one : CASES) {
            Fit fit = GrowthChoice.of(
                            SyntheticSamples.series(Figure.BYTES_IN, SyntheticSamples.SIZES, one.growth(), 0, 1))
                    .chosen()
                    .orElseThrow();
            assertEquals(one.model(), fit.model());
            assertEquals(one.slope(), fit.slope(), 1e-6 * Math.abs(one.slope()));
            assertEquals(one.growth().applyAsDouble(1900), fit.at(1900), 1e-6 * fit.at(1900));
        }
    }

    @Test
    void theErrorIsThatOfTheNoise() {
        Fit fit = GrowthChoice.of(
                        SyntheticSamples.series(Figure.BYTES_IN, SyntheticSamples.SIZES, n -> 90 + 203.0 * n, NOISE, 7))
                .chosen()
                .orElseThrow();
        assertEquals(NOISE, fit.relativeError(), 0.5 * NOISE);
        assertTrue(fit.rSquared() > 0.9 && fit.rSquared() <= 1, fit.toString());
        assertTrue(
                fit.formula("B/s").matches(".+ \\(\\+/- .+\\) \\+ .+ B/s \\(\\+/- .+ B/s\\) x N"), fit.formula("B/s"));
    }

    /** What is larger by itself must not drown the sizes at which a budget is passed. */
    @Test
    void smallSizesCountAsMuchAsLargeOnes() {
        IntToDoubleFunction growth = n -> 0.002 + 3e-5 * n + 2e-6 * n * n;
        for (int seed = 0; seed < DRAWS; seed++) {
            Fit fit = new Regression(
                            SyntheticSamples.series(Figure.PROCESSOR, SyntheticSamples.SIZES, growth, NOISE, seed))
                    .fit(GrowthModel.QUADRATIC);
            for (int routers : SyntheticSamples.SIZES) {
                assertEquals(
                        growth.applyAsDouble(routers),
                        fit.at(routers),
                        0.15 * growth.applyAsDouble(routers),
                        "seed " + seed);
            }
        }
    }

    @Test
    void whatIsNotPlayedIsExtrapolatedWithItsError() {
        FigureSeries series =
                SyntheticSamples.series(Figure.BYTES_IN, List.of(50, 100, 200, 400), n -> 90 + 203.0 * n, NOISE, 3);
        SizeEstimate at = CapacityRow.of(series, 1900).atTarget();
        assertFalse(at.isMeasured());
        assertEquals("extrapolated from 50, 100, 200, 400", at.basis());
        assertEquals(90 + 203.0 * 1900, at.value().orElseThrow(), 0.06 * 203 * 1900);
        assertTrue(at.low() < at.value().get() && at.value().get() < at.high(), at.toString());
        SizeEstimate played = CapacityRow.of(series, 400).atTarget();
        assertTrue(played.isMeasured());
        assertEquals("measured", played.basis());
        assertEquals(series.at(400).orElseThrow().median(), played.value().orElseThrow());
    }

    @Test
    void fewSizesChooseNoModel() {
        FigureSeries three = SyntheticSamples.series(Figure.BYTES_IN, List.of(50, 100, 200), n -> 203.0 * n, 0, 1);
        GrowthChoice choice = GrowthChoice.of(three);
        assertTrue(choice.chosen().isEmpty());
        assertEquals("no model can be chosen from 3 sizes and 9 values (4 and 6 are needed)", choice.why());
        CapacityRow row = CapacityRow.of(three, 1900);
        assertTrue(row.atTarget().value().isEmpty());
        assertTrue(row.partUsed().isEmpty());
        assertEquals(
                "no model (played: over at 50)", row.crossing().orElseThrow().text());
    }

    @Test
    void fourSizesOfOneSeedAreTooFewValuesToJudgeAllModels() {
        FigureSeries series = new FigureSeries(
                new Subject("PROCESS", "HEAP", "B"),
                List.of(
                        new Observation(1, 1, 1),
                        new Observation(2, 1, 2),
                        new Observation(3, 1, 3),
                        new Observation(4, 1, 4)));
        assertEquals(
                "no model can be chosen from 4 sizes and 4 values (4 and 6 are needed)",
                GrowthChoice.of(series).why());
    }

    @Test
    void nothingAtAllIsConstant() {
        Fit fit = GrowthChoice.of(SyntheticSamples.series(Figure.MESSAGES_IN, SyntheticSamples.SIZES, n -> 0, 0, 1))
                .chosen()
                .orElseThrow();
        assertEquals(GrowthModel.CONSTANT, fit.model());
        assertEquals(0, fit.at(1900));
    }

    /** A standard error that is rounding of the regression is printed as none. */
    @Test
    void numbersHaveThreeDigitsAndOurPrefixes() {
        assertEquals(
                List.of("26 (+/- 0)", "0.0000000200", "387 KB/s", "1.90 KB/s", "68.4 MB", "0", "-222 B/s", "38,745"),
                List.of(
                        GrowthChoice.of(SyntheticSamples.series(Figure.THREADS, SyntheticSamples.SIZES, n -> 26, 0, 1))
                                .chosen()
                                .orElseThrow()
                                .formula("count")
                                .replace("26.0", "26"),
                        NumberText.number(2e-8),
                        NumberText.of(386_833, "B/s"),
                        NumberText.of(1_900, "B/s"),
                        NumberText.of(68.4e6, "B"),
                        NumberText.of(3e-15, "count"),
                        NumberText.of(-222.4, "B/s"),
                        NumberText.number(38_745.2)));
    }

    /** Two models that explain the values about as well are both named. */
    @Test
    void whatCannotBeToldApartIsSaid() {
        FigureSeries noisy = SyntheticSamples.series(Figure.BYTES_IN, List.of(50, 60, 70, 80), n -> 100 + n, 0.1, 5);
        GrowthChoice choice = GrowthChoice.of(noisy);
        assertFalse(choice.alsoSupported().isEmpty(), choice.toString());
        assertTrue(CapacityText.growth(choice).contains("(or "), CapacityText.growth(choice));
    }

    @Test
    void medianAndSpreadAreOverSeeds() {
        FigureSeries series = new FigureSeries(
                new Subject("PROCESS", "HEAP", "B"),
                List.of(
                        new Observation(100, 1, 9),
                        new Observation(50, 1, 4),
                        new Observation(50, 2, 1),
                        new Observation(50, 3, 2)));
        assertEquals(List.of(new SizeStatistics(50, 3, 2, 1, 4), new SizeStatistics(100, 1, 9, 9, 9)), series.bySize());
    }
}
