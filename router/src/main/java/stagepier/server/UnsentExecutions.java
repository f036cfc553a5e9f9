package stagepier.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import stagepier.Api;

/**
 * The executions that wait on a link, in order. No byte of them has been handed to the socket, so they never ran.
 * Callbacks that end or move an execution may modify this queue.
 */
final class UnsentExecutions {
    private final ArrayDeque<Execution> queue = new ArrayDeque<>();

    void add(Execution execution) {
        queue.add(execution);
    }

    void remove(Execution execution) {
        queue.remove(execution);
    }

    /** Removes and returns the first one. */
    Execution removeFirst() {
        return queue.remove();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** Ends all with an outcome that states that they never ran. */
    void endAll(Api.Outcome outcome) {
        List<Execution> ended = takeAll();
        ended.forEach(execution -> execution.end(outcome));
    }

    /** Removes all and passes them to another receiver. */
    void moveTo(Consumer<Execution> receiver) {
        List<Execution> moved = takeAll();
        moved.forEach(receiver);
    }

    private List<Execution> takeAll() {
        List<Execution> all = new ArrayList<>(queue);
        queue.clear();
        return all;
    }

    /**
     * Ends executions whose latest start time has passed. A repeat that waited here for too long would arrive after the
     * window in which its cache server drops duplicates.
     */
    void endPastLatestStart() {
        List<Execution> expired =
                queue.stream().filter(Execution::isPastLatestStart).toList();
        queue.removeAll(expired);
        expired.forEach(execution -> execution.end(Api.Outcome.NOT_SENT));
    }

    /**
     * Cancels executions at the head of the queue whose answers are no longer wanted. The check itself may end the link
     * or withdraw other queued executions.
     */
    void cancelUnwanted(BooleanSupplier isLinkFree) {
        for (Execution first = queue.peek();
                first != null && isLinkFree.getAsBoolean() && !first.isWanted();
                first = queue.peek()) {
            queue.remove(first);
            first.cancel();
        }
    }
}
