package stagepier.shadow;

/**
 * Which keys were copied of late, and what their real owner gave. A table of fixed size in which a newer key takes an older one's
 * place: a key that was forgotten counts as not copied yet. Pure; times in seconds.
 */
final class KeyMemory {
    private static final int PLACES = 4096;
    /** Guards against blaming the candidate for a copy that was dropped meanwhile, by a write or for want of room. */
    private static final double KEPT = 60;

    private final long[] keys = new long[PLACES];
    private final double[] copiedAt = new double[PLACES];
    private final long[] value = new long[PLACES];
    private final long[] before = new long[PLACES];

    private static int place(long key) {
        return (int) (key ^ key >>> 32) & PLACES - 1;
    }

    /** No copy of the key was answered within the last minute, as far as is known. */
    boolean isFirst(double now, long key) {
        int i = place(key);
        return keys[i] != key || copiedAt[i] == 0 || now - copiedAt[i] > KEPT;
    }

    /** What the real owner gave before what it gives now; 0 where nothing is known. */
    long before(long key, long now) {
        int i = place(key);
        return keys[i] != key ? 0 : value[i] != now ? value[i] : before[i];
    }

    /** The real owner gave this value. */
    void gave(long key, long given) {
        int i = mine(key);
        if (given != 0 && given != value[i]) {
            before[i] = value[i];
            value[i] = given;
        }
    }

    void copied(double now, long key) {
        copiedAt[mine(key)] = now;
    }

    private int mine(long key) {
        int i = place(key);
        if (keys[i] != key) {
            keys[i] = key;
            copiedAt[i] = 0;
            value[i] = 0;
            before[i] = 0;
        }
        return i;
    }
}
