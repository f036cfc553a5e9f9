package stagepier.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether this process serves, and how far a drain has come: the one owner of that for PAUSE, SIGTERM and the old side of
 * an upgrade. Free of I/O and clock; all times in seconds.
 *
 * <pre>
 * STARTING --started--> SERVING --pause--> PAUSED --resume--> SERVING
 *     any state --end--> ENDING, which is the last
 * </pre>
 *
 * A drain goes through three phases. While it LINGERs all is served as before, for new clients still come. Then links
 * LEAVE: each is closed once nothing is open on it. At LAST the links that are there take no more commands, finish
 * what they took, and close. A client that goes on sending can put off the end of its link only until
 * {@link #closesAllLinks}.
 */
public final class Drain {
    /** What this process does. */
    public enum State {
        STARTING,
        SERVING,
        PAUSED,
        ENDING
    }

    /** Is told of each change of state, after it. */
    @FunctionalInterface
    public interface Listener {
        void changed(State from, State to);
    }

    /** How far a drain has come. */
    public enum Phase {
        NONE,
        LINGER,
        LEAVE,
        LAST
    }

    /** After a call to pause, new clients are still sent here for 0.2 s. */
    private static final double PAUSE_LINGERS = 0.3;
    /** Clients have to be gone 4 s after the call, and requests may take 2.5 s. */
    private static final double PAUSE_LASTS_FROM = 1.2;
    /** After a call to pause nobody may be held for longer who is idle or has asked lately. */
    private static final double PAUSE_GONE_BY = 4;
    /** A request of the last 2 s counts as asked lately; a little more, for its way here. */
    private static final double ASKED_LATELY = 2.1;
    /** After the word to stop, clients still come and ask for so long. */
    private static final double END_LINGERS = 0.7;
    /** The longest deadline is taken as this where it is longer, when it is reckoned how soon a process may be killed. */
    private static final double DEADLINE_MOST = 3;
    /** Links of clients that go on sending are ended so long before nobody may be held: for the way, and a late look. */
    private static final double CLOSES_BEFORE = 0.6;

    /** Part of the phase in which links leave over which they are spread. */
    private static final double SPREAD = 0.7;

    private final List<Listener> listeners = new ArrayList<>();
    private State state = State.STARTING;
    private final double endGoneBy;
    private boolean pausedEarly;
    /** When the call to pause came that holds; NaN where there is none. */
    private double pausedAt = Double.NaN;
    /** When the drain that is on began. */
    private double since;

    private double lingers;
    private double lastFrom;

    /** One for settings that allow the longest deadline that counts. */
    public Drain() {
        this(DEADLINE_MOST);
    }

    /** @param longestDeadline of any class: a process that ends may be killed so long after its last moment of service */
    public Drain(double longestDeadline) {
        endGoneBy = END_LINGERS + Math.min(longestDeadline, DEADLINE_MOST);
    }

    /** Clients can be served from now on. */
    public void started() {
        if (state == State.STARTING) {
            become(pausedEarly ? State.PAUSED : State.SERVING);
        }
    }

    /** Sends clients away; again is the same. Returns whether that holds. */
    public boolean pause(double now) {
        if (Double.isNaN(pausedAt)) {
            pausedAt = now;
        }
        if (state == State.STARTING) {
            pausedEarly = true;
        } else if (state == State.SERVING) {
            begin(now, PAUSE_LINGERS, PAUSE_LASTS_FROM);
            become(State.PAUSED);
        }
        return true;
    }

    /** Ends a pause, or confirms that there is none. Returns whether that holds: a process that ends does not come back. */
    public boolean resume() {
        pausedEarly = false;
        if (state != State.ENDING) {
            pausedAt = Double.NaN;
        }
        if (state == State.PAUSED) {
            become(State.SERVING);
        }
        return state != State.ENDING;
    }

    /**
     * This process ends.
     *
     * @param handedOver nobody new comes here from now on: the clients' socket is another process' as well
     */
    public void end(double now, boolean handedOver) {
        if (state == State.ENDING) {
            return;
        }
        boolean goesOn = state == State.PAUSED;
        begin(now, handedOver || goesOn ? 0 : END_LINGERS, END_LINGERS);
        become(State.ENDING);
    }

    /** Tells of each change from now on; in the order in which listeners came. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    private void become(State next) {
        State before = state;
        state = next;
        listeners.forEach(listener -> listener.changed(before, next));
    }

    private void begin(double now, double linger, double last) {
        since = now;
        lingers = linger;
        lastFrom = last;
    }

    /**
     * Seconds after which the next link may be sent away, so that the last of so many goes well before the end of the phase.
     * Guards against all clients coming anew at the next process at once, which has just started.
     */
    public double nextCloseIn(double now, int links) {
        double end = since + lingers + SPREAD * (lastFrom - lingers);
        return Math.max(0, (end - now) / Math.max(1, links));
    }

    public State state() {
        return state;
    }

    /** Whether clients are sent away: paused or about to end. */
    public boolean isOn() {
        return state == State.PAUSED || state == State.ENDING;
    }

    /** Whether this process is about to end and serves nothing new. */
    public boolean isEndingNow(double now) {
        return state == State.ENDING && phase(now) == Phase.LAST;
    }

    /** When nobody may be held any more who is idle or has asked lately; infinite while no drain is on. */
    public double idleCloseDeadline() {
        return Math.min(goneByPause(), goneByEnd());
    }

    private double goneByPause() {
        return Double.isNaN(pausedAt) ? Double.POSITIVE_INFINITY : pausedAt + PAUSE_GONE_BY;
    }

    private double goneByEnd() {
        return state == State.ENDING ? since + endGoneBy : Double.POSITIVE_INFINITY;
    }

    /** Whether a request that comes now is turned away, on whatever link: its answer could come after the drain's last moment. */
    public boolean rejectsRequests(double now) {
        return isEndingNow(now) || now >= goneByPause() - ASKED_LATELY;
    }

    /** Whether links are ended whatever their clients still send, as soon as nothing is owed on them. */
    public boolean closesAllLinks(double now) {
        return switch (phase(now)) {
            case NONE, LINGER -> false;
            case LEAVE -> now >= goneByPause() - CLOSES_BEFORE;
            case LAST -> now >= idleCloseDeadline() - CLOSES_BEFORE;
        };
    }

    /** Whether clients may be sent here. */
    public boolean isReady() {
        return state == State.SERVING;
    }

    /** What a client is told that asks whether this router is alive: one that only ends serves on for those that come. */
    public boolean reportsAlive() {
        return isReady() || state == State.ENDING && Double.isNaN(pausedAt);
    }

    public Phase phase(double now) {
        if (!isOn()) {
            return Phase.NONE;
        }
        double on = now - since;
        return on < lingers ? Phase.LINGER : on < lastFrom ? Phase.LEAVE : Phase.LAST;
    }
}
