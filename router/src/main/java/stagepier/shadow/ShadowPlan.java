package stagepier.shadow;

import java.util.Set;

/**
 * What the event loop has to know to send copies; put together beside it and swapped whole. Immutable.
 *
 * @param map     the candidate
 * @param slice   its keys
 * @param ring    its ring
 * @param present the ring in use
 * @param fleet   configured routers, among which the budget is shared
 * @param until   in the time of {@code Tasks}, nanoseconds: no copies from then on, unless renewed. Guards against a router that
 *                could not hear that the shadow was stopped
 * @param on      copies may be sent: in a majority, and nobody known has stopped the candidate
 */
public record ShadowPlan(
        CandidateMap map, Slice slice, ShardRing ring, ShardRing present, int fleet, long until, boolean on) {
    public boolean holdAt(long nanoTime) {
        return on && nanoTime - until < 0;
    }

    /** Whether these orders need other budgets and counters than those. */
    boolean isOtherMap(ShadowPlan than) {
        return than == null || !map.equals(than.map) || fleet != than.fleet;
    }

    /** The servers of the candidate. */
    Set<Long> servers() {
        return Set.copyOf(ring.servers());
    }
}
