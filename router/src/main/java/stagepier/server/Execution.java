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
 * One attempt of an exchange at one cache server, or a probe. Owns its timer; ends exactly once, here. What a
 * link still expects for it after that is discarded there.
 */
final class Execution implements ServerTransport.Transmission {
    /** Seconds by which a timer is late only if the router itself is. */
    private static final double LATE = 0.01;

    private final ServerPools pools;
    private final Exchange exchange;
    private final int attempt;
    private final long server;
    private final double startedAt;
    private final double timeout;
    private final double latestStart;
    private ServerLink link;
    private Future<?> timer;
    private boolean over;
    private boolean timedOut;
    private boolean wokeLate;
    /** The link's count of written bytes at which the last one of this execution is written; 0 before that. */
    private long endsAt;
    /** When it was handed to the socket. */
    private double sentAt;

    private boolean alone;

    /**
     * @param exchange    null for a probe
     * @param latestStart not a byte of it may be sent after that
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
        timer = pools.loop().schedule(this::timeIsUp, (long) (timeout * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Guards against blaming the server where this router woke too late to read its answer: it gets one more look. */
    private void timeIsUp() {
        if (!wokeLate && pools.now() - startedAt - timeout > LATE) {
            wokeLate = true;
            timer = pools.loop().schedule(this::timeIsUp, 1, TimeUnit.MILLISECONDS);
            return;
        }
        timedOut = true;
        giveUp(whenTimeIsUp());
    }

    private Api.Outcome whenTimeIsUp() {
        if (link != null && link.isHeldUp()) {
            // Behind a value that its client does not read, the server's answer cannot come: it is not to blame.
            return Api.Outcome.CANCELLED;
        }
        return link != null && link.isHeldUpHere() ? Api.Outcome.NOT_SENT : Api.Outcome.TIMEOUT;
    }

    void link(ServerLink on) {
        link = on;
    }

    void endsAt(long bytes) {
        endsAt = bytes;
    }

    long endsAt() {
        return endsAt;
    }

    void sentAt(double now) {
        sentAt = now;
    }

    double sentAt() {
        return sentAt;
    }

    /** Nothing else is awaited on the link that it is handed to. */
    void alone() {
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

    boolean isOver() {
        return over;
    }

    boolean timedOut() {
        return timedOut;
    }

    /** When the time that its request had is up. */
    double timeIsUpAt() {
        return startedAt + timeout;
    }

    /** It has waited until it may not be sent any more. */
    boolean isBelated() {
        return pools.now() > latestStart;
    }

    boolean mayRunTwice() {
        return isProbe() || pools.host().mayRunTwice(exchange);
    }

    boolean isProbe() {
        return exchange == null;
    }

    /** For the log. */
    @Override
    public String toString() {
        String what = isProbe() ? "a probe" : "id=" + exchange.command().id() + " attempt=" + attempt;
        return what + " server=" + server;
    }

    /** The bytes for the server, with the time that is left. */
    byte[] message() {
        long left = Math.max(1, Math.round((startedAt + timeout - pools.now()) * 1e3));
        return isProbe() ? ServerPools.PROBE : exchange.command().forward(left);
    }

    /** Whether this answer can be one to this execution. */
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

    void answered(Answer answer) {
        switch (answer.kind()) {
            case BUSY -> end(Api.Outcome.FULL, ResponseInfo.of(answer), null);
            case FAILED -> end(Api.Outcome.ERROR, ResponseInfo.of(answer), null);
            default -> end(Api.Outcome.OK, ResponseInfo.of(answer), answer.body());
        }
    }

    /** The first bytes of a large value are there. */
    void begun(Answer head, ValueFlow flow) {
        if (endsNow()) {
            pools.host().begun(exchange, attempt, server, startedAt, ResponseInfo.of(head), flow);
        } else {
            flow.abandon();
        }
    }

    /** The one place where it ends and gives back its timer; returns false where it has ended before. */
    private boolean endsNow() {
        boolean first = !over;
        over = true;
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
        } else if (!over) {
            link.abandon(this);
        }
    }

    /** Whether it may still begin: somebody waits for its answer. */
    boolean isWanted() {
        return isProbe() || exchange.isWanted();
    }

    private void giveUp(Api.Outcome outcome) {
        if (!over) {
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
        if (!endsNow()) {
            return;
        }
        if (isProbe()) {
            pools.host().probed(server, outcome, startedAt);
        } else {
            pools.host().ended(exchange, attempt, server, outcome, startedAt, info, body);
        }
    }
}
