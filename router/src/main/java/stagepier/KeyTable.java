package stagepier;

/** Fading counts of keys, and who served each last. A key takes a place whose count has faded. */
final class KeyTable {
    /** Keys remembered: what a busy balancer is asked for while a copy is kept. */
    private static final int PLACES = 4096;

    private final long[] keys = new long[PLACES];
    private final double[] counts = new double[PLACES];
    private final double[] at = new double[PLACES];
    private final Server[] holders = new Server[PLACES];
    private final double[] heldAt = new double[PLACES];

    private static int place(long key) {
        return (int) HashRing.mix(key) & PLACES - 1;
    }

    double count(double now, long key, double fades) {
        int i = place(key);
        double left = counts[i] == 0 ? 0 : counts[i] * Math.exp((at[i] - now) / fades);
        at[i] = now;
        if (keys[i] != key && left < 1) {
            keys[i] = key;
            left = 0;
            holders[i] = null;
        }
        counts[i] = keys[i] == key ? left + 1 : left - 1;
        return keys[i] == key ? counts[i] : 1;
    }

    void held(double now, long key, Server s) {
        int i = place(key);
        if (keys[i] == key) {
            holders[i] = s;
            heldAt[i] = now;
        }
    }

    boolean holds(double now, long key, Server s, double memory) {
        int i = place(key);
        return keys[i] == key && holders[i] == s && now - heldAt[i] < memory;
    }
}
