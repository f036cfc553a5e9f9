package stagepier.lab.nemesis;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * What is done to all that goes from one party to another.
 *
 * @param lost       part that never arrives; 1 holds a stream up until it is over
 * @param delay      seconds by which each is late
 * @param jitter     seconds of further delay at the most, drawn for each
 * @param duplicated part that arrives twice
 * @param reordered  part that is held back so long that later ones overtake it
 * @param cut        part of a stream's pieces in the middle of which its connection is reset
 */
public record LinkConditions(
        double lost, double delay, double jitter, double duplicated, double reordered, double cut) {
    /** Nothing is done. */
    public static final LinkConditions NONE = new LinkConditions(0, 0, 0, 0, 0, 0);
    /** Nothing arrives. */
    public static final LinkConditions DROP_ALL = new LinkConditions(1, 0, 0, 0, 0, 0);
    /** Seconds by which one that is reordered, or the second of two alike, comes later. */
    public static final double REORDER_DELAY = 0.1;

    /** Both at a time. */
    public LinkConditions and(LinkConditions o) {
        return new LinkConditions(
                either(lost, o.lost),
                delay + o.delay,
                jitter + o.jitter,
                either(duplicated, o.duplicated),
                either(reordered, o.reordered),
                either(cut, o.cut));
    }

    private static double either(double a, double b) {
        return 1 - (1 - a) * (1 - b);
    }

    public boolean isSilence() {
        return lost >= 1;
    }

    /** After how many seconds each copy of a datagram arrives; empty where it is lost. Always draws as often. */
    public double[] deliveries(UniformRandomProvider random) {
        boolean isLost = random.nextDouble() < lost;
        double late = delay + random.nextDouble() * jitter + (random.nextDouble() < reordered ? REORDER_DELAY : 0);
        boolean twice = random.nextDouble() < duplicated;
        return isLost ? new double[] {} : twice ? new double[] {late, late + REORDER_DELAY} : new double[] {late};
    }
}
