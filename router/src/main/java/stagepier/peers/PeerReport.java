package stagepier.peers;

import java.util.List;
import stagepier.Api;

/**
 * What one router reports to the others at one moment: its attempts in flight and its open circuits by server, how long
 * the report is valid, and how many routers it represents. Does no I/O and reads no clock.
 *
 * @param zone          the sender's zone; {@link #NO_ZONE} in a plain report, which does not include it
 * @param window        seconds for which the report is valid, unless the sender's next one arrives before
 * @param weight        number of routers represented: one over the fraction of time during which a report of the sender
 *                      is valid
 * @param closedServers number of servers without an open circuit at which the sender has attempts; {@code entries} may
 *                      hold only a random sample of them
 * @param entries       entries by server; those with an open circuit as far as a message holds them
 */
public record PeerReport(int zone, double window, double weight, int closedServers, List<Api.ServerReport> entries) {
    /** The zone of a plain report. */
    public static final int NO_ZONE = -1;
    /** Validity of a plain report in seconds, and the minimum for any other report. */
    public static final double MIN_WINDOW = 1;
    /** Maximum validity of a report in seconds, and so the maximum age of data in a sum. */
    public static final double MAX_WINDOW = 4;

    /** Returns a report of a router that sends every report of its routing module, and so represents only itself. */
    public static PeerReport plain(List<Api.ServerReport> entries) {
        return new PeerReport(NO_ZONE, MIN_WINDOW, 1, countClosed(entries), entries);
    }

    boolean isPlain() {
        return zone == NO_ZONE;
    }

    /**
     * Returns the factor, beyond the weight, by which attempts without an open circuit are multiplied to make up for
     * servers that were left out.
     */
    double samplingFactor() {
        int reported = countClosed(entries);
        return reported == 0 ? 1 : (double) closedServers / reported;
    }

    static int countClosed(List<Api.ServerReport> entries) {
        return (int) entries.stream().filter(entry -> !entry.open()).count();
    }
}
