package stagepier.lab.scale.discovery;

/**
 * The waits of a router's watch on discovery, in milliseconds.
 *
 * @param hold        the longest wait for a change that is asked for
 * @param holdSpread  by chance it is up to so much less
 * @param slack       after the wait that was asked for, the call is given up
 * @param now         the wait of a call that asks what there is now
 * @param nowWithin   such a call, and a connection, is given up after this
 * @param pieces      an answer that has begun has so long until its next piece
 * @param retryFirst  the span from which the first wait before a new connection is drawn; it doubles
 * @param retryMost   up to this
 */
public record WatchTimes(
        int hold, int holdSpread, int slack, int now, int nowWithin, int pieces, int retryFirst, int retryMost) {
    /** As the router has them. */
    public static final WatchTimes OF_ROUTER = new WatchTimes(3000, 500, 1000, 1, 300, 1000, 100, 250);

    /** The same with another patience for calls that ask what there is now. */
    public WatchTimes withNowWithin(int ms) {
        return new WatchTimes(hold, holdSpread, slack, now, ms, pieces, retryFirst, retryMost);
    }
}
