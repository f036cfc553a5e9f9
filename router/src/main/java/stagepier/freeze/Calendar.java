package stagepier.freeze;

import java.time.Instant;

/**
 * The calendar as this router holds it, at one moment. Immutable; the event loop reads it without waiting.
 */
public interface Calendar {
    /** Whether a voluntary change may be taken up. */
    enum Permit {
        OPEN,
        /** A window holds. */
        FROZEN,
        /** No majority confirmed the calendar within the lease: treated as frozen. */
        UNKNOWN
    }

    /**
     * @param permit what holds for the change
     * @param reason of the window, or why nothing is known; "" where open
     */
    record Answer(Permit permit, String reason) {}

    /** No calendar is configured: all is open. */
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

    /** The accepted version that is held; 0 for none. */
    long version();

    /**
     * @param wall     now, by the wall clock of this machine
     * @param nanoTime now, in the time of {@code Tasks}: by it the lease runs out
     */
    Answer ask(Change change, Instant wall, long nanoTime);
}
