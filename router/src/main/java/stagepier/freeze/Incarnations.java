package stagepier.freeze;

import java.time.Clock;

/**
 * Creates incarnations, which number the successive processes of one name: the start time in milliseconds since 1970
 * with random low bits, so that two processes that start at the same clock reading differ. If the clock went back over
 * a restart, replies of other routers show it.
 */
final class Incarnations {
    static final int LOW_BITS = 10;

    private Incarnations() {}

    static long first(Clock wall, long seed) {
        long low = new java.util.SplittableRandom(seed).nextLong(1L << LOW_BITS);
        return Math.max(1, wall.millis()) << LOW_BITS | low;
    }
}
