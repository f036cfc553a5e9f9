package stagepier.client;

/**
 * Tells since when the bytes that a link has read but not yet taken as commands can have been there, so that the time that
 * they lay unread counts against the deadlines of their requests. All times are in seconds.
 */
final class InputAge {
    /** Earliest time at which the client can have connected, since the connection may have waited in the backlog. */
    private final double earliestConnectAt;

    /** Earliest time at which the first of the bytes not yet taken can have arrived; NaN if there are none. */
    private double arrivedAt = Double.NaN;
    /** Time since which bytes may lie in the socket because the link did not read; NaN if there are none. */
    private double unreadSince = Double.NaN;

    InputAge(double earliestConnectAt) {
        this.earliestConnectAt = earliestConnectAt;
    }

    /**
     * Returns the earliest time at which bytes that have just been read can have arrived.
     *
     * @param polledAt the time for a socket that was polled all along
     * @param first whether no command came before these bytes
     * @param socketMayHoldMore whether the read took as much as it could
     */
    double ofRead(double polledAt, boolean first, boolean socketMayHoldMore) {
        double arrival = Double.isNaN(unreadSince) ? polledAt : Math.min(polledAt, unreadSince);
        if (!socketMayHoldMore) {
            unreadSince = Double.NaN;
        }
        return first ? Math.min(arrival, earliestConnectAt) : arrival;
    }

    /** Notes that bytes are kept which arrived no earlier than that; those that are kept already are older. */
    void onKept(double arrival) {
        if (Double.isNaN(arrivedAt)) {
            arrivedAt = arrival;
        }
    }

    /** Notes that no whole command is left: the time of a command starts with its last byte. */
    void onCommandsTaken() {
        arrivedAt = Double.NaN;
    }

    /** Notes that the link does not read from now on, unless it has stopped before. */
    void onReadingStopped(double now) {
        if (Double.isNaN(unreadSince)) {
            unreadSince = now;
        }
    }

    /** Notes that the socket was found empty. */
    void onSocketEmpty() {
        unreadSince = Double.NaN;
    }

    /** Returns the earliest time at which a command that is taken now can have arrived. */
    double arrivedAt(double now) {
        return Double.isNaN(arrivedAt) ? now : arrivedAt;
    }
}
