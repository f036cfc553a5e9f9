package stagepier.shadow;

import java.util.SplittableRandom;
import stagepier.exchange.Ids;

/**
 * Assigns each key a position from 0 to 9,999 by a keyed hash that is the same on all routers. The keys below a bound
 * form a slice, and the slice of a smaller bound is contained in that of a larger one. The hash is the finalizer of
 * SplitMix64 as implemented by the JDK's {@link SplittableRandom} (Steele, Lea and Flood, <i>Fast splittable
 * pseudorandom number generators</i>, 2014), applied to the key and again to that result combined with the salt, so
 * that a slice is independent of positions on a ring.
 */
public final class Slice {
    /** Number of positions. */
    public static final int POSITIONS = 10_000;

    private final long salt;

    public Slice(String salt) {
        this.salt = Ids.ofKey(salt);
    }

    public int position(long key) {
        long first = new SplittableRandom(key).nextLong();
        return new SplittableRandom(first ^ salt).nextInt(POSITIONS);
    }

    public boolean contains(long key, int parts) {
        return position(key) < parts;
    }
}
