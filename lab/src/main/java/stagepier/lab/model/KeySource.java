package stagepier.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/** Keys by uneven popularity, which moves on to new keys by and by. */
public final class KeySource {
    private final DiscreteSampler ranks;
    private final double drift;

    /**
     * @param keys     how many there are at a time
     * @param exponent how uneven: the k-th most popular is asked for by 1 / k to this power
     * @param drift    keys that leave from the top of popularity, and new ones that come, each second
     */
    public KeySource(UniformRandomProvider random, int keys, double exponent, double drift) {
        ranks = RejectionInversionZipfSampler.of(random, keys, exponent);
        this.drift = drift;
    }

    /** A key at that time in seconds; never 0. */
    public long next(double at) {
        return mix(ranks.sample() + (long) (at * drift)) | 1;
    }

    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }
}
