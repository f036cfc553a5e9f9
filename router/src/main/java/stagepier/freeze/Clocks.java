package stagepier.freeze;

import java.time.Duration;
import java.util.Collection;
import stagepier.tasks.Tasks;

/** Compares this router's wall clock with those that answered a round. */
final class Clocks {
    /**
     * How this wall clock stands to the middle one of a majority.
     *
     * @param ms   by which the others are ahead
     * @param good whether that is within the skew that was promised, as far as the time on the way tells
     */
    record Offset(long ms, boolean good) {
        /** For messages. */
        @Override
        public String toString() {
            return (ms >= 0 ? "behind by " : "ahead by ") + Math.round(Math.abs(ms) / 100.0) / 10.0 + " s";
        }
    }

    private final Tasks tasks;
    private final long startMs;
    private final long startNano;

    Clocks(Tasks tasks) {
        this.tasks = tasks;
        startMs = tasks.wall().millis();
        startNano = tasks.nanoTime();
    }

    long startMs() {
        return startMs;
    }

    /** The time that the round took bounds the error: each looked at its clock between its start and its end. */
    Offset offset(Collection<RegisterResponse> replies, Duration skew) {
        long took = (tasks.nanoTime() - startNano) / 1_000_000;
        long[] ahead = replies.stream()
                .mapToLong(r -> r.wall() - startMs - took / 2)
                .sorted()
                .toArray();
        // Of an even number both in the middle: of two that differ nobody can tell which is right.
        long lower = ahead[(ahead.length - 1) / 2];
        long upper = ahead[ahead.length / 2];
        long middle = Math.abs(lower) > Math.abs(upper) ? lower : upper;
        return new Offset(middle, Math.abs(middle) <= skew.toMillis() + took / 2 + 1);
    }
}
