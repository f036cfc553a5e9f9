package stagepier.client;

import java.util.ArrayDeque;

/**
 * Tells when the bytes that a link has read but not yet taken as commands can have arrived, so that the time that they
 * lay unread counts against the deadlines of their requests. All times are in seconds.
 */
final class InputAge {
    /** In seconds. Bytes that arrive closer together than this count as arrived with the first of them. */
    private static final double RESOLUTION = 0.02;

    /** Consecutive bytes with one arrival time; NaN if the time until they are taken does not count. */
    private static final class Segment {
        private final double arrivedAt;
        private int bytes;

        Segment(double arrivedAt) {
            this.arrivedAt = arrivedAt;
        }

        private boolean includes(double arrival) {
            return Double.isNaN(arrival) ? Double.isNaN(arrivedAt) : arrival - arrivedAt < RESOLUTION;
        }
    }

    /** Earliest time at which the client can have connected, since the connection may have waited in the backlog. */
    private final double earliestConnectAt;

    /** The bytes not yet taken, in order. */
    private final ArrayDeque<Segment> segments = new ArrayDeque<>();
    /** Number of bytes in all segments. */
    private int kept;
    /** Earliest time at which the byte that was taken last can have arrived; NaN if that does not count. */
    private double takenArrivedAt = Double.NaN;
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

    /**
     * Notes that bytes were added.
     *
     * @param total number of bytes that are kept now
     * @param arrival earliest time at which the new ones can have arrived; NaN if the time until they are taken does
     *     not count
     */
    void onKept(int total, double arrival) {
        Segment last = segments.peekLast();
        if (last == null || !last.includes(arrival)) {
            last = new Segment(arrival);
            segments.add(last);
        }
        last.bytes += total - kept;
        kept = total;
    }

    /** Notes that the first bytes were taken; {@code total} is the number of bytes that are still kept. */
    void onTaken(int total) {
        while (kept > total) {
            Segment first = segments.element();
            int taken = Math.min(first.bytes, kept - total);
            first.bytes -= taken;
            kept -= taken;
            takenArrivedAt = first.arrivedAt;
            if (first.bytes == 0) {
                segments.remove();
            }
        }
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

    /** Returns the earliest time at which the last byte that was taken, now, can have arrived. */
    double arrivedAt(double now) {
        return Double.isNaN(takenArrivedAt) ? now : takenArrivedAt;
    }
}
