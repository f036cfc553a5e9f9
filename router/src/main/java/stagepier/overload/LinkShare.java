package stagepier.overload;

/**
 * Computes how many links one cache server may have: its share of the descriptors reserved for servers. With too few
 * links, answers wait behind a slow one on the same link, which a client cannot distinguish from an overloaded server.
 * Where descriptors are scarce, the number stays at the minimum.
 */
public final class LinkShare {
    /** Usual links per server where descriptors are scarce. With a single one, a quick answer waits for a slow one. */
    public static final int USUAL_MIN = 4;
    /**
     * Upper limit of usual links per server: each costs the server a handshake and an entry in its connection table.
     */
    public static final int USUAL_MAX = 12;
    /** Additional links per server for silent ones, which only wait for late answers. */
    public static final int SILENT_EXTRA = 2;

    private LinkShare() {}

    /**
     * @param linkLimit limit of links to all servers together that the descriptors allow
     * @param servers number of servers that have links or are about to
     * @return links per server from which on a new one is opened only if the preferred link is transferring a large
     *     value
     */
    public static int usual(int linkLimit, int servers) {
        return Math.max(USUAL_MIN, Math.min(USUAL_MAX, linkLimit / Math.max(1, servers)));
    }

    /** @return maximum number of links per server, including silent ones */
    public static int max(int linkLimit, int servers) {
        return usual(linkLimit, servers) + SILENT_EXTRA;
    }
}
