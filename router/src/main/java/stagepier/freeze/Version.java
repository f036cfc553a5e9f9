package stagepier.freeze;

/**
 * Identifies an accepted calendar; ordered by acceptance.
 *
 * @param generation time of the founding of the fleet that accepted it, in milliseconds since 1970; grows with each
 *                   founding
 * @param number     counts from 1 within a generation; 0 for a founded fleet that has accepted no calendar yet
 */
public record Version(long generation, int number) implements Comparable<Version> {
    /** The version before any founding. */
    public static final Version NONE = new Version(0, 0);
    /** Leaves room for a million calendars per generation, and for generations up to the year 2109. */
    private static final int NUMBER_BITS = 20;

    Version next() {
        return new Version(generation, number + 1);
    }

    /** Returns the version as one number of the same order, for {@link Calendar#version()}; 0 for none. */
    public long packed() {
        return generation << NUMBER_BITS | number;
    }

    @Override
    public int compareTo(Version o) {
        int byGeneration = Long.compare(generation, o.generation);
        return byGeneration != 0 ? byGeneration : Integer.compare(number, o.number);
    }

    @Override
    public String toString() {
        return generation + "." + number;
    }
}
