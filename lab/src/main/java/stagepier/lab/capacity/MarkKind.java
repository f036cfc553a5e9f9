package stagepier.lab.capacity;

import java.util.Locale;
import java.util.Optional;

/** What a mark on the capacity page says that the number before it is. */
public enum MarkKind {
    /** The median of a size that was played. */
    FIGURE(true) {
        @Override
        Optional<Double> value(CapacityRow row, int size) {
            return row.series().at(size).map(SizeStatistics::median);
        }
    },
    /** Read off the fit at a size. */
    FIT(true) {
        @Override
        Optional<Double> value(CapacityRow row, int size) {
            return row.choice().chosen().map(fit -> fit.at(size));
        }
    },
    /** The model, in words. */
    GROWTH(false) {
        @Override
        Optional<String> words(CapacityRow row) {
            return Optional.of(CapacityText.growth(row.choice()));
        }
    },
    /** Part of the budget used at a size. */
    USED(true) {
        @Override
        Optional<Double> value(CapacityRow row, int size) {
            return row.partUsed();
        }
    },
    /** The coefficient of the fit's fastest term. */
    SLOPE(false) {
        @Override
        Optional<Double> value(CapacityRow row, int size) {
            return row.choice().chosen().map(Fit::slope);
        }

        @Override
        Optional<String> words(CapacityRow row) {
            return row.choice()
                    .chosen()
                    .filter(fit -> fit.model() == GrowthModel.CONSTANT)
                    .map(fit -> NO_SLOPE);
        }
    },
    /** The size at which the fit passes the budget. */
    PASSES(false) {
        @Override
        Optional<Double> value(CapacityRow row, int size) {
            return row.crossing().filter(c -> c.kind() == Crossing.Kind.AT).map(c -> (double) c.routers());
        }

        @Override
        Optional<String> words(CapacityRow row) {
            return row.crossing().filter(c -> c.kind() != Crossing.Kind.AT).map(Crossing::fitted);
        }
    };

    /** Of what does not grow. */
    static final String NO_SLOPE = "none";

    private final boolean hasSize;

    MarkKind(boolean hasSize) {
        this.hasSize = hasSize;
    }

    /** As it stands in a mark. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    public boolean hasSize() {
        return hasSize;
    }

    /** The number that the results give; empty where they give none. The row is made for that size. */
    Optional<Double> value(CapacityRow row, int size) {
        return Optional.empty();
    }

    /** The words that stand in place of a number; empty where there is a number. */
    Optional<String> words(CapacityRow row) {
        return Optional.empty();
    }
}
