package stagepier.server;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import stagepier.Api;
import stagepier.exchange.Exchange;
import stagepier.exchange.ResponseInfo;
import stagepier.exchange.ServerTransport;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.Answer;

/**
 * One attempt of an exchange at one cache server, or a probe. Owns its timer and ends exactly once. An answer that the
 * link still receives for it after that is discarded by the link.
 */
final class Execution implements ServerTransport.Transmission {
    /** In seconds. A timer that fires later than this was delayed by the router itself. */
    private static final double LATE_TIMER_S = 0.01;

    private final ServerPools pools;
    private final Exchange exchange;
    private final int attempt;
    private final long server;
    private final double startedAt;
    private final double timeout;
    private final double latestStart;
    private ServerLink link;
    private Future<?> timer;
    private boolean ended;
    private boolean timedOut;
    private boolean timerWasLate;
    /** Value of the link's counter of written bytes after the last byte of this execution; 0 until it is queued. */
    private long endOffset;
    /** Time at which it was handed to the socket; 0 before that. */
    private double sentAt;

    private boolean alone;

    /**
     * @param exchange null for a probe
     * @param latestStart time after which no byte of it may be sent
     */
    Execution(ServerPools pools, Exchange exchange, int attempt, long server, double timeout, double latestStart) {
        this.pools = pools;
        this.exchange = exchange;
        this.attempt = attempt;
        this.server = server;
        this.timeout = timeout;
        this.latestStart = latestStart;
        startedAt = pools.now();
    }

    void startTimer() {
        timer = pools.loop().schedule(this::onTimer, (long) (timeout * 1e6), TimeUnit.MICROSECONDS);
    }

    /**
     * Ends the execution at its deadline. If the timer fires late, the answer may already be in the socket, unread
     * because the router was delayed. The timer is then restarted once for 1 ms, so that the server is not blamed for
     * that delay.
     */
    private void onTimer() {
        if (!timerWasLate && pools.now() - startedAt - timeout > LATE_TIMER_S) {
            timerWasLate = true;
            timer = pools.loop().schedule(this::onTimer, 1, TimeUnit.MILLISECONDS);
            return;
        }
        timedOut = true;
        giveUp(timeoutOutcome());
    }

    private Api.Outcome timeoutOutcome() {
        if (link != null && link.isBackPressured()) {
            // The client does not read a value ahead of this answer on the link, so the server is not at fault.
            return Api.Outcome.CANCELLED;
        }
        return link != null && link.hasLocalFailure() ? Api.Outcome.NOT_SENT : Api.Outcome.TIMEOUT;
    }

    void link(ServerLink to) {
        link = to;
    }

    void endOffset(long bytes) {
        endOffset = bytes;
    }

    long endOffset() {
        return endOffset;
    }

    void sentAt(double now) {
        sentAt = now;
    }

    double sentAt() {
        return sentAt;
    }

    /** Records that no other answer was pending on the link when this execution was sent. */
    void markAlone() {
        alone = true;
    }

    @Override
    public boolean isAlone() {
        return alone;
    }

    @Override
    public boolean isOut() {
        return sentAt > 0;
    }

    boolean isEnded() {
        return ended;
    }

    boolean timedOut() {
        return timedOut;
    }

    /** Time at which the timeout of its request expires. */
    double deadline() {
        return startedAt + timeout;
    }

    /** Whether the time by which it had to be sent has passed. */
    boolean isPastLatestStart() {
        return pools.now() > latestStart;
    }

    boolean mayRunTwice() {
        return isProbe() || pools.host().mayRunTwice(exchange);
    }

    boolean isProbe() {
        return exchange == null;
    }

    /** For log messages. */
    @Override
    public String toString() {
        String what = isProbe() ? "probe" : "id=" + exchange.command().id() + " attempt=" + attempt;
        return what + " server=" + server;
    }

    /** The request for the server, with the time that remains until the deadline. */
    byte[] message() {
        long left = Math.max(1, Math.round((startedAt + timeout - pools.now()) * 1e3));
        return isProbe() ? ServerPools.PROBE : exchange.command().forward(left);
    }

    /** Whether this answer is a possible answer to this execution. */
    boolean accepts(Answer answer) {
        return switch (answer.kind()) {
            case BUSY, FAILED -> true;
            case ALIVE -> isProbe();
            case VALUE ->
                !isProbe()
                        && !exchange.command().isWrite()
                        && answer.id().equals(exchange.command().id());
            case RECEIPT ->
                !isProbe()
                        && exchange.command().isWrite()
                        && answer.id().equals(exchange.command().id());
        };
    }

    void onAnswer(Answer answer) {
        switch (answer.kind()) {
            case BUSY -> end(Api.Outcome.FULL, ResponseInfo.of(answer), null);
            case FAILED -> end(Api.Outcome.ERROR, ResponseInfo.of(answer), null);
            default -> end(Api.Outcome.OK, ResponseInfo.of(answer), answer.body());
        }
    }

    /** Passes on the head of a large value, whose first bytes have arrived. */
    void onValueStarted(Answer head, ValueFlow flow) {
        if (markEnded()) {
            pools.host().begun(exchange, attempt, server, startedAt, ResponseInfo.of(head), flow);
        } else {
            flow.abandon();
        }
    }

    /** Marks the execution as ended and cancels its timer; returns false if it had ended before. */
    private boolean markEnded() {
        boolean first = !ended;
        ended = true;
        if (first && timer != null) {
            timer.cancel(false);
        }
        return first;
    }

    @Override
    public void cancel() {
        giveUp(Api.Outcome.CANCELLED);
    }

    @Override
    public void withdraw() {
        if (!isOut()) {
            cancel();
        } else if (!ended) {
            link.abandon(this);
        }
    }

    /** Whether it may still be sent: a client still waits for its answer, or it is a probe. */
    boolean isWanted() {
        return isProbe() || exchange.isWanted();
    }

    private void giveUp(Api.Outcome outcome) {
        if (!ended) {
            if (link != null) {
                link.withdraw(this);
            }
            end(outcome);
        }
    }

    void end(Api.Outcome outcome) {
        end(outcome, ResponseInfo.NONE, null);
    }

    private void end(Api.Outcome outcome, ResponseInfo info, byte[] body) {
        if (!markEnded()) {
            return;
        }
        if (isProbe()) {
            pools.host().probed(server, outcome, startedAt);
        } else {
            pools.host().ended(exchange, attempt, server, outcome, startedAt, info, body);
        }
    }
}
