package stagepier.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random numbers of one run: a source of its own for each component, all from one seed, so that none moves another. */
public final class Randoms {
    private final long root;

    public Randoms(long root) {
        this.root = root;
    }

    /** The source of that name; asked for again it begins anew. */
    public UniformRandomProvider of(String component) {
        long seed = root * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < component.length(); i++) {
            seed = (seed ^ component.charAt(i)) * 0x100000001b3L;
        }
        return RandomSource.XO_SHI_RO_256_PP.create(seed);
    }
}
