package stagepier;

/** Speeds of machine kinds: size says nothing of them, and all balancers would fill the slow kind first. */
final class KindSpeeds {
    /** Answers from which a kind's speed counts, weight of a new one, least speed, change that moves keys. */
    private static final int TRUSTED = 60;

    private static final double GAIN = 1.0 / 256;
    private static final double SLOWEST = 0.4;
    private static final double CHANGES = 0.15;
    /** By kind: in parts of the fastest, 0 for 1; mean log answer time; answers. */
    private final double[] speed = new double[256];

    private final double[] typical = new double[256];
    private final int[] answers = new int[256];

    double of(int kind) {
        return speed[kind] == 0 ? 1 : speed[kind];
    }

    /** Returns whether the kind counts for another speed from now on. */
    boolean learn(int kind, double elapsed) {
        double gain = Math.max(GAIN, 1.0 / ++answers[kind]);
        typical[kind] += gain * (Latency.log(elapsed) - typical[kind]);
        double best = typical[kind];
        for (int i = 0; i < typical.length; i++) {
            best = answers[i] < TRUSTED ? best : Math.min(best, typical[i]);
        }
        double now = Math.max(SLOWEST, Math.exp(best - typical[kind]));
        boolean changes = answers[kind] >= TRUSTED && Math.abs(now - of(kind)) > CHANGES * of(kind);
        speed[kind] = changes ? now : speed[kind];
        return changes;
    }
}
