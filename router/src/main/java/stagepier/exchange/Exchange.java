package stagepier.exchange;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import stagepier.memcache.Command;

/**
 * One request, from the arrival of its last byte until it has its one final answer and its last execution has ended. It
 * is the only state that the client side and the server side share. Owned by {@link ModuleHost}.
 */
public final class Exchange {
    private final long id;
    private Command command;
    private final ReplyListener listener;
    private final double takenAt;
    private final double deadlineAt;
    private final List<ServerTransport.Transmission> transmissions = new ArrayList<>(2);
    private final AttemptHistory attempts = new AttemptHistory();
    private int outstanding;
    private boolean finished;
    private Future<?> overdueTimer;

    Exchange(long id, Command command, ReplyListener listener, double takenAt, double deadlineAt) {
        this.id = id;
        this.command = command;
        this.listener = listener;
        this.takenAt = takenAt;
        this.deadlineAt = deadlineAt;
    }

    /** Returns the command to forward; without the value of a write once the request is finished. */
    public Command command() {
        return command;
    }

    public long id() {
        return id;
    }

    ReplyListener listener() {
        return listener;
    }

    /** Returns when the request was accepted, in seconds of the {@link Clock}. */
    public double takenAt() {
        return takenAt;
    }

    /** Returns when the answer is due, in seconds of the {@link Clock}. */
    public double deadlineAt() {
        return deadlineAt;
    }

    /** Returns an execution of the request, counted from 0; null if it does not exist. */
    public ServerTransport.Transmission sending(int attempt) {
        return attempt < transmissions.size() ? transmissions.get(attempt) : null;
    }

    List<ServerTransport.Transmission> transmissions() {
        return transmissions;
    }

    AttemptHistory attempts() {
        return attempts;
    }

    /** Adds to the number of executions in flight and returns the new number. */
    int addOutstanding(int change) {
        outstanding += change;
        return outstanding;
    }

    boolean isFinished() {
        return finished;
    }

    /**
     * Returns whether an attempt may start now: the final answer is pending and the client is connected. Prevents
     * attempts for clients that have disconnected, including those whose end of connection has arrived but has not been
     * read yet.
     */
    public boolean isWanted() {
        return !finished && listener.isConnected();
    }

    void setOverdueTimer(Future<?> timer) {
        overdueTimer = timer;
    }

    /**
     * Marks the final answer as no longer pending, cancels the overdue timer, and drops the value of a write: attempts
     * that are still out keep this object until their answers arrive, and no further attempt starts.
     */
    void finish() {
        finished = true;
        command = command.withoutValue();
        overdueTimer.cancel(false);
    }
}
