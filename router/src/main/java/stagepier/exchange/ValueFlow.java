package stagepier.exchange;

import stagepier.memcache.RingBuffer;

/**
 * A large value on its way from a cache server's link to a client's. Neither holds it whole: the client's side takes bytes off
 * the server's side as it has room, and what it does not take stays there, so that reading stops. Ends once: whole, broken or
 * abandoned.
 */
public final class ValueFlow {
    /** The server's side. */
    public interface Source {
        /** Moves what has come, as far as there is room for it; returns how many bytes. */
        int moveTo(RingBuffer to);

        /** Nobody takes the rest. */
        void abandoned();
    }

    private enum State {
        OPEN,
        WHOLE,
        BROKEN,
        ABANDONED
    }

    private final int length;
    private final Source source;
    private Runnable changed = () -> {};
    private State state = State.OPEN;

    /** @param length of the value in bytes */
    public ValueFlow(int length, Source source) {
        this.length = length;
        this.source = source;
    }

    public int length() {
        return length;
    }

    // ---- the client's side --------------------------------------------------------------------------------
    /** Calls back when there is more to take, or it has ended. */
    public void onChange(Runnable call) {
        changed = call;
    }

    /** Takes what there is; returns how many bytes. */
    public int moveTo(RingBuffer to) {
        return state == State.OPEN ? source.moveTo(to) : 0;
    }

    /** All of it has come and was good to its end. */
    public boolean isComplete() {
        return state == State.WHOLE;
    }

    /** It will never be whole. */
    public boolean isFailed() {
        return state == State.BROKEN;
    }

    /** The client is gone. */
    public void abandon() {
        if (state == State.OPEN) {
            state = State.ABANDONED;
            source.abandoned();
        }
    }

    // ---- the server's side --------------------------------------------------------------------------------
    /** Nobody takes the rest. */
    public boolean isAbandoned() {
        return state == State.ABANDONED;
    }

    /** More has come. */
    public void onData() {
        if (state == State.OPEN) {
            changed.run();
        }
    }

    /** It was good to its end, and all of it was moved. */
    public void onComplete() {
        end(State.WHOLE);
    }

    /** The cache server has not given all of it, and will not. */
    public void onFailure() {
        end(State.BROKEN);
    }

    private void end(State how) {
        if (state == State.OPEN) {
            state = how;
            changed.run();
        }
    }
}
