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

    private int lateScore;
    private int silentScore;
    private long lateAt;
    private long silentAt;

    /**
     * @param late by how much a wait took longer than it should have, in nanoseconds
     * @return whether that was a stall, after which what this router heard before says nothing
     */
    boolean waited(long late, long now) {
        if (late > LATE_NS) {
            lateScore = Math.min(WORST, lateScore + 1);
            lateAt = now;
        } else if (lateScore > 0 && now - lateAt > BETTER_NS) {
            lateScore--;
            lateAt = now;
        }
        if (silentScore > 0 && now - silentAt > BETTER_NS) {
            silentScore--;
            silentAt = now;
        }
        return late > STALL_NS;
    }

    /** Others found this router silent, and it was not. */
    void wasSuspected(long now) {
        silentScore = Math.min(WORST, silentScore + 1);
        silentAt = now;
    }

    /** By what it is longer until silence counts: 1 to 2. Only its own lateness tells: a cut link makes others suspect it as well. */
    double timeoutFactor() {
        return 1 + (double) lateScore / WORST;
    }

    /** By what an answer is waited for longer: 1 to 2. */
    double waitLonger() {
        return 1 + (double) Math.max(lateScore, silentScore / 2) / WORST;
    }
}
