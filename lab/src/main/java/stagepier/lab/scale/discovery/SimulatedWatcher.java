package stagepier.lab.scale.discovery;

import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;
import stagepier.lab.standin.Scheduler;

/**
 * A router's watch on discovery without the router: it makes the calls that the router's watch makes, when that makes
 * them, and keeps nothing of the answers but their version. Free of sockets and clock. One thread.
 *
 * <p>At an agent the first call of a connection asks what there is now; all others wait for a change. A call that fails,
 * is refused or is not answered in time ends the connection, and the next one comes after a wait by chance that grows.
 *
 * <p>Left out is the second connection of the real watch, which asks beside an answer that has begun and is not whole
 * when its call is due. {@link Events#slow} tells where that would have come.
 */
public final class SimulatedWatcher {
    /** A connection that has been asked for. */
    public interface Connection {
        /** Sends a request for that target; only once the connection is up. */
        void send(String target);

        void close();
    }

    /** Brings up connections; what becomes of each is told to the watcher. */
    public interface Connector {
        Connection open(SimulatedWatcher watcher);
    }

    /** Is told what the watcher does. */
    public interface Events {
        /** It has asked for a connection. */
        default void connecting() {}

        /** It has made a call. */
        default void called() {}

        /** A call or a connection failed. */
        default void failed() {}

        /** A call is due whose answer has begun and is not whole. */
        default void slow() {}

        /** It has had a whole answer of that version. */
        default void hasVersion(long version) {}
    }

    private static final String PATH = "/discovery/hosts";
    private static final int OK = 200;

    private final Scheduler scheduler;
    private final Connector connector;
    private final WatchTimes times;
    /** A number below its argument, by chance. */
    private final IntUnaryOperator random;

    private final Events events;
    private Connection connection;
    private boolean isUp;
    private boolean isStopped;
    /** Calls and connections by number: a timer of one that is over finds another. */
    private long step;
    /** Pieces of answers, counted for their timers. */
    private long pieces;

    private boolean isFresh;
    private boolean asksNow;
    private boolean hasBegun;
    private int span;
    private long version;

    /** @param version of the list that it knows, or -1 */
    public SimulatedWatcher(
            Scheduler scheduler,
            Connector connector,
            WatchTimes times,
            IntUnaryOperator random,
            Events events,
            long version) {
        this.scheduler = scheduler;
        this.connector = connector;
        this.times = times;
        this.random = random;
        this.events = events;
        this.version = version;
        span = times.retryFirst();
    }

    public long version() {
        return version;
    }

    /** Begins to watch. */
    public void start() {
        if (isStopped) {
            return;
        }
        events.connecting();
        isUp = false;
        hasBegun = false;
        connection = connector.open(this);
        due(times.connectWithin());
    }

    /** Ends its connection, and opens no other. */
    public void stop() {
        isStopped = true;
        drop();
    }

    /** A connection is there. */
    public void up(Connection which) {
        if (which == connection) {
            isUp = true;
            call();
        }
    }

    /** A connection did not come up, or has ended. */
    public void ended(Connection which) {
        if (which == connection) {
            fail();
        }
    }

    /** Something has come, whole or not: a call whose answer comes in pieces is not silent. */
    public void piece(Connection which) {
        if (which == connection && isUp) {
            hasBegun = true;
            long last = ++pieces;
            after(times.pieces(), () -> last == pieces, this::fail);
        }
    }

    /** A call is answered. */
    public void answered(Connection which, int status, long newVersion) {
        if (which != connection) {
            return;
        }
        if (status != OK) {
            fail();
            return;
        }
        span = times.retryFirst();
        isFresh |= asksNow || !times.asksFirst();
        version = newVersion;
        events.hasVersion(newVersion);
        call();
    }

    private void call() {
        events.called();
        asksNow = !isFresh && times.asksFirst();
        hasBegun = false;
        pieces++;
        int hold = asksNow ? times.now() : times.hold() - random.applyAsInt(times.holdSpread());
        connection.send(version < 0 ? PATH : PATH + "?from=" + version + "&hold_ms=" + hold);
        due(asksNow ? times.nowWithin() : hold + times.slack());
    }

    /** The step that begins now fails where it has not come to anything by then. */
    private void due(int ms) {
        long current = ++step;
        after(ms, () -> current == step, () -> {
            if (hasBegun) {
                events.slow();
            } else {
                fail();
            }
        });
    }

    private void after(int ms, BooleanSupplier isStillSo, Runnable then) {
        scheduler.at(scheduler.now() + ms / 1e3, () -> {
            if (connection != null && isStillSo.getAsBoolean()) {
                then.run();
            }
        });
    }

    private void fail() {
        isFresh = false;
        drop();
        if (isStopped) {
            return;
        }
        events.failed();
        int least = (int) (times.retryLeast() * span);
        int wait = least + 1 + random.applyAsInt(span - least);
        span = Math.min(times.retryMost(), span * 2);
        scheduler.at(scheduler.now() + wait / 1e3, this::start);
    }

    private void drop() {
        step++;
        pieces++;
        Connection old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
    }
}
