package stagepier.freeze;

/**
 * A requested change of topology.
 *
 * @param server id of the cache server as in the server list, or "" if the change concerns no single server
 * @param zone   zone of that server, or ""
 */
public record Change(Kind kind, String server, String zone) {
    /**
     * The kind of a voluntary change. Involuntary changes are applied in any state of the calendar and have no kind
     * here.
     */
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
