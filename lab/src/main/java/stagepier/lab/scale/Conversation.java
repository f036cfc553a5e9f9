package stagepier.lab.scale;

/** A conversation that a router has with other machines, or all of a process together. */
public enum Conversation {
    /** UDP datagrams between routers: attempts in flight and open circuits. */
    LOAD_REPORTS,
    /** The watch on the list of cache servers, over HTTP. */
    DISCOVERY,
    /**
     * The same of a process as {@link #PROCESS}, before any client has come: an upper bound of what control takes, for the
     * process's own life is in it.
     */
    CONTROL_PROCESS,
    /** What cannot be told apart by conversation: processor time, memory, threads and descriptors of a process. */
    PROCESS,
    /** No control at all: requests of clients to one router that is kept busy, and the answers to them. */
    DATA_PATH
}
