package stagepier.shadow;

import java.util.SplittableRandom;
import stagepier.exchange.Ids;

/**
 * Places keys by a keyed hash, the same at all routers: each key has a place from 0 to 9,999. The keys below a bound are a slice,
 * and the slice of a smaller bound lies within that of a larger one. The hash is the finalizer of SplitMix64 as the JDK's
 * {@link SplittableRandom} has it (Steele, Lea and Flood, <i>Fast splittable pseudorandom number generators</i>, 2014), once over
 * the key and once more over that and the salt, so that a slice has nothing to do with places on a ring.
 */
public final class Slice {
    /** Parts in the whole. */
    public static final int WHOLE = 10_000;

    private final long salt;

    public Slice(String salt) {
        this.salt = Ids.ofKey(salt);
    }

    public int place(long key) {
        long first = new SplittableRandom(key).nextLong();
        return new SplittableRandom(first ^ salt).nextInt(WHOLE);
    }

    public boolean holds(long key, int parts) {
        return place(key) < parts;
    }
}
