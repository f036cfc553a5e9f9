package stagepier.shadow;

/** Whether copies may be sent to a cache server. */
public enum Eligibility {
    FIT,
    /** The server is not on the list. */
    ABSENT,
    /** The server is draining, according to discovery or to operators. */
    DRAINING,
    /** The server started a short time ago. */
    COLD,
    CROWDED,
    /** The circuit breaker of the server is open, or the server is failing at present. */
    OPEN
}
