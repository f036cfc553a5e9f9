package stagepier.lab.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;

/** What discovery does with calls, whoever brings them: free of sockets and clock. One thread. */
public final class DiscoveryService {
    /** Whoever made a call and waits for the one answer to it. */
    public interface Caller {
        /** Whether its connection is still there. */
        boolean isConnected();

        void answer(HostList.Message message);

        /** It waited too long: 503. */
        void refuse();

        /** Its connection is reset. */
        void reset();
    }

    /** A call that waits for its turn, or for what is newer than what it has. */
    private record Call(Caller caller, int from, double until, double since, boolean isWatch) {
        Call queuedAsWatch(double now) {
            return new Call(caller, from, until, now, true);
        }
    }

    private final Scheduler scheduler;
    private final DiscoveryBehaviour manners;
    private final HostList list = new HostList();
    /** Calls that wait for their turn. */
    private final Queue<Call> queue = new ArrayDeque<>();
    /** Calls that had their turn and wait for what is newer. */
    private final Set<Call> watches = new LinkedHashSet<>();

    private double freeAt = Double.NEGATIVE_INFINITY;
    /** The call that is worked on; null while none is. */
    private Call inWork;

    private boolean isDown;
    private long refused;
    private long wasted;

    public DiscoveryService(Scheduler scheduler, DiscoveryBehaviour manners) {
        this.scheduler = scheduler;
        this.manners = manners;
    }

    public HostList list() {
        return list;
    }

    /** Calls that were answered with 503 or reset since they waited too long or too many did. */
    public long refused() {
        return refused;
    }

    /** Calls that were worked on although their connection had ended. */
    public long wasted() {
        return wasted;
    }

    /** Something has changed. */
    public void publish(HostList.Entry entry) {
        list.publish(entry);
        answerWatches();
    }

    /** An outage begins or ends. */
    public void down(boolean down) {
        isDown = down;
        if (!down) {
            answerWatches();
        } else if (manners.endsWatches()) {
            List<Call> ended = new ArrayList<>(watches);
            ended.addAll(queue);
            if (inWork != null) {
                ended.add(inWork);
            }
            watches.clear();
            queue.clear();
            inWork = null;
            freeAt = Double.NEGATIVE_INFINITY;
            ended.forEach(c -> c.caller().reset());
        }
    }

    /** Whether whoever calls now is reset. */
    public boolean resetsAll() {
        return isDown && manners.endsWatches();
    }

    /**
     * A call.
     *
     * @param from the version that the caller has; below 0 where it has none
     * @param hold seconds for which it waits for what is newer
     */
    public void call(Caller caller, int from, double hold) {
        double now = scheduler.now();
        Call call = new Call(caller, from, now + hold, now, false);
        if (resetsAll()) {
            caller.reset();
        } else if (isDown) {
            // Silent: a call that has no list yet is never answered, others once the outage is over.
            if (from >= 0 && from <= list.generation()) {
                hold(call);
            }
        } else if (queue.size() >= manners.mostWaiting()) {
            refused++;
            caller.reset();
        } else {
            queue.add(call);
            work();
        }
    }

    /** All watches that have something to be told, or have waited for as long as they asked. */
    private void answerWatches() {
        if (isDown) {
            return;
        }
        double now = scheduler.now();
        List<Call> due = new ArrayList<>();
        for (Call w : watches) {
            if (!list.isNewest(w.from()) || now >= w.until()) {
                due.add(w);
            }
        }
        due.forEach(this::takeUp);
        work();
    }

    private void takeUp(Call watch) {
        watches.remove(watch);
        if (watch.caller().isConnected()) {
            queue.add(watch.queuedAsWatch(scheduler.now()));
        }
    }

    private void hold(Call call) {
        watches.add(call);
        scheduler.at(call.until(), () -> {
            if (!isDown && watches.contains(call)) {
                takeUp(call);
                work();
            }
        });
    }

    /** Works through the queue in turn; where a timer came late it catches up, so that the pace is kept. */
    private void work() {
        while (inWork == null && !queue.isEmpty()) {
            Call call = queue.poll();
            double start = Math.max(freeAt, call.since());
            if (!call.isWatch() && start - call.since() > manners.longestWait()) {
                refused++;
                call.caller().refuse();
                continue;
            }
            if (!call.caller().isConnected()) {
                if (manners.noticesEnded()) {
                    continue;
                }
                wasted++;
            }
            freeAt = start + cost(call);
            if (freeAt <= scheduler.now()) {
                finish(call);
            } else {
                inWork = call;
                scheduler.at(freeAt, () -> {
                    if (inWork == call) {
                        inWork = null;
                        finish(call);
                        work();
                    }
                });
            }
        }
    }

    private double cost(Call call) {
        int lines = list.isNewest(call.from())
                ? 0
                : list.since(call.from()).entries().size();
        return (call.isWatch() ? 0 : manners.perCall()) + manners.perLine() * lines;
    }

    private void finish(Call call) {
        if (!call.caller().isConnected()) {
            return;
        }
        if (!call.isWatch() && list.isNewest(call.from()) && scheduler.now() < call.until()) {
            hold(call);
        } else {
            call.caller().answer(list.since(call.from()));
        }
    }
}
