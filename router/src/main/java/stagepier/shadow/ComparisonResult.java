package stagepier.shadow;

import java.util.Locale;

/** Result of comparing the answer to a copy with the answer to the real request. */
public enum ComparisonResult {
    /** The values are equal. */
    SAME,
    /**
     * The first copy of a key that the candidate moves. Its new owner has to fetch the value, which is not a fault of
     * the map.
     */
    MOVED,
    /** The copy has an earlier value of the real owner. */
    OLDER,
    /** The copy has the value that the real owner returned in the recheck: a write came in between. */
    NEWER,
    /** The values differ without a known reason; both servers are queried again. */
    IN_DOUBT,
    /** The values differ and both servers repeated theirs. The candidate is stopped. */
    WRONG,
    /** The real request failed and the copy was served. */
    REAL_FAILED,
    /** The copy failed and the real request was served. */
    ERROR,
    /** The copy timed out and the real request was served. */
    TIMEOUT,
    /** The copy was rejected or could not be sent, and the real request was served. */
    TURNED_AWAY,
    /** Neither was served, or one of the values was too large to be buffered. */
    NOT_COMPARED;

    /** Returns the name of the counter of this result. */
    String counter() {
        return name().toLowerCase(Locale.ROOT);
    }
}
