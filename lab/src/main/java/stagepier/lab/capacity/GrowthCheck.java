package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleResults;

/**
 * Whether what control costs a router grows with the fleet, from few sizes and one seed. Looks only at what is counted, as
 * bytes and descriptors; seconds are those of the machine that measured them.
 */
public final class GrowthCheck {
    /** The largest fleet may cost so many times what the smallest costs: values of one seed are not exact. */
    static final double GROWTH_MOST = 1.25;
    /** Growth by less than this part of the budget is none: few messages in a short span are not exact either. */
    static final double ALLOWED_PART = 0.02;

    private static final Set<Figure> COUNTED =
            EnumSet.of(Figure.BYTES_IN, Figure.BYTES_OUT, Figure.DESCRIPTORS, Figure.THREADS);

    private GrowthCheck() {}

    /** A line for each figure that grows or passes its budget, and for each run that was not valid; empty where all is well. */
    public static List<String> faults(ScaleResults results) {
        List<String> faults = new ArrayList<>(results.invalid());
        List<Sample> control = results.samples().stream()
                .filter(sample -> sample.conversation() != Conversation.PROCESS && COUNTED.contains(sample.figure()))
                .toList();
        for (FigureSeries series : SeriesTable.of(control)) {
            ControlBudget.of(series.subject()).ifPresent(budget -> faults.addAll(faults(series, budget)));
        }
        return faults;
    }

    private static List<String> faults(FigureSeries series, ControlBudget budget) {
        List<SizeStatistics> sizes = series.bySize();
        SizeStatistics smallest = sizes.get(0);
        SizeStatistics largest = sizes.get(sizes.size() - 1);
        List<String> faults = new ArrayList<>();
        growth(smallest, largest, budget)
                .ifPresent(most -> faults.add("%s grows: %s at %d routers, %s at %d, %s at the most"
                        .formatted(
                                series.subject(),
                                text(smallest, series),
                                smallest.routers(),
                                text(largest, series),
                                largest.routers(),
                                NumberText.of(most, series.subject().unit()))));
        if (!budget.isNoGrowth() && largest.median() > budget.limit()) {
            faults.add("%s passes its budget: %s at %d routers, %s at the most"
                    .formatted(series.subject(), text(largest, series), largest.routers(), budget.text()));
        }
        return faults;
    }

    /** What the largest fleet might cost; empty where it costs no more. */
    private static Optional<Double> growth(SizeStatistics smallest, SizeStatistics largest, ControlBudget budget) {
        double allowed = budget.isNoGrowth() ? 0 : ALLOWED_PART * budget.limit();
        double most = GROWTH_MOST * smallest.median() + allowed;
        return largest.median() > most ? Optional.of(most) : Optional.empty();
    }

    private static String text(SizeStatistics size, FigureSeries series) {
        return NumberText.of(size.median(), series.subject().unit());
    }
}
