package stagepier.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Whether this router itself is slow: a process that gets its core late, or stood still, must not hold that against others
 * (Dadgar, Phillips and Currey, <i>Lifeguard: local health awareness for more accurate failure detection</i>, 2018).
 */
final class LocalHealth {
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long STALL_NS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long BETTER_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int WORST = 4;

    private int score;
    private long changedAt;

    /**
     * @param late by how much a wait took longer than it should have, in nanoseconds
     * @return whether that was a stall, after which what this router heard before says nothing
     */
    boolean waited(long late, long now) {
        if (late > LATE_NS) {
            worse(now);
        } else if (score > 0 && now - changedAt > BETTER_NS) {
            score--;
            changedAt = now;
        }
        return late > STALL_NS;
    }

    /** A sign of it, such as that others found this router silent. */
    void worse(long now) {
        score = Math.min(WORST, score + 1);
        changedAt = now;
    }

    /** By what waits are made longer: 1 to 2. */
    double factor() {
        return 1 + (double) score / WORST;
    }
}
