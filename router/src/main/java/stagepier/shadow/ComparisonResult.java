package stagepier.shadow;

import java.util.Locale;

/** What a copy's answer was beside the real one. */
public enum ComparisonResult {
    /** The same value. */
    SAME,
    /** The first copy of a key that the candidate moves: its new owner has to fetch it, which is no fault of the map. */
    MOVED,
    /** Another value, which the real owner gave before. */
    OLDER,
    /** Another value, which the real owner gave when it was asked again: a write came in between. */
    NEWER,
    /** Another value, and nothing that explains it yet: both are asked once more. */
    IN_DOUBT,
    /** Another value, and both stand by theirs. The candidate is stopped. */
    WRONG,
    /** The real one failed, the copy was served. */
    REAL_FAILED,
    /** The copy failed, the real one was served. */
    ERROR,
    /** The copy had no answer in its time, the real one was served. */
    TIMEOUT,
    /** The copy was turned away or could not be sent, the real one was served. */
    TURNED_AWAY,
    /** Neither was served, or one of the values was too large to be collected. */
    NOT_COMPARED;

    /** The name of its counter. */
    String counter() {
        return name().toLowerCase(Locale.ROOT);
    }
}
