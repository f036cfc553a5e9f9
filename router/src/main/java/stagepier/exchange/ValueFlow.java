package stagepier.exchange;

import stagepier.memcache.RingBuffer;

/**
 * Streams a large value from a server link to a client link without buffering it whole. The client side takes bytes
 * from the server side as it has room; bytes that are not taken stay in the server link, which then stops reading. The
 * flow ends once: complete, failed or abandoned.
 */
public final class ValueFlow {
    /** The server side of the flow. */
    public interface Source {
        /** Moves the bytes that have arrived, as far as there is room for them; returns their number. */
        int moveTo(RingBuffer to);

        /** Called when the client side takes no more bytes. */
        void abandoned();
    }

    private enum State {
        OPEN,
        COMPLETE,
        FAILED,
        ABANDONED
    }

    private final int length;
    private final Source source;
    private Runnable listener = () -> {};
    private State state = State.OPEN;

    /** @param length length of the value in bytes */
    public ValueFlow(int length, Source source) {
        this.length = length;
        this.source = source;
    }

    public int length() {
        return length;
    }

    // ---- client side --------------------------------------------------------------------------------------
    /** Sets the callback that runs when more bytes are available or the flow has ended. */
    public void onChange(Runnable call) {
        listener = call;
    }

    /** Takes the bytes that are available; returns their number. */
    public int moveTo(RingBuffer to) {
        return state == State.OPEN ? source.moveTo(to) : 0;
    }

    /** Returns whether the value has arrived whole and well-formed. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns whether the value will never arrive whole. */
    public boolean isFailed() {
        return state == State.FAILED;
    }

    /** Ends the flow because the client has disconnected. */
    public void abandon() {
        if (state == State.OPEN) {
            state = State.ABANDONED;
            source.abandoned();
        }
    }

    // ---- server side --------------------------------------------------------------------------------------
    /** Returns whether the client side takes no more bytes. */
    public boolean isAbandoned() {
        return state == State.ABANDONED;
    }

    /** Called when more bytes have arrived. */
    public void onData() {
        if (state == State.OPEN) {
            listener.run();
        }
    }

    /** Called when the value ended well-formed and all of it was moved. */
    public void onComplete() {
        end(State.COMPLETE);
    }

    /** Called when the cache server will not send the rest of the value. */
    public void onFailure() {
        end(State.FAILED);
    }

    private void end(State how) {
        if (state == State.OPEN) {
            state = how;
            listener.run();
        }
    }
}
