package stagepier.shadow;

/** Whether a cache server may be asked by a copy. */
public enum Eligibility {
    FIT,
    /** Not on the list. */
    ABSENT,
    /** By word of discovery or of staff. */
    DRAINING,
    /** Started a short time ago. */
    COLD,
    CROWDED,
    /** Its circuit is open, or it fails at this moment. */
    OPEN
}
