package stagepier.lab.ledger;

/** One broken rule: which, when, and who had part in it. */
public record Violation(Rule rule, double at, String what) {
    /** The rules that a run is held to. */
    public enum Rule {
        ONE_ANSWER,
        MADE_FOR_IT,
        REPEATS,
        DRAINS,
        COLD_NODES,
        ORIGIN
    }

    @Override
    public String toString() {
        return "%s at %.3f s: %s".formatted(rule, at, what);
    }
}
