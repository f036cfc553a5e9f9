package stagepier.lab.scale.discovery;

/**
 * The waits of a router's watch on discovery, in milliseconds.
 *
 * @param hold        the longest wait for a change that is asked for
 * @param holdSpread  by chance it is up to so much less
 * @param slack       after the wait that was asked for, the call is given up
 * @param asksFirst   the first call of a connection asks what there is now; else each call waits for a change
 * @param now         the wait of a call that asks what there is now
 * @param nowWithin   such a call is given up after this
 * @param connectWithin a connection is given up after this
 * @param pieces      an answer that has begun has so long until its next piece
 * @param retryFirst  the span from which the first wait before a new connection is drawn; it doubles
 * @param retryMost   up to this
 * @param retryLeast  the part of a span that is waited at the least
 */
public record WatchTimes(
        int hold,
        int holdSpread,
        int slack,
        boolean asksFirst,
        int now,
        int nowWithin,
        int connectWithin,
        int pieces,
        int retryFirst,
        int retryMost,
        double retryLeast) {
    /** As the router has them for an agent on its own machine. */
    public static final WatchTimes OF_AGENT = new WatchTimes(3000, 500, 1000, true, 1, 300, 300, 1000, 100, 250, 0);
    /** As the router has them for one service that all routers ask. */
    public static final WatchTimes OF_SHARED_SERVICE =
            new WatchTimes(2000, 500, 1000, false, 1, 300, 300, 1000, 400, 2500, 0.5);

    /** The same with another patience for calls that ask what there is now. */
    public WatchTimes withNowWithin(int ms) {
        return new WatchTimes(
                hold, holdSpread, slack, asksFirst, now, ms, connectWithin, pieces, retryFirst, retryMost, retryLeast);
    }
}
