package stagepier.lab.capacity;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import stagepier.lab.scale.Figure;

/**
 * What a router may spend on control at most, and how soon a change has to be in force. KB and MB are thousands and
 * millions of bytes.
 */
public enum ControlBudget {
    /** Of one conversation alone, and of all together in and out. */
    BYTES(7_000, "B/s", Set.of(Figure.BYTES_IN, Figure.BYTES_OUT)) {
        @Override
        boolean covers(Subject subject) {
            return super.covers(subject) || subject.equals(Subject.CONTROL_BYTES);
        }
    },
    /** The whole process without clients is an upper bound of what control takes. */
    PROCESSOR(0.019, "cores", Set.of(Figure.PROCESSOR)),
    /** Here, too, the whole process is an upper bound. */
    MEMORY(256_000_000, "B", Set.of(Figure.RESIDENT)),
    /** A process that has no clients and no cache servers holds these and its own few. */
    DESCRIPTORS(32, "count", Set.of(Figure.DESCRIPTORS)),
    /** Threads may not grow with the fleet, whatever their number. */
    THREADS(Double.NaN, "count", Set.of(Figure.THREADS)),
    /** A change of configuration is in force everywhere. */
    CHANGE(4, "s", Set.of(Figure.CHANGE_IN_FORCE, Figure.CHANGE_IN_FORCE_AT_PROCESSES));

    private final double limit;
    private final String unit;
    private final Set<Figure> figures;

    ControlBudget(double limit, String unit, Set<Figure> figures) {
        this.limit = limit;
        this.unit = unit;
        this.figures = figures;
    }

    /** The budget that a series is held to. */
    public static Optional<ControlBudget> of(Subject subject) {
        return Arrays.stream(values()).filter(budget -> budget.covers(subject)).findFirst();
    }

    boolean covers(Subject subject) {
        return figures.stream().anyMatch(subject::isFigure);
    }

    /** Whether the budget is that nothing grows, in place of a number. */
    public boolean isNoGrowth() {
        return Double.isNaN(limit);
    }

    /** The most that is within the budget; not a number where the budget is that nothing grows. */
    public double limit() {
        return limit;
    }

    /** For tables. */
    public String text() {
        return isNoGrowth() ? "no growth" : NumberText.of(limit, unit);
    }
}
