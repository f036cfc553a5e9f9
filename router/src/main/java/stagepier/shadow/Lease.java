package stagepier.shadow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits how long this router may send copies without confirmation that the candidate was not stopped. For each other
 * router, it keeps the time up to which this router has that router's knowledge: the start of a call to which it
 * replied or, indirectly, what a replying router knew of a third one. A router that has the recent knowledge of a
 * majority would know of a stop that a majority had received. A process that has started and has not yet received
 * replies from a majority may lack a stop that its predecessor had received; its replies do not extend the lease of
 * others. Pure; times in nanoseconds of {@code Tasks}.
 */
final class Lease {
    private final String self;
    private final int majority;
    private final long leaseNanos;
    private final Map<String, Long> knownAsOf = new HashMap<>();
    /** The members that have replied since this process started. */
    private final Set<String> repliedMembers = new HashSet<>();

    Lease(String self, int majority, long leaseNanos) {
        this.self = self;
        this.majority = majority;
        this.leaseNanos = leaseNanos;
    }

    /**
     * Returns whether this process has received replies from a majority since it started, and therefore knows
     * everything that an earlier process of the same name had received.
     */
    boolean hasCaughtUp() {
        return repliedMembers.size() >= majority - 1;
    }

    /**
     * Records the reply of a member to a call.
     *
     * @param caughtUp whether the member had caught up, see {@link #hasCaughtUp}
     * @param ages milliseconds since the member last had the knowledge of each other router
     */
    void recordReply(String member, long callStarted, boolean caughtUp, Map<String, Long> ages) {
        repliedMembers.add(member);
        if (!caughtUp) {
            return;
        }
        updateKnownAsOf(member, callStarted);
        ages.forEach((other, age) -> {
            if (age != null && age >= 0 && age < 3_600_000) {
                updateKnownAsOf(other, callStarted - age * 1_000_000);
            }
        });
    }

    private void updateKnownAsOf(String member, long asOf) {
        if (!member.equals(self)) {
            knownAsOf.merge(member, asOf, (a, b) -> a - b > 0 ? a : b);
        }
    }

    /**
     * Returns the ages for a reply in milliseconds. They are rounded up so that the receiver does not rely on newer
     * knowledge than there is.
     */
    Map<String, Long> ages(long now) {
        Map<String, Long> ages = new HashMap<>();
        knownAsOf.forEach((member, asOf) -> ages.put(member, (now - asOf + 999_999) / 1_000_000));
        ages.values().removeIf(age -> age > 60_000);
        return ages;
    }

    /** Returns the time at which the lease expires; a time in the past if it has expired or has never been granted. */
    long expiresAt(long now) {
        if (majority <= 1) {
            return now + leaseNanos;
        }
        long[] ends =
                knownAsOf.values().stream().mapToLong(Long::longValue).sorted().toArray();
        // This router is part of the majority, so the oldest of the (majority - 1) most recent times of the others
        // decides.
        int needed = majority - 1;
        return ends.length < needed ? now - 1 : ends[ends.length - needed] + leaseNanos;
    }
}
