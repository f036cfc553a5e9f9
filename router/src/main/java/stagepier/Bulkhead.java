package stagepier;

/** Tickets: sends in flight, against a cap from the balancer's own usual concurrency. */
final class Bulkhead {
    /** Tickets at the least: with two, one that just started turned away what servers could bear. */
    private static final int FLOOR = 12;
    /** Deviations above the usual concurrency that tickets allow: normal work then seldom finds none. */
    private static final double DEVIATIONS = 5;
    /** In flight at the least, and deviations above the usual, from which a server is busy by chance. */
    private static final double BUSY_FLOOR = 3;
    private static final double BUSY_DEVIATIONS = 1.5;
    /** Usual concurrency is remembered this long, in shortest deadlines: longer than a jam builds up. */
    private static final double FADES = 10;
    private final double fades;
    int inFlight;
    double usual;
    private double at = Double.NaN;

    Bulkhead(double shortestDeadline) {
        fades = FADES * shortestDeadline;
    }

    static int cap(double usual) {
        return Math.max(FLOOR, (int) Math.ceil(usual + DEVIATIONS * Math.sqrt(usual)));
    }

    boolean full(double usual) {
        return inFlight >= cap(usual);
    }

    /** Busy by chance: the next server may have no wait. */
    static double busyFrom(double usual) {
        return Math.max(BUSY_FLOOR, usual + BUSY_DEVIATIONS * Math.sqrt(usual));
    }

    void add(double now, int change) {
        if (!Double.isNaN(at)) {
            usual += (inFlight - usual) * -Math.expm1((at - now) / fades);
        }
        at = now;
        inFlight += change;
    }
}
