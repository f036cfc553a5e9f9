package stagepier.exchange;

import io.netty.util.collection.LongObjectHashMap;
import java.util.ArrayDeque;

/**
 * The request ids that are in use. Prevents a client that sends the id of another client's request from being served
 * the answer that a cache server gave to that request. An id stays in use for some time after its request, because a
 * new request with the same id may cross with the old one. Ids are kept as their hashes, by the time at which they were
 * taken, so that a client that sends requests at full speed under ever new ids takes little memory.
 */
final class RequestIds {
    /** Seconds for which an id stays in use after the longest deadline of a request has passed. */
    private static final double RETENTION_S = 2;
    /** Seconds for which ids are added to one generation; an id may stay in use longer by that. */
    private static final double GENERATION_S = 0.5;

    /** Share of a hash table that is in use before it grows. */
    private static final float LOAD_FACTOR = 0.8f;

    /** Ids that were taken within a short time of each other, and expire together. */
    private static final class Generation {
        private final double startedAt;
        private final LongObjectHashMap<Boolean> hashes =
                new LongObjectHashMap<>(LongObjectHashMap.DEFAULT_CAPACITY, LOAD_FACTOR);

        Generation(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final double retention;
    /** The oldest first. */
    private final ArrayDeque<Generation> generations = new ArrayDeque<>();

    /** @param longestDeadline the longest deadline of all classes, in seconds */
    RequestIds(double longestDeadline) {
        retention = longestDeadline + RETENTION_S + GENERATION_S;
    }

    boolean isTaken(String id, double now) {
        evictExpired(now);
        long hash = Ids.ofKey(id);
        return generations.stream().anyMatch(generation -> generation.hashes.containsKey(hash));
    }

    void take(String id, double now) {
        Generation newest = generations.peekLast();
        if (newest == null || now - newest.startedAt >= GENERATION_S) {
            newest = new Generation(now);
            generations.add(newest);
        }
        newest.hashes.put(Ids.ofKey(id), Boolean.TRUE);
    }

    private void evictExpired(double now) {
        while (!generations.isEmpty() && now - generations.element().startedAt > retention) {
            generations.remove();
        }
    }
}
