package stagepier.lab.capacity;

import java.util.Optional;

/** All that is told of one series: its growth, its value at the size that matters, and its budget where it has one. */
public record CapacityRow(
        FigureSeries series,
        GrowthChoice choice,
        SizeEstimate atTarget,
        Optional<ControlBudget> budget,
        Optional<Crossing> crossing) {
    static CapacityRow of(FigureSeries series, int target) {
        GrowthChoice choice = GrowthChoice.of(series);
        Optional<ControlBudget> budget = ControlBudget.of(series.subject());
        return new CapacityRow(
                series,
                choice,
                SizeEstimate.of(series, choice, target),
                budget,
                budget.map(b -> Crossing.of(series, choice, b)));
    }

    /** Part of the budget that is used at the size that matters; empty where there is no such number. */
    public Optional<Double> partUsed() {
        return budget.filter(b -> !b.isNoGrowth()).flatMap(b -> atTarget.value().map(v -> v / b.limit()));
    }
}
