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
 * A connection to a cache server for copies alone: one copy at a time, so that its time is the server's own. Shares nothing with
 * the connections of real requests.
 */
final class ShadowLink extends Link {
    /** What the link tells its owner. */
    interface Owner {
        double now();

        /** Called once. */
        void closed(ShadowLink link);
    }

    private final Owner owner;
    private final long server;
    private final AnswerParser parser;
    private ShadowRequest out;
    private boolean up;
    private boolean steady;
    private double usedAt;
    private boolean passing;

    /** @param room for values that are collected, shared by all copies */
    ShadowLink(Owner owner, long server, MemoryBudget room) {
        this.owner = owner;
        this.server = server;
        parser = new AnswerParser(room);
        usedAt = owner.now();
    }

    long server() {
        return server;
    }

    boolean isFree() {
        return up && out == null && !passing && !isClosed();
    }

    boolean isBusy() {
        return out != null;
    }

    /** It has served before: what comes first on a connection takes longer. */
    boolean isSteady() {
        return steady;
    }

    double usedAt() {
        return usedAt;
    }

    void ask(ShadowRequest ask) {
        out = ask;
        usedAt = owner.now();
        queue(ask.message());
        pump();
    }

    /** Gives up whatever is out: that says nothing against its server. */
    void drop() {
        ShadowRequest ended = out;
        out = null;
        close(CloseReason.UNUSED);
        if (ended != null) {
            ended.end(Api.Outcome.CANCELLED, owner.now());
        }
    }

    @Override
    protected void onUp() {
        up = true;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        if (passing) {
            parser.passOver(bytes);
            passing = !parser.endsFlow(bytes);
            return;
        }
        if (out == null) {
            if (unread() > 0) {
                throw new MalformedException("bytes that nothing asked for");
            }
            return;
        }
        Answer answer = parser.next(bytes, true);
        if (answer == null) {
            if (parser.isBlocked()) {
                // No room for it: too many large values at a time.
                drop();
            }
            return;
        }
        if (!out.accepts(answer)) {
            throw new MalformedException("an answer to nothing that was asked");
        }
        ShadowRequest ended = out;
        out = null;
        steady = true;
        usedAt = owner.now();
        passing = answer.flow() > 0;
        ended.answered(answer, usedAt);
        if (passing && !isClosed()) {
            onInput(bytes);
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        ShadowRequest ended = out;
        out = null;
        close(CloseReason.MALFORMED);
        if (ended != null) {
            ended.end(Api.Outcome.ERROR, owner.now());
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
        ShadowRequest lost = out;
        out = null;
        if (lost != null) {
            lost.end(Api.Outcome.RESET, owner.now());
        }
    }
}
