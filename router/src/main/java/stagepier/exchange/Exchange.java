package stagepier.exchange;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import stagepier.memcache.Command;

/**
 * One request from its last byte to its one final answer, and on to the outcome of its last execution. The only
 * thing that client side and server side share. Owned by {@link ModuleHost}.
 */
public final class Exchange {
    private final long id;
    private final Command command;
    private final ReplyListener listener;
    private final double takenAt;
    private final double deadlineAt;
    private final List<ServerTransport.Transmission> sendings = new ArrayList<>(2);
    private final AttemptHistory attempts = new AttemptHistory();
    private int outstanding;
    private boolean finished;
    private Future<?> backstop;

    Exchange(long id, Command command, ReplyListener listener, double takenAt, double deadlineAt) {
        this.id = id;
        this.command = command;
        this.listener = listener;
        this.takenAt = takenAt;
        this.deadlineAt = deadlineAt;
    }

    /** What is to be passed on. */
    public Command command() {
        return command;
    }

    public long id() {
        return id;
    }

    ReplyListener listener() {
        return listener;
    }

    /** When it was taken, in seconds of the {@link Clock}. */
    public double takenAt() {
        return takenAt;
    }

    /** By when its answer is due. */
    public double deadlineAt() {
        return deadlineAt;
    }

    /** An execution of it, counted from 0; null where there is no such. */
    public ServerTransport.Transmission sending(int attempt) {
        return attempt < sendings.size() ? sendings.get(attempt) : null;
    }

    List<ServerTransport.Transmission> sendings() {
        return sendings;
    }

    AttemptHistory attempts() {
        return attempts;
    }

    /** Counts executions begun and ended; returns how many are out. */
    int outstanding(int change) {
        outstanding += change;
        return outstanding;
    }

    boolean isFinished() {
        return finished;
    }

    /**
     * Whether an attempt for it may begin now: an answer is owed, and its client is there. Guards against attempts for clients
     * that have gone, also where the end of their connection lies here unread.
     */
    public boolean isWanted() {
        return !finished && listener.isConnected();
    }

    void backstop(Future<?> timer) {
        backstop = timer;
    }

    /** From here on no answer is owed: its timer is given back. */
    void finish() {
        finished = true;
        backstop.cancel(false);
    }
}
