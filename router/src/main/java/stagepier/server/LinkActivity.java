package stagepier.server;

import stagepier.overload.SilenceDetector;

/**
 * Times at which data was last received on one connection to a cache server, and what follows from them for the state
 * of the connection. Performs no I/O; all times are in seconds of the router's clock.
 */
final class LinkActivity {
    /** In seconds. Two answers without a request id within this time may be the same answer sent twice. */
    private static final double DUPLICATE_WITHIN = 0.05;
    /** In seconds. A link that was idle for longer is checked for unread input before it is used again. */
    private static final double IDLE_CHECK_AFTER = 0.002;

    /** Statistics of the waiting times on all connections to the server. */
    private final SilenceDetector silenceDetector;
    /** Time of the last answer, or of the first request that was sent after the link was idle. */
    private double lastAnswerAt;

    private double lastBytesAt;
    /** Time of the last answer that carries no request id. */
    private double answerWithoutIdAt = Double.NEGATIVE_INFINITY;
    /** Number of answers to later requests that arrived on other links since data was last received on this one. */
    private int overtakes;

    LinkActivity(SilenceDetector silenceDetector, double now) {
        this.silenceDetector = silenceDetector;
        lastAnswerAt = now;
    }

    double lastAnswerAt() {
        return lastAnswerAt;
    }

    double lastBytesAt() {
        return lastBytesAt;
    }

    /** Restarts the measurement when the link comes up, or is used again with no answer pending. */
    void restart(double now) {
        lastAnswerAt = now;
    }

    /** Notes that the router reads again after back-pressure, which had stopped the server from sending. */
    void onResumed(double now) {
        lastBytesAt = now;
    }

    /**
     * Notes that bytes were received.
     *
     * @param insideValue whether they belong to a large value
     */
    void onBytes(double now, boolean insideValue) {
        lastBytesAt = now;
        overtakes = 0;
        lastAnswerAt = insideValue ? lastBytesAt : lastAnswerAt;
    }

    /**
     * Notes that the received bytes complete an answer or the head of a large value; returns how long that answer was
     * pending.
     */
    double onAnswer() {
        double wait = lastBytesAt - lastAnswerAt;
        lastAnswerAt = lastBytesAt;
        return wait;
    }

    /**
     * Notes an answer that carries no request id. If a server sends a refusal twice, the second one would be taken for
     * the refusal of another request, which may in fact run.
     *
     * @return whether the previous such answer came so shortly before that this may be a duplicate of it
     */
    boolean onAnswerWithoutId() {
        boolean repeated = lastBytesAt - answerWithoutIdAt < DUPLICATE_WITHIN;
        answerWithoutIdAt = lastBytesAt;
        return repeated;
    }

    /** Seconds without any input, while an answer is pending. */
    double silentFor(double now) {
        return now - Math.max(lastAnswerAt, lastBytesAt);
    }

    /**
     * Notes that another link has received the answer to a request sent at that time; returns whether that request was
     * sent after the last input on this link, so that this link has been overtaken.
     */
    boolean overtaken(double sentAt) {
        if (sentAt <= Math.max(lastAnswerAt, lastBytesAt)) {
            return false;
        }
        overtakes++;
        return true;
    }

    /** Whether a waiting time is longer than usual answers need. */
    boolean isUnusuallyLong(double wait) {
        return silenceDetector.isUnusuallyLong(wait);
    }

    /** Whether no answer has arrived for longer than any answer may take. */
    boolean isSilent(double now) {
        return silenceDetector.isSilent(now - lastAnswerAt);
    }

    /**
     * Seconds until a link with that waiting time counts as silent; infinite if no other link has overtaken it often
     * enough.
     */
    double silentIn(double wait) {
        return silenceDetector.silentIn(wait, overtakes);
    }

    /** Whether the link was idle for so long that its server may have closed it or sent unrequested bytes. */
    boolean hasBeenIdle(double now) {
        return now - lastAnswerAt > IDLE_CHECK_AFTER;
    }
}
