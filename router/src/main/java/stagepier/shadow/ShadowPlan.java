package stagepier.shadow;

import java.util.Set;

/**
 * What the event loop needs to send copies. Built outside of the event loop and replaced as a whole. Immutable.
 *
 * @param map the candidate
 * @param slice the hash that selects the candidate's keys
 * @param ring the candidate's ring
 * @param present the ring in use
 * @param fleet number of configured routers, which share the budget
 * @param expiresAt time in nanoseconds of {@code Tasks} after which no copies are sent unless the plan is renewed. A
 *     router that is cut off could not learn that the candidate was stopped
 * @param on copies may be sent: this router is in a majority and no stop of the candidate is known
 */
public record ShadowPlan(
        CandidateMap map, Slice slice, ShardRing ring, ShardRing present, int fleet, long expiresAt, boolean on) {
    public boolean isActiveAt(long nanoTime) {
        return on && nanoTime - expiresAt < 0;
    }

    /** Returns whether this plan needs new budgets and counters. */
    boolean needsNewCounters(ShadowPlan previous) {
        return previous == null || !map.equals(previous.map) || fleet != previous.fleet;
    }

    /** Returns the servers of the candidate. */
    Set<Long> servers() {
        return Set.copyOf(ring.servers());
    }
}
