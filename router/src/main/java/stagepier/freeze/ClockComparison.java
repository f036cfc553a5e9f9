package stagepier.freeze;

import java.time.Duration;
import java.util.Collection;
import stagepier.tasks.Tasks;

/** Compares this router's wall clock with the clocks of the routers that answered a round. */
final class ClockComparison {
    /**
     * Offset of this router's wall clock from the median of a majority.
     *
     * @param ms         by how much the others are ahead, in milliseconds
     * @param withinSkew whether the offset is within the permitted skew, allowing for the duration of the round
     */
    record Offset(long ms, boolean withinSkew) {
        /** Text for messages. */
        @Override
        public String toString() {
            return (ms >= 0 ? "behind by " : "ahead by ") + Math.round(Math.abs(ms) / 100.0) / 10.0 + " s";
        }
    }

    private final Tasks tasks;
    private final long startMs;
    private final long startNano;

    ClockComparison(Tasks tasks) {
        this.tasks = tasks;
        startMs = tasks.wall().millis();
        startNano = tasks.nanoTime();
    }

    long startMs() {
        return startMs;
    }

    /**
     * Returns the offset to the replies' clocks. Each router read its clock between the start and the end of the round,
     * so half the duration of the round bounds the error.
     */
    Offset offset(Collection<RegisterResponse> replies, Duration skew) {
        long elapsedMs = (tasks.nanoTime() - startNano) / 1_000_000;
        long[] differencesMs = replies.stream()
                .mapToLong(r -> r.wall() - startMs - elapsedMs / 2)
                .sorted()
                .toArray();
        // With an even number of clocks, takes the middle value that is further off: it is unknown which one is right.
        long lowerMedian = differencesMs[(differencesMs.length - 1) / 2];
        long upperMedian = differencesMs[differencesMs.length / 2];
        long median = Math.abs(lowerMedian) > Math.abs(upperMedian) ? lowerMedian : upperMedian;
        return new Offset(median, Math.abs(median) <= skew.toMillis() + elapsedMs / 2 + 1);
    }
}
