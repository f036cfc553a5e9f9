package stagepier.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.logging.FaultLog;
import stagepier.overload.LoopDelay;
import stagepier.tasks.GuardedTask;

/**
 * Runs the module's events one at a time, in the order in which they arise. An event that arises while another one runs
 * is queued, because the module must not be called from inside its own event. While the server list may be stale, only
 * events that update the list run.
 */
final class EventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(EventQueue.class);

    private final Clock clock;
    private final LoopDelay delay;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    /** List updates that arrived while all other events wait. */
    private final ArrayDeque<Runnable> listEvents = new ArrayDeque<>();

    private final List<Runnable> waitingForList = new ArrayList<>();
    /** Refreshes the server list, then runs the given callback. */
    private Consumer<Runnable> refresh = Runnable::run;

    private boolean running;
    /**
     * Set after this process stalled, until the server list is refreshed; only list updates are delivered meanwhile.
     */
    private boolean listMayBeStale;

    private long stalls;

    EventQueue(Clock clock, LoopDelay delay) {
        this.clock = clock;
        this.delay = delay;
    }

    /** Sets the function that refreshes the server list after this process stalled and then runs the given callback. */
    void connectList(Consumer<Runnable> refresher) {
        refresh = refresher;
    }

    /** Runs an event now, or later if another event is running or the server list may be stale. */
    void post(Runnable event) {
        events.add(event);
        if (!running && !listMayBeStale()) {
            drain();
        }
    }

    /** Runs an event that updates the server list, ahead of the events that wait for a fresh list. */
    void postList(Runnable event) {
        (listMayBeStale() ? listEvents : events).add(event);
        if (!running) {
            drain();
        }
    }

    /** Returns whether an event is running now. */
    boolean isRunning() {
        return running;
    }

    /** Returns how often the process stalled for so long that the server list had to be refreshed. */
    long stalls() {
        return stalls;
    }

    /** Returns whether nothing may be sent before the server list is refreshed; if so, runs {@code then} after that. */
    boolean mustWaitForList(Runnable then) {
        if (listMayBeStale()) {
            waitingForList.add(then);
        }
        return listMayBeStale;
    }

    private void drain() {
        running = true;
        try {
            while (!listEvents.isEmpty() || !listMayBeStale && !events.isEmpty()) {
                run((listEvents.isEmpty() ? events : listEvents).remove());
            }
        } finally {
            running = false;
        }
    }

    /**
     * Returns whether the server list may be stale because this process stalled. Prevents decisions after a stall from
     * using the list of before it: the changes that discovery reported meanwhile are read first.
     */
    private boolean listMayBeStale() {
        if (!listMayBeStale && delay.hasStalled(clock.now())) {
            listMayBeStale = true;
            stalls++;
            refresh.accept(this::onListRefreshed);
        }
        return listMayBeStale;
    }

    private void onListRefreshed() {
        listMayBeStale = false;
        List<Runnable> due = List.copyOf(waitingForList);
        waitingForList.clear();
        due.forEach(task -> new GuardedTask("task that waited for a fresh server list", task).run());
        if (!running) {
            drain();
        }
    }

    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            // A fault in one event must not stop the router; a request left without an answer is answered by its
            // overdue timer.
            FaultLog.error(LOG, "an event of the decision module failed; continuing with the next event", e);
        }
    }
}
