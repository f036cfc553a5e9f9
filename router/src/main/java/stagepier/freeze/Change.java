package stagepier.freeze;

/**
 * A change of topology that somebody asks this router to take up.
 *
 * @param server id of the cache server as the list has it, or "" where the change is of none
 * @param zone   of that server, or ""
 */
public record Change(Kind kind, String server, String zone) {
    /** What is changed. Those that are not voluntary pass in any state of the calendar and are never asked about. */
    public enum Kind {
        ADD_SERVER,
        WEIGHT,
        ZONE,
        ADDRESS,
        MOVE_DISCOVERY,
        RESTORE,
        PROMOTE
    }
}
