package stagepier.freeze;

import java.time.Clock;

/**
 * Numbers of the processes that have had one name, one after the other: milliseconds since 1970 at the start, with low bits at
 * random, so that two that start at one reading of a clock differ. Where a clock was turned back over a restart, the others
 * tell.
 */
final class Incarnations {
    static final int LOW_BITS = 10;

    private Incarnations() {}

    static long first(Clock wall, long seed) {
        long low = new java.util.SplittableRandom(seed).nextLong(1L << LOW_BITS);
        return Math.max(1, wall.millis()) << LOW_BITS | low;
    }
}
