package stagepier.lab.scale;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.List;

/**
 * Rate and form of the load reports that one router sends; the only place in the laboratory that knows either. Free
 * of I/O and clock.
 *
 * <p>A report is a header and 5 bytes for each server. Where it stands for itself alone the header is version 1 and
 * the count; where it stands for others that were left out it is version 2, the count, the sender's zone, for how long
 * it counts, for how many it stands and how many servers without an open circuit the sender has attempts at.
 */
final class LoadReportModel {
    /** IP and UDP headers of a datagram. */
    static final int DATAGRAM_HEADERS = 28;

    /** Bytes that a report has at the most. */
    static final int BYTES_MOST = 256;

    private static final byte VERSION_PLAIN = 1;
    private static final byte VERSION_WEIGHTED = 2;
    private static final int HEADER_PLAIN = 2;
    private static final int HEADER_WEIGHTED = 11;
    private static final int ENTRY = 5;
    private static final int IN_FLIGHT_MOST = 0x7f;
    private static final int CIRCUIT_OPEN = 0x80;
    /**
     * The gap between two reports in parts of the shortest deadline, and how it is spread: half to one and a half
     * times the mean.
     */
    private static final double PART_OF_DEADLINE = 0.18;

    private static final double LEAST_PART_OF_GAP = 0.5;

    private static final double MOST_PART_OF_GAP = 1.5;
    /** Seconds for which a report counts at the least and at the most. */
    private static final double WINDOW_LEAST = 1;

    private static final double WINDOW_MOST = 4;
    private static final double MILLIS = 1e3;
    /** Bytes a second that each router may hear at the most where reports are bounded, headers included. */
    private static final double BUDGET = 6000;
    /** Weight of the newest report in the mean size of a datagram. */
    private static final double NEWEST = 0.1;

    private static final Comparator<ServerLoad> OPEN_AND_BUSY_FIRST = Comparator.comparing(ServerLoad::circuitOpen)
            .thenComparing(ServerLoad::inFlight)
            .reversed();

    private final double period;
    /** Routers that share the budget; 0 where there is none. */
    private final int sharedBy;

    /** Mean bytes of a datagram, headers included; 0 before the first. */
    private double datagram;

    private LoadReportModel(double shortestDeadline, int sharedBy) {
        period = PART_OF_DEADLINE * shortestDeadline;
        this.sharedBy = sharedBy;
    }

    /** Reports at a rate that does not depend on the number of routers. */
    static LoadReportModel everyPeriod(double shortestDeadline) {
        return new LoadReportModel(shortestDeadline, 0);
    }

    /** Reports at a rate at which so many routers stay within the budget together. */
    static LoadReportModel bounded(double shortestDeadline, int routers) {
        return new LoadReportModel(shortestDeadline, routers);
    }

    static LoadReportModel of(ReportPacing pacing, double shortestDeadline, int routers) {
        return pacing == ReportPacing.EVERY ? everyPeriod(shortestDeadline) : bounded(shortestDeadline, routers);
    }

    /** Seconds between two reports on the average, by the size of the reports so far. */
    double meanGap() {
        return Math.max(period, sharedBy * datagram / BUDGET);
    }

    /** @param chance from 0 to 1, drawn evenly */
    double nextGap(double chance) {
        return meanGap() * (LEAST_PART_OF_GAP + chance);
    }

    /**
     * Seconds until the first report of a router that has reported for long: what is left at a random moment of the gap
     * that this moment falls into. Such a gap is found with a density that grows with its length.
     *
     * @param lengthChance from 0 to 1, drawn evenly, for the length of that gap
     * @param partChance   from 0 to 1, drawn evenly, for the part of it that is left
     */
    double remainingGap(double lengthChance, double partChance) {
        double shortestSquared = LEAST_PART_OF_GAP * LEAST_PART_OF_GAP;
        double longestSquared = MOST_PART_OF_GAP * MOST_PART_OF_GAP;
        double gap = Math.sqrt(shortestSquared + lengthChance * (longestSquared - shortestSquared));
        return meanGap() * gap * partChance;
    }

    /** Seconds for which a report counts, unless the next one comes before. */
    double window() {
        return Math.max(WINDOW_LEAST, Math.min(WINDOW_MOST, MOST_PART_OF_GAP * (meanGap() + period)));
    }

    /** For how many routers a report stands: one over the part of time during which one of its sender counts. */
    double weight() {
        double gap = meanGap();
        if (window() >= MOST_PART_OF_GAP * gap) {
            return 1;
        }
        double beyondLeast = Math.max(0, window() - LEAST_PART_OF_GAP * gap);
        return gap / (window() - beyondLeast * beyondLeast / (2 * gap));
    }

    /**
     * A report that is sent now; open circuits and the busiest servers come first, and what is too much for one
     * datagram is left out.
     */
    byte[] report(List<ServerLoad> loads, int zone) {
        boolean weighted = meanGap() > period;
        int header = weighted ? HEADER_WEIGHTED : HEADER_PLAIN;
        List<ServerLoad> told = loads.stream()
                .sorted(OPEN_AND_BUSY_FIRST)
                .limit((BYTES_MOST - header) / ENTRY)
                .toList();
        ByteBuffer to = ByteBuffer.allocate(header + ENTRY * told.size());
        to.put(weighted ? VERSION_WEIGHTED : VERSION_PLAIN).put((byte) told.size());
        if (weighted) {
            long closed = loads.stream().filter(load -> !load.circuitOpen()).count();
            to.put((byte) zone).putShort((short) Math.round(window() * MILLIS));
            to.putFloat((float) weight()).putShort((short) closed);
        }
        for (ServerLoad load : told) {
            to.putInt(load.server());
            to.put((byte) (Math.min(IN_FLIGHT_MOST, load.inFlight()) | (load.circuitOpen() ? CIRCUIT_OPEN : 0)));
        }
        int size = DATAGRAM_HEADERS + to.capacity();
        datagram = datagram == 0 ? size : datagram + NEWEST * (size - datagram);
        return to.array();
    }
}
