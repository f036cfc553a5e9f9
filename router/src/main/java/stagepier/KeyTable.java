package stagepier;

/** Decaying request counts of keys and the server that last served each. A new key replaces a decayed one. */
final class KeyTable {
    /** Number of keys, a power of two: about the distinct keys of a busy router while a copy is kept. */
    private static final int CAPACITY = 4096;

    private final long[] keys = new long[CAPACITY];
    private final double[] counts = new double[CAPACITY];
    private final double[] countedAt = new double[CAPACITY];
    private final Server[] servers = new Server[CAPACITY];
    private final double[] servedAt = new double[CAPACITY];

    private static int index(long key) {
        return (int) HashRing.mix(key) & CAPACITY - 1;
    }

    double count(double now, long key, double decayTime) {
        int i = index(key);
        double remaining = counts[i] == 0 ? 0 : counts[i] * Math.exp((countedAt[i] - now) / decayTime);
        countedAt[i] = now;
        if (keys[i] != key && remaining < 1) {
            keys[i] = key;
            remaining = 0;
            servers[i] = null;
        }
        counts[i] = keys[i] == key ? remaining + 1 : remaining - 1;
        return keys[i] == key ? counts[i] : 1;
    }

    void recordServed(double now, long key, Server s) {
        int i = index(key);
        if (keys[i] == key) {
            servers[i] = s;
            servedAt[i] = now;
        }
    }

    boolean wasServedBy(double now, long key, Server s, double retention) {
        int i = index(key);
        return keys[i] == key && servers[i] == s && now - servedAt[i] < retention;
    }
}
