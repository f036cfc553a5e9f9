package stagepier;

/** Tickets: sends in flight, against a cap from the balancer's own usual concurrency. */
final class Bulkhead {
    /** Tickets, and what is busy: at the least, and in deviations above the usual. Two tickets are few. */
    private static final int FLOOR = 12;

    private static final double DEVIATIONS = 5;
    private static final double BUSY_FLOOR = 3;
    private static final double BUSY_DEVIATIONS = 1.5;
    int inFlight;
    double usual;
    private double at;

    static int cap(double usual) {
        return Math.max(FLOOR, (int) Math.ceil(usual + DEVIATIONS * Math.sqrt(usual)));
    }

    boolean full(double usual) {
        return inFlight >= cap(usual);
    }

    /** Busy by chance: the next server may have no wait. Where each seen stands for many, chance is wider. */
    static double busyFrom(double usual, double weight) {
        return Math.max(BUSY_FLOOR, usual + BUSY_DEVIATIONS * Math.sqrt(usual * weight));
    }

    void add(double now, int change, double fades) {
        usual += (inFlight - usual) * -Math.expm1((at - now) / fades);
        at = now;
        inFlight += change;
    }
}
