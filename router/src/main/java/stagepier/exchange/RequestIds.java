package stagepier.exchange;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ids of requests that are in use. Guards against a client that sends the id of another's request: what a cache server made
 * for the one would be served to the other. An id stays taken for a while after its request, too, for the two may cross.
 */
final class RequestIds {
    /** Seconds for which an id stays taken after its request must be over. */
    private static final double KEPT = 2;

    private final double keptFor;
    /** When each id was taken, the oldest first; in seconds. */
    private final Map<String, Double> takenAt = new LinkedHashMap<>();

    /** @param longestDeadline of any class, in seconds */
    RequestIds(double longestDeadline) {
        keptFor = longestDeadline + KEPT;
    }

    boolean isTaken(String id, double now) {
        forget(now);
        return takenAt.containsKey(id);
    }

    void take(String id, double now) {
        takenAt.put(id, now);
    }

    private void forget(double now) {
        Iterator<Double> oldest = takenAt.values().iterator();
        while (oldest.hasNext() && now - oldest.next() > keptFor) {
            oldest.remove();
        }
    }
}
