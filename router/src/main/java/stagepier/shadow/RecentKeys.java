package stagepier.shadow;

/**
 * Remembers the keys that were copied recently and the values that their real owners returned. A table of fixed size in
 * which a newer key replaces an older one; a replaced key counts as not copied yet. Pure; times in seconds.
 */
final class RecentKeys {
    private static final int SLOTS = 4096;
    /**
     * Seconds after which a copied key counts as not copied. The candidate's owner may have dropped the value
     * meanwhile, because of a write or to free memory, which must not count against the candidate.
     */
    private static final double RETENTION_SECONDS = 60;

    private final long[] keys = new long[SLOTS];
    private final double[] copiedAt = new double[SLOTS];
    private final long[] value = new long[SLOTS];
    private final long[] previous = new long[SLOTS];

    private static int slotOf(long key) {
        return (int) (key ^ key >>> 32) & SLOTS - 1;
    }

    /** Returns whether no copy of the key is known to have been answered within the last minute. */
    boolean isFirst(double now, long key) {
        int i = slotOf(key);
        return keys[i] != key || copiedAt[i] == 0 || now - copiedAt[i] > RETENTION_SECONDS;
    }

    /** Returns the checksum of the value that the real owner returned before the current one; 0 if unknown. */
    long previousValue(long key, long current) {
        int i = slotOf(key);
        return keys[i] != key ? 0 : value[i] != current ? value[i] : previous[i];
    }

    /** Records a value that the real owner returned. */
    void recordValue(long key, long returned) {
        int i = claimSlot(key);
        if (returned != 0 && returned != value[i]) {
            previous[i] = value[i];
            value[i] = returned;
        }
    }

    void recordCopy(double now, long key) {
        copiedAt[claimSlot(key)] = now;
    }

    private int claimSlot(long key) {
        int i = slotOf(key);
        if (keys[i] != key) {
            keys[i] = key;
            copiedAt[i] = 0;
            value[i] = 0;
            previous[i] = 0;
        }
        return i;
    }
}
