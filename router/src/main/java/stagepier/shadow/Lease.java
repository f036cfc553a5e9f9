package stagepier.shadow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Until when this router may go on without hearing that the shadow was stopped. For each other router it keeps as of when it
 * knows what that one knew: when a call began to which it replied, and, passed on, what the one that replied knew of a third.
 * Whoever knows what a majority knew a moment ago would know of a stop that a majority had been told of. A process that has
 * started and not yet heard a majority may have forgotten a stop that it was told of: nobody relies on what it says. Pure; times
 * in nanoseconds of {@code Tasks}.
 */
final class Lease {
    private final String self;
    private final int majority;
    private final long length;
    private final Map<String, Long> knownAsOf = new HashMap<>();
    /** Who has replied since this process began. */
    private final Set<String> replied = new HashSet<>();

    Lease(String self, int majority, long length) {
        this.self = self;
        this.majority = majority;
        this.length = length;
    }

    /** This process has heard a majority since it began, and so whatever an earlier one of its name was told. */
    boolean hasCaughtUp() {
        return replied.size() >= majority - 1;
    }

    /**
     * What a member said in reply to a call.
     *
     * @param caughtUp whether it had
     * @param ages     how long ago, in milliseconds, it knew what others knew
     */
    void replied(String member, long callBegan, boolean caughtUp, Map<String, Long> ages) {
        replied.add(member);
        if (!caughtUp) {
            return;
        }
        learn(member, callBegan);
        ages.forEach((other, age) -> {
            if (age != null && age >= 0 && age < 3_600_000) {
                learn(other, callBegan - age * 1_000_000);
            }
        });
    }

    private void learn(String member, long asOf) {
        if (!member.equals(self)) {
            knownAsOf.merge(member, asOf, (a, b) -> a - b > 0 ? a : b);
        }
    }

    /** For a reply: rounded up, so that nobody relies on more than there is. */
    Map<String, Long> ages(long now) {
        Map<String, Long> ages = new HashMap<>();
        knownAsOf.forEach((member, asOf) -> ages.put(member, (now - asOf + 999_999) / 1_000_000));
        ages.values().removeIf(age -> age > 60_000);
        return ages;
    }

    /** When it ends; in the past where it has ended or never began. */
    long until(long now) {
        if (majority <= 1) {
            return now + length;
        }
        long[] ends =
                knownAsOf.values().stream().mapToLong(Long::longValue).sorted().toArray();
        // With this one itself a majority: the oldest of the freshest others decides.
        int needed = majority - 1;
        return ends.length < needed ? now - 1 : ends[ends.length - needed] + length;
    }
}
