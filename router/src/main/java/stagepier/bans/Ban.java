package stagepier.bans;

/**
 * A decision of the operators on one cache server.
 *
 * @param server  its id in the list
 * @param out     true if it was taken out, false if it was put back
 * @param since   when that was decided, in Unix time in seconds
 * @param version position in the order of the decisions on this server, on which all processes agree
 */
public record Ban(String server, boolean out, double since, long version) {
    /** In seconds; keeps times in the order of the decisions although the processes have clocks of their own. */
    private static final double MIN_STEP_S = 1e-3;

    private static final double MICROS_PER_S = 1e6;

    /**
     * Returns a decision that is made now and follows another one on the same server. Its time is later than that of
     * the other one, and rounded to microseconds, as it is stored.
     *
     * @param previous null if there is none, or if it expired
     * @param now      in Unix time in seconds
     */
    public static Ban next(String server, boolean out, Ban previous, double now) {
        double since = previous == null ? now : Math.max(now, previous.since() + MIN_STEP_S);
        // The time makes the first version higher than those before the decisions that expired.
        long version = previous == null ? (long) (now * MICROS_PER_S) : previous.version() + 1;
        return new Ban(server, out, Math.rint(since * MICROS_PER_S) / MICROS_PER_S, version);
    }

    /** Returns this decision as the one that follows another one. */
    Ban after(Ban previous) {
        return next(server, out, previous, since);
    }

    Ban withVersion(long other) {
        return new Ban(server, out, since, other);
    }
}
