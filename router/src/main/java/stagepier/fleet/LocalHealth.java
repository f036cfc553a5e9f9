package stagepier.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether this router itself is slow: a process that is scheduled late, or was stopped for a while, must not
 * count its own delay as silence of other members (Dadgar, Phillips and Currey, <i>Lifeguard: local health awareness
 * for more accurate failure detection</i>, 2018).
 */
final class LocalHealth {
    private static final long LATE_THRESHOLD_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long STALL_THRESHOLD_NS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long RECOVERY_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_SCORE = 4;

    private int lateScore;
    private int suspectedScore;
    private long lateAt;
    private long suspectedAt;

    /**
     * Records how late a wait ended.
     *
     * @param late time in nanoseconds by which the wait took longer than requested
     * @return whether this was a stall, after which replies and silence from before are no longer meaningful
     */
    boolean recordWait(long late, long now) {
        if (late > LATE_THRESHOLD_NS) {
            lateScore = Math.min(MAX_SCORE, lateScore + 1);
            lateAt = now;
        } else if (lateScore > 0 && now - lateAt > RECOVERY_INTERVAL_NS) {
            lateScore--;
            lateAt = now;
        }
        if (suspectedScore > 0 && now - suspectedAt > RECOVERY_INTERVAL_NS) {
            suspectedScore--;
            suspectedAt = now;
        }
        return late > STALL_THRESHOLD_NS;
    }

    /** Records that other members suspected this router although it was running. */
    void recordSuspicion(long now) {
        suspectedScore = Math.min(MAX_SCORE, suspectedScore + 1);
        suspectedAt = now;
    }

    /**
     * Returns the factor, from 1 to 2, by which silence thresholds are extended. Only the lateness of this process
     * counts, since others also suspect this router when a link is cut.
     */
    double silenceFactor() {
        return 1 + (double) lateScore / MAX_SCORE;
    }

    /** Returns the factor, from 1 to 2, by which the timeout of a probe is extended. */
    double probeTimeoutFactor() {
        return 1 + (double) Math.max(lateScore, suspectedScore / 2) / MAX_SCORE;
    }
}
