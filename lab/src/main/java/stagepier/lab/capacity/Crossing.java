package stagepier.lab.capacity;

import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The size of the fleet at which a figure passes its budget, read off the fit, and beside it what was seen at the sizes
 * that were played.
 *
 * @param routers      the least number of routers with which the fit is over the budget; 0 where kind is not AT
 * @param largestWithin the largest size that was played and whose median is within; empty where there is none
 * @param smallestOver the smallest size that was played and whose median is over; empty where there is none
 */
public record Crossing(Kind kind, int routers, Optional<Integer> largestWithin, Optional<Integer> smallestOver) {
    /** Sizes beyond this are not asked about: what is not passed up to here counts as never passed. */
    static final int ROUTERS_MOST = 1_000_000;

    /** Where the budget is passed. */
    public enum Kind {
        NEVER,
        AT,
        BELOW_SMALLEST,
        /** The budget is that nothing grows, and it grows. */
        GROWS,
        /** No model could be chosen. */
        UNKNOWN
    }

    static Crossing of(FigureSeries series, GrowthChoice choice, ControlBudget budget) {
        Optional<Integer> within = Optional.empty();
        Optional<Integer> over = Optional.empty();
        if (!budget.isNoGrowth()) {
            within = series.bySize().stream()
                    .filter(s -> s.median() <= budget.limit())
                    .map(SizeStatistics::routers)
                    .reduce((a, b) -> b);
            over = series.bySize().stream()
                    .filter(s -> s.median() > budget.limit())
                    .map(SizeStatistics::routers)
                    .findFirst();
        }
        if (choice.chosen().isEmpty()) {
            return new Crossing(Kind.UNKNOWN, 0, within, over);
        }
        Fit fit = choice.chosen().get();
        if (budget.isNoGrowth()) {
            return new Crossing(fit.model() == GrowthModel.CONSTANT ? Kind.NEVER : Kind.GROWS, 0, within, over);
        }
        int smallest = series.sizes().get(0);
        if (fit.at(smallest) > budget.limit()) {
            return new Crossing(Kind.BELOW_SMALLEST, 0, within, over);
        }
        int at = IntStream.rangeClosed(smallest + 1, ROUTERS_MOST)
                .filter(n -> fit.at(n) > budget.limit())
                .findFirst()
                .orElse(0);
        return new Crossing(at == 0 ? Kind.NEVER : Kind.AT, at, within, over);
    }

    /** What the fit says, in words. */
    public String fitted() {
        return switch (kind) {
            case NEVER -> "never";
            case AT -> "at " + NumberText.number(routers);
            case BELOW_SMALLEST -> "below the smallest measured";
            case GROWS -> "grows";
            case UNKNOWN -> "no model";
        };
    }

    /** What the fit says and, beside it, between which sizes that were played the medians pass the budget. */
    public String text() {
        String played = largestWithin
                        .map(n -> "within at " + NumberText.number(n))
                        .orElse("")
                + (largestWithin.isPresent() && smallestOver.isPresent() ? ", " : "")
                + smallestOver.map(n -> "over at " + NumberText.number(n)).orElse("");
        return played.isEmpty() ? fitted() : fitted() + " (played: " + played + ")";
    }
}
