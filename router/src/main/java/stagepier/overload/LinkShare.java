package stagepier.overload;

/**
 * How many links one cache server may have: the share of the descriptors set aside for servers. Guards against answers
 * that wait behind a slow one on the same link, which a client cannot tell from a crowded server; and, where descriptors
 * are scarce, against taking more than before.
 */
public final class LinkShare {
    /** Links a server while answers come, where descriptors are scarce: with one, a quick answer waits for a slow one. */
    public static final int USUAL_LEAST = 4;
    /** The same at the most: each costs the server a handshake and a place in its table. */
    public static final int USUAL_MOST = 12;
    /** Silent links, which only wait for late answers, may come on top of the usual ones. */
    public static final int SILENT_MORE = 2;

    private LinkShare() {}

    /**
     * @param linksMost links to all servers together that the descriptors allow
     * @param servers servers that have links or are about to
     * @return links a server from which on a new one is opened only where the best one has a large value flowing
     */
    public static int usual(int linksMost, int servers) {
        return Math.max(USUAL_LEAST, Math.min(USUAL_MOST, linksMost / Math.max(1, servers)));
    }

    /** @return links a server at the most, silent ones counted */
    public static int most(int linksMost, int servers) {
        return usual(linksMost, servers) + SILENT_MORE;
    }
}
