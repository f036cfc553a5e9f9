package stagepier.peers;

import java.util.List;
import stagepier.Api;

/**
 * What one router reports to the others at a moment: its attempts in flight and its open circuits, server by server,
 * for how long that counts, and how many routers it stands for. Free of I/O and clock.
 *
 * @param zone          the sender's zone; {@link #NO_ZONE} in a plain report, which does not tell
 * @param window        seconds for which it counts, unless the sender's next one comes before
 * @param weight        routers that it stands for: one over the part of time during which a report of the sender counts
 * @param closedServers servers without an open circuit that the sender has attempts at; {@code entries} may hold only a
 *                      random sample of them
 * @param entries       server by server; with an open circuit as many as a message holds
 */
public record PeerReport(int zone, double window, double weight, int closedServers, List<Api.ServerReport> entries) {
    /** The zone of a plain report. */
    public static final int NO_ZONE = -1;
    /** Seconds for which a plain report counts, and at the least any other. */
    public static final double WINDOW_LEAST = 1;
    /** Seconds for which a report counts at the most: so old may be what the sum is made of. */
    public static final double WINDOW_MOST = 4;

    /** A report of a router that sends each one that its module makes: it stands for itself alone. */
    public static PeerReport plain(List<Api.ServerReport> entries) {
        return new PeerReport(NO_ZONE, WINDOW_LEAST, 1, closed(entries), entries);
    }

    boolean isPlain() {
        return zone == NO_ZONE;
    }

    /** What attempts without an open circuit are multiplied by, above the weight, for servers that were left out. */
    double sampled() {
        int named = closed(entries);
        return named == 0 ? 1 : (double) closedServers / named;
    }

    static int closed(List<Api.ServerReport> entries) {
        return (int) entries.stream().filter(entry -> !entry.open()).count();
    }
}
