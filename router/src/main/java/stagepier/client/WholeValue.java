package stagepier.client;

import java.nio.ByteBuffer;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.RingBuffer;
import stagepier.overload.MemoryBudget;

/**
 * Collects a streamed value until it is whole. A value that breaks off after its first bytes have reached the client
 * takes the connection with it, and so the answers behind it; one that is collected first does not. Takes its memory
 * from a budget that all links share, and waits until there is some.
 */
final class WholeValue {
    private enum State {
        WAITING,
        COLLECTING,
        WHOLE,
        FAILED
    }

    private final ValueFlow flow;
    private final MemoryBudget budget;
    /** Runs the given step of the link in a task of its own. */
    private final Scheduler scheduler;
    /** Called once, when the value is whole or will never be. */
    private final Runnable onEnd;

    private final RingBuffer arrived = new RingBuffer();
    private ByteBuffer value = ByteBuffer.allocate(0);
    private State state = State.WAITING;
    private boolean holdsMemory;

    /** Runs steps later on the event loop. */
    interface Scheduler {
        void execute(Runnable step);
    }

    WholeValue(ValueFlow flow, MemoryBudget budget, Scheduler scheduler, Runnable onEnd) {
        this.flow = flow;
        this.budget = budget;
        this.scheduler = scheduler;
        this.onEnd = onEnd;
    }

    /** Starts to collect, now or as soon as there is memory. */
    void start() {
        flow.onChange(this::onFlowChanged);
        claimMemory();
    }

    private void claimMemory() {
        if (state != State.WAITING) {
            return;
        }
        if (!budget.take(flow.length())) {
            budget.await(() -> scheduler.execute(this::claimMemory));
            return;
        }
        holdsMemory = true;
        state = State.COLLECTING;
        value = ByteBuffer.allocate(flow.length());
        onFlowChanged();
    }

    private void onFlowChanged() {
        if (state == State.COLLECTING) {
            collect();
        }
        if (flow.isFailed()) {
            end(State.FAILED);
        } else if (flow.isComplete()) {
            end(State.WHOLE);
        }
    }

    private void collect() {
        while (flow.moveTo(arrived) > 0) {
            while (arrived.size() > 0) {
                ByteBuffer piece = arrived.front();
                int length = piece.remaining();
                value.put(piece);
                arrived.skip(length);
            }
        }
    }

    private void end(State how) {
        if (state != State.WAITING && state != State.COLLECTING) {
            return;
        }
        state = how;
        if (how == State.FAILED) {
            release();
        }
        onEnd.run();
    }

    /** Takes no more bytes and ends the value as failed; has no effect once it has ended. */
    void giveUp() {
        if (state == State.WAITING || state == State.COLLECTING) {
            flow.abandon();
            end(State.FAILED);
        }
    }

    /** Gives the memory back, after the value was written or is not needed any more. */
    void release() {
        if (holdsMemory) {
            holdsMemory = false;
            budget.release(value.capacity());
        }
        value = ByteBuffer.allocate(0);
    }

    boolean isWhole() {
        return state == State.WHOLE;
    }

    /** Returns the value, which is whole. */
    byte[] bytes() {
        return value.array();
    }

    /** Returns the bytes of memory of a value that is being collected. */
    int collectingBytes() {
        return state == State.COLLECTING ? value.capacity() : 0;
    }
}
