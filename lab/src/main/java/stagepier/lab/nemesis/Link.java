package stagepier.lab.nemesis;

/** Links between the processes of a lab fleet that a fault may lie on. */
public enum Link {
    /** Datagrams from router to router. */
    PEERS,
    /** A router's connection to its agent of discovery. */
    DISCOVERY,
    /** Calls from router to router, of a fleet that decides together. */
    FLEET,
    /** A router's connections to cache nodes. */
    NODES;

    /** The party at the other end of a router's link to discovery; routers have their numbers, from 0 on. */
    public static final int AGENT = -1;

    /** The party that a cache node is. */
    public static int node(int number) {
        return AGENT - 1 - number;
    }
}
