package stagepier.freeze;

import java.time.Instant;

/**
 * A snapshot of the calendar that this router holds. Immutable; the event loop reads it without blocking.
 */
public interface Calendar {
    /** Whether a voluntary change may be applied. */
    enum Permit {
        OPEN,
        /** A freeze window is active. */
        FROZEN,
        /**
         * The calendar cannot be relied on, such as when no majority confirmed it within the lease; treated as frozen.
         */
        UNKNOWN
    }

    /**
     * @param permit whether the change may be applied
     * @param reason of the window, or why the calendar is unknown; "" if open
     */
    record Answer(Permit permit, String reason) {}

    /** Used when no calendar is configured; permits every change. */
    Calendar NONE = new Calendar() {
        @Override
        public long version() {
            return 0;
        }

        @Override
        public Answer ask(Change change, Instant wall, long nanoTime) {
            return new Answer(Permit.OPEN, "");
        }
    };

    /** Returns the accepted version that this snapshot holds; 0 for none. */
    long version();

    /**
     * Returns whether a change may be applied now.
     *
     * @param wall     the current time by the wall clock of this machine
     * @param nanoTime the current time of {@code Tasks}, by which the lease expires
     */
    Answer ask(Change change, Instant wall, long nanoTime);
}
