package stagepier.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import stagepier.Api;

/**
 * The executions that wait on a link, in order: not a byte of these has been handed to the socket, so that they never ran.
 * Whatever ends or moves one may change this queue meanwhile.
 */
final class UnsentExecutions {
    private final ArrayDeque<Execution> queue = new ArrayDeque<>();

    void add(Execution execution) {
        queue.add(execution);
    }

    void remove(Execution execution) {
        queue.remove(execution);
    }

    /** Takes the first one. */
    Execution next() {
        return queue.remove();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** Ends all, with an outcome that says that they never ran. */
    void endAll(Api.Outcome outcome) {
        List<Execution> ended = takeAll();
        ended.forEach(execution -> execution.end(outcome));
    }

    /** Hands all on to somebody else. */
    void moveTo(Consumer<Execution> other) {
        List<Execution> moved = takeAll();
        moved.forEach(other);
    }

    private List<Execution> takeAll() {
        List<Execution> all = new ArrayList<>(queue);
        queue.clear();
        return all;
    }

    /** Guards against a repeat that waited here and would come after the window in which its cache server drops repeats. */
    void endBelated() {
        List<Execution> belated = queue.stream().filter(Execution::isBelated).toList();
        queue.removeAll(belated);
        belated.forEach(execution -> execution.end(Api.Outcome.NOT_SENT));
    }

    /** Cancels the first ones as long as nobody waits for them. To ask may end the link, or withdraw others that wait. */
    void cancelUnwanted(BooleanSupplier isLinkFree) {
        for (Execution first = queue.peek();
                first != null && isLinkFree.getAsBoolean() && !first.isWanted();
                first = queue.peek()) {
            queue.remove(first);
            first.cancel();
        }
    }
}
