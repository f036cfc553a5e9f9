package stagepier.server;

import stagepier.overload.SilenceDetector;

/**
 * When something was last received on one connection to a cache server, and what that says of the connection. Free of I/O; all times
 * in seconds of the router's clock.
 */
final class LinkActivity {
    /** Seconds after an answer that names no request within which the next such one may be the same again. */
    private static final double SECOND_WITHIN = 0.05;
    /** Seconds of rest after which it is looked what has come before a link is used again. */
    private static final double RESTED = 0.002;

    /** What is usual of all connections to the server. */
    private final SilenceDetector silence;
    /** When an answer came last, or the first request was sent after the link was idle. */
    private double heardAt;

    private double bytesAt;
    /** When an answer came last that names no request. */
    private double refusedAt = Double.NEGATIVE_INFINITY;
    /** Answers that came on other links, since this one was last heard, to what was sent later. */
    private int passedBy;
    /** The longest rest between two pieces of the large value that is being received. */
    private double longestRest;

    LinkActivity(SilenceDetector silence, double now) {
        this.silence = silence;
        heardAt = now;
    }

    double heardAt() {
        return heardAt;
    }

    double bytesAt() {
        return bytesAt;
    }

    double longestRest() {
        return longestRest;
    }

    /** The link is up, or is used again with nothing awaited on it. */
    void begins(double now) {
        heardAt = now;
    }

    /** A large value begins. */
    void valueBegins() {
        longestRest = 0;
    }

    /** The server may go on sending, which it could not before. */
    void resumed(double now) {
        bytesAt = now;
    }

    /**
     * Bytes were received.
     *
     * @param insideValue they are of a large value
     * @param resting     the server could have sent them before, and did not
     */
    void received(double now, boolean insideValue, boolean resting) {
        longestRest = Math.max(longestRest, insideValue && resting ? now - bytesAt : 0);
        bytesAt = now;
        passedBy = 0;
        heardAt = insideValue ? bytesAt : heardAt;
    }

    /** A whole answer, or the head of a large one, is among the bytes that were received; returns for how long it was waited. */
    double answered() {
        double wait = bytesAt - heardAt;
        heardAt = bytesAt;
        return wait;
    }

    /**
     * An answer came that names no request. Guards against a refusal that comes twice: the second one would tell of another request
     * that it never ran.
     *
     * @return whether another one came so shortly before that this may be the same again
     */
    boolean refusedAgain() {
        boolean again = bytesAt - refusedAt < SECOND_WITHIN;
        refusedAt = bytesAt;
        return again;
    }

    /** Since when something has been due with nothing received. */
    double silentFor(double now) {
        return now - Math.max(heardAt, bytesAt);
    }

    /** Another link has answered what was sent at that time; returns whether that speaks against this one. */
    boolean passedBy(double sentAt) {
        if (sentAt <= Math.max(heardAt, bytesAt)) {
            return false;
        }
        passedBy++;
        return true;
    }

    /** Whether usual answers do not need so long. */
    boolean isQuiet(double wait) {
        return silence.isQuiet(wait);
    }

    /** Whether it was not heard for longer than any answer may take. */
    boolean isSilent(double now) {
        return silence.isSilent(now - heardAt);
    }

    /** Seconds until a link that has waited so long counts as fallen silent; infinite where nothing speaks for it. */
    double deadIn(double wait) {
        return silence.deadIn(wait, passedBy);
    }

    /** Whether its server may have closed it, or sent something that nobody asked for, since it was heard. */
    boolean hasRested(double now) {
        return now - heardAt > RESTED;
    }
}
