package stagepier.lab.check;

/** From one moment to another, in seconds; the end is not part of it. */
public record Span(double from, double until) {
    public boolean has(double at) {
        return at >= from && at < until;
    }
}
