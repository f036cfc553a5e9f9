package stagepier.freeze;

/**
 * Names one accepted calendar, in the order of acceptance.
 *
 * @param generation when the fleet was founded that accepted it, in milliseconds since 1970; grows with each founding
 * @param number     from 1; 0 stands for a fleet that was founded and has accepted none yet
 */
public record Version(long generation, int number) implements Comparable<Version> {
    /** Before any founding. */
    public static final Version NONE = new Version(0, 0);
    /** Room for a million calendars in a generation, and for generations up to the year 2109. */
    private static final int NUMBER_BITS = 20;

    Version next() {
        return new Version(generation, number + 1);
    }

    /** The same order in one number, for {@link Calendar#version()}; 0 for none. */
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
