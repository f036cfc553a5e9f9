package stagepier;

/** Relative speeds of machine kinds. Sizes do not include them, and all routers would overload slow kinds. */
final class KindSpeeds {
    /** Answers before a kind's speed counts, minimum weight of a new answer, lowest speed, change applied. */
    private static final int MIN_ANSWERS = 60;

    private static final double MIN_GAIN = 1.0 / 256;
    private static final double MIN_SPEED = 0.4;
    private static final double MIN_CHANGE = 0.15;
    /** Per kind: speed relative to the fastest (0 stands for 1), mean logarithm of answer time, answers. */
    private final double[] speed = new double[256];

    private final double[] meanLogTime = new double[256];
    private final int[] answers = new int[256];

    double of(int kind) {
        return speed[kind] == 0 ? 1 : speed[kind];
    }

    /** Records an answer; returns whether the kind's speed changed. */
    boolean record(int kind, double elapsed) {
        double gain = Math.max(MIN_GAIN, 1.0 / ++answers[kind]);
        meanLogTime[kind] += gain * (Latency.log(elapsed) - meanLogTime[kind]);
        double fastest = meanLogTime[kind];
        for (int i = 0; i < meanLogTime.length; i++) {
            fastest = answers[i] < MIN_ANSWERS ? fastest : Math.min(fastest, meanLogTime[i]);
        }
        double latest = Math.max(MIN_SPEED, Math.exp(fastest - meanLogTime[kind]));
        boolean changed = answers[kind] >= MIN_ANSWERS && Math.abs(latest - of(kind)) > MIN_CHANGE * of(kind);
        speed[kind] = changed ? latest : speed[kind];
        return changed;
    }
}
