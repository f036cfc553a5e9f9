package stagepier.overload;

/**
 * Estimates the length of values that are still to come by the largest one seen, which is forgotten gradually as smaller
 * ones follow. It grows at once and shrinks slowly, since too low an estimate costs memory, and too high a one only time.
 */
final class ValueSizeEstimate {
    /** Lower limit of the estimate in bytes. */
    private static final int MIN = 1024;
    /** Share of the estimate that remains with each smaller value. */
    private static final double RETAINED = 0.99;

    private double largest;

    /** @param initial estimate in bytes before any value is seen */
    ValueSizeEstimate(int initial) {
        largest = initial;
    }

    /** Notes a value of that length in bytes. */
    void onValue(int length) {
        largest = Math.max(length, RETAINED * largest);
    }

    /** Returns the estimate in bytes. */
    long bytes() {
        return Math.max(MIN, (long) Math.ceil(largest));
    }
}
