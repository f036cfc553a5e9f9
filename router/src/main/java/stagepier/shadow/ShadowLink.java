package stagepier.shadow;

import stagepier.Api;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.Answer;
import stagepier.memcache.AnswerParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;
import stagepier.overload.MemoryBudget;

/**
 * A connection to a cache server that carries copies only, one at a time, so that the measured time is that of the
 * server alone. Shares nothing with the connections of real requests.
 */
final class ShadowLink extends Link {
    /** Clock and close callback that the link uses. */
    interface Owner {
        double now();

        /** Called once, when the link has closed. */
        void closed(ShadowLink link);
    }

    private final Owner owner;
    private final long server;
    private final AnswerParser parser;
    private ShadowRequest inFlight;
    private boolean connected;
    private boolean warm;
    private double usedAt;
    private boolean discarding;

    /** @param memory memory budget for buffered values, shared by all copies */
    ShadowLink(Owner owner, long server, MemoryBudget memory) {
        this.owner = owner;
        this.server = server;
        parser = new AnswerParser(memory);
        usedAt = owner.now();
    }

    long server() {
        return server;
    }

    boolean isFree() {
        return connected && inFlight == null && !discarding && !isClosed();
    }

    boolean isBusy() {
        return inFlight != null;
    }

    /** Returns whether the link has served a request before: the first request on a connection takes longer. */
    boolean isWarm() {
        return warm;
    }

    double usedAt() {
        return usedAt;
    }

    void send(ShadowRequest request) {
        inFlight = request;
        usedAt = owner.now();
        queue(request.message());
        pump();
    }

    /** Closes the link and cancels the request in flight, which does not count against the server. */
    void abandon() {
        ShadowRequest ended = inFlight;
        inFlight = null;
        close(CloseReason.UNUSED);
        if (ended != null) {
            ended.complete(Api.Outcome.CANCELLED, owner.now());
        }
    }

    @Override
    protected void onUp() {
        connected = true;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        if (discarding) {
            parser.passOver(bytes);
            discarding = !parser.endsFlow(bytes);
            return;
        }
        if (inFlight == null) {
            if (unread() > 0) {
                throw new MalformedException("unexpected input while no request is in flight");
            }
            return;
        }
        Answer answer = parser.next(bytes, true);
        if (answer == null) {
            if (parser.isBlocked()) {
                // The memory budget is used up: too many large values at the same time.
                abandon();
            }
            return;
        }
        if (!inFlight.accepts(answer)) {
            throw new MalformedException("answer does not match the request in flight");
        }
        ShadowRequest ended = inFlight;
        inFlight = null;
        warm = true;
        usedAt = owner.now();
        discarding = answer.flow() > 0;
        ended.onAnswer(answer, usedAt);
        if (discarding && !isClosed()) {
            onInput(bytes);
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        ShadowRequest ended = inFlight;
        inFlight = null;
        close(CloseReason.MALFORMED);
        if (ended != null) {
            ended.complete(Api.Outcome.ERROR, owner.now());
        }
    }

    @Override
    protected boolean wantsInput() {
        return true;
    }

    @Override
    protected void fill() {}

    @Override
    protected void onWritten() {}

    @Override
    protected void onClosed() {
        parser.drop();
        owner.closed(this);
        ShadowRequest lost = inFlight;
        inFlight = null;
        if (lost != null) {
            lost.complete(Api.Outcome.RESET, owner.now());
        }
    }
}
