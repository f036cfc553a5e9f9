package stagepier.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.overload.LoopDelay;
import stagepier.tasks.GuardedTask;

/**
 * The module's events in the order in which they arose, one at a time: what an action brings about at once is queued, for
 * the module must not be called from inside its own event. While the list of servers may be old, only lists pass.
 */
final class EventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(EventQueue.class);

    private final Clock clock;
    private final LoopDelay delay;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    /** Lists that came while all else has to wait. */
    private final ArrayDeque<Runnable> lists = new ArrayDeque<>();

    private final List<Runnable> onFreshList = new ArrayList<>();
    /** Brings the list up to date, then runs what it is given. */
    private Consumer<Runnable> refresh = Runnable::run;

    private boolean running;
    /** The process stood still and the list may be old: the module is told nothing but the list. */
    private boolean listMayBeOld;

    private long standstills;

    EventQueue(Clock clock, LoopDelay delay) {
        this.clock = clock;
        this.delay = delay;
    }

    /** What brings the list up to date after this process stood still, and then runs what it is given. */
    void connectList(Consumer<Runnable> refresher) {
        refresh = refresher;
    }

    /** Runs an event now or, inside another one or while the list may be old, later. */
    void post(Runnable event) {
        events.add(event);
        if (!running && !listMayBeOld()) {
            drain();
        }
    }

    /** Runs an event that brings a list: ahead of all that waits for it. */
    void postList(Runnable event) {
        (listMayBeOld() ? lists : events).add(event);
        if (!running) {
            drain();
        }
    }

    /** Whether an event is running now. */
    boolean isRunning() {
        return running;
    }

    /** How often the process stood still for so long that the list had to be asked for. */
    long standstills() {
        return standstills;
    }

    /** Whether nothing may be sent before the list is fresh; that is then run as soon as it is. */
    boolean mustWaitForList(Runnable then) {
        if (listMayBeOld()) {
            onFreshList.add(then);
        }
        return listMayBeOld;
    }

    private void drain() {
        running = true;
        try {
            while (!lists.isEmpty() || !listMayBeOld && !events.isEmpty()) {
                run((lists.isEmpty() ? events : lists).remove());
            }
        } finally {
            running = false;
        }
    }

    /**
     * Whether the list may be old since this process stood still. Guards against deciding, when it goes on, by who was
     * there before: what discovery told meanwhile is read first.
     */
    private boolean listMayBeOld() {
        if (!listMayBeOld && delay.hasStalled(clock.now())) {
            listMayBeOld = true;
            standstills++;
            refresh.accept(this::listIsFresh);
        }
        return listMayBeOld;
    }

    private void listIsFresh() {
        listMayBeOld = false;
        List<Runnable> due = List.copyOf(onFreshList);
        onFreshList.clear();
        due.forEach(one -> new GuardedTask("work that waited for the list", one).run());
        if (!running) {
            drain();
        }
    }

    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // The router must outlive a fault: a request left without an answer has its backstop.
            LOG.error("an event failed", e);
        }
    }
}
