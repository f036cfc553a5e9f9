package stagepier.exchange;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The request ids that are in use. Prevents a client that sends the id of another client's request from being served
 * the answer that a cache server gave to that request. An id stays in use for some time after its request, because a
 * new request with the same id may cross with the old one.
 */
final class RequestIds {
    /** Seconds for which an id stays in use after the longest deadline of a request has passed. */
    private static final double RETENTION_S = 2;

    private final double retention;
    /** The time at which each id was taken, in seconds; oldest first. */
    private final Map<String, Double> takenAt = new LinkedHashMap<>();

    /** @param longestDeadline the longest deadline of all classes, in seconds */
    RequestIds(double longestDeadline) {
        retention = longestDeadline + RETENTION_S;
    }

    boolean isTaken(String id, double now) {
        evictExpired(now);
        return takenAt.containsKey(id);
    }

    void take(String id, double now) {
        takenAt.put(id, now);
    }

    private void evictExpired(double now) {
        Iterator<Double> oldest = takenAt.values().iterator();
        while (oldest.hasNext() && now - oldest.next() > retention) {
            oldest.remove();
        }
    }
}
