package stagepier.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether this process serves, and how far a drain has progressed. The single owner of that state for PAUSE, SIGTERM
 * and the old process of an upgrade. Performs no I/O and reads no clock; all times are in seconds.
 *
 * <pre>
 * STARTING --started--> SERVING --pause--> PAUSED --resume--> SERVING
 *     any state --end--> ENDING, which is final
 * </pre>
 *
 * A drain has three phases. During GRACE everything is served as before, because new clients still arrive. During
 * CLOSE_IDLE each link is closed once nothing is pending on it. During LAST the remaining links take no more commands,
 * finish those they took, and close. A client that sends continuously can delay the close of its link only until
 * {@link #closesAllLinks}.
 */
public final class Drain {
    /** The state of this process. */
    public enum State {
        STARTING,
        SERVING,
        PAUSED,
        ENDING
    }

    /** Called after each change of state. */
    @FunctionalInterface
    public interface Listener {
        void changed(State from, State to);
    }

    /** The progress of a drain. */
    public enum Phase {
        NONE,
        GRACE,
        CLOSE_IDLE,
        LAST
    }

    /** In seconds. New clients are still directed here for 0.2 s after a call to pause. */
    private static final double PAUSE_GRACE = 0.3;
    /**
     * In seconds after a call to pause. Clients must be disconnected 4 s after the call, and requests may take 2.5 s.
     */
    private static final double PAUSE_LAST_FROM = 1.2;
    /**
     * In seconds after a call to pause. From then on no client may be connected that is idle or has sent a request
     * recently.
     */
    private static final double PAUSE_CLOSED_BY = 4;
    /** In seconds. A request within the last 2 s counts as recent; the rest is a margin for its transmission. */
    private static final double RECENT_REQUEST = 2.1;
    /** In seconds. Clients still connect and send requests for this long after the process was asked to stop. */
    private static final double END_GRACE = 0.7;
    /**
     * In seconds. Upper limit for the longest deadline when the time is computed after which a process may be killed.
     */
    private static final double DEADLINE_MAX = 3;
    /**
     * In seconds. Links of clients that send continuously are closed this long before the deadline, as a margin for
     * transmission and for a late check.
     */
    private static final double FORCED_CLOSE_LEAD = 0.6;

    /** Fraction of the CLOSE_IDLE phase over which the closing of links is spread. */
    private static final double SPREAD_FRACTION = 0.7;

    private final List<Listener> listeners = new ArrayList<>();
    private State state = State.STARTING;
    private final double endClosedBy;
    private boolean pausedEarly;
    /** Time of the call to pause that is in force; NaN if there is none. */
    private double pausedAt = Double.NaN;
    /** Time at which the current drain began. */
    private double since;

    private double grace;
    private double lastFrom;

    /** Creates one for settings with the longest deadline that is taken into account. */
    public Drain() {
        this(DEADLINE_MAX);
    }

    /**
     * @param longestDeadline longest deadline of all classes: a process that ends may be killed this long after its
     *     last moment of service
     */
    public Drain(double longestDeadline) {
        endClosedBy = END_GRACE + Math.min(longestDeadline, DEADLINE_MAX);
    }

    /** Reports that clients can be served from now on. */
    public void started() {
        if (state == State.STARTING) {
            enter(pausedEarly ? State.PAUSED : State.SERVING);
        }
    }

    /**
     * Starts a pause, which closes client links. A repeated call changes nothing. Returns whether a pause is in force.
     */
    public boolean pause(double now) {
        if (Double.isNaN(pausedAt)) {
            pausedAt = now;
        }
        if (state == State.STARTING) {
            pausedEarly = true;
        } else if (state == State.SERVING) {
            startDrain(now, PAUSE_GRACE, PAUSE_LAST_FROM);
            enter(State.PAUSED);
        }
        return true;
    }

    /**
     * Ends a pause, or confirms that there is none. Returns false if the process is ending, which cannot be reverted.
     */
    public boolean resume() {
        pausedEarly = false;
        if (state != State.ENDING) {
            pausedAt = Double.NaN;
        }
        if (state == State.PAUSED) {
            enter(State.SERVING);
        }
        return state != State.ENDING;
    }

    /**
     * Starts the end of this process.
     *
     * @param handedOver whether no new client connects here from now on, because the client socket is shared with
     *     another process
     */
    public void end(double now, boolean handedOver) {
        if (state == State.ENDING) {
            return;
        }
        boolean alreadyDraining = state == State.PAUSED;
        startDrain(now, handedOver || alreadyDraining ? 0 : END_GRACE, END_GRACE);
        enter(State.ENDING);
    }

    /** Registers a listener; listeners are called in the order of their registration. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    private void enter(State next) {
        State before = state;
        state = next;
        listeners.forEach(listener -> listener.changed(before, next));
    }

    private void startDrain(double now, double newGrace, double newLastFrom) {
        since = now;
        grace = newGrace;
        lastFrom = newLastFrom;
    }

    /**
     * Seconds until the next link may be closed, so that the last of the given number closes well before the end of the
     * phase. Spreads the load on the next process, which has just started, instead of having all clients reconnect
     * there at once.
     */
    public double nextCloseIn(double now, int links) {
        double end = since + grace + SPREAD_FRACTION * (lastFrom - grace);
        return Math.max(0, (end - now) / Math.max(1, links));
    }

    public State state() {
        return state;
    }

    /** Whether client links are closed, because the process is paused or ending. */
    public boolean isDraining() {
        return state == State.PAUSED || state == State.ENDING;
    }

    /** Whether this process is about to end and rejects new requests. */
    public boolean isEndingNow(double now) {
        return state == State.ENDING && phase(now) == Phase.LAST;
    }

    /**
     * Time from which on no client may be connected that is idle or has sent a request recently; infinite while no
     * drain is on.
     */
    public double idleCloseDeadline() {
        return Math.min(pauseDeadline(), endDeadline());
    }

    private double pauseDeadline() {
        return Double.isNaN(pausedAt) ? Double.POSITIVE_INFINITY : pausedAt + PAUSE_CLOSED_BY;
    }

    private double endDeadline() {
        return state == State.ENDING ? since + endClosedBy : Double.POSITIVE_INFINITY;
    }

    /**
     * Whether a request that arrives now is rejected, on any link, since its answer might come after the end of the
     * drain.
     */
    public boolean rejectsRequests(double now) {
        return isEndingNow(now) || now >= pauseDeadline() - RECENT_REQUEST;
    }

    /** Whether links are closed as soon as no answer is owed on them, even if their clients keep sending. */
    public boolean closesAllLinks(double now) {
        return switch (phase(now)) {
            case NONE, GRACE -> false;
            case CLOSE_IDLE -> now >= pauseDeadline() - FORCED_CLOSE_LEAD;
            case LAST -> now >= idleCloseDeadline() - FORCED_CLOSE_LEAD;
        };
    }

    /** Whether clients may be directed to this process. */
    public boolean isReady() {
        return state == State.SERVING;
    }

    /**
     * The answer to a client that checks whether this router is alive. A process that is ending without a pause still
     * serves the clients that connect.
     */
    public boolean reportsAlive() {
        return isReady() || state == State.ENDING && Double.isNaN(pausedAt);
    }

    public Phase phase(double now) {
        if (!isDraining()) {
            return Phase.NONE;
        }
        double elapsed = now - since;
        return elapsed < grace ? Phase.GRACE : elapsed < lastFrom ? Phase.CLOSE_IDLE : Phase.LAST;
    }
}
