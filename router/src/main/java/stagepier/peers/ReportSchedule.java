package stagepier.peers;

import java.util.SplittableRandom;

/**
 * Decides when a router sends the report of its routing module, and how many routers that report represents, so that
 * the traffic of all routers together stays within a rate, however many they are. The module makes reports at its own
 * period. If the reports of all routers stay within the rate, each one is sent. Otherwise the mean gap between two sent
 * reports is extended until they do; each gap is drawn uniformly from half to one and a half times the mean.
 *
 * <p>The sum is estimated as by Horvitz and Thompson (1952): a report is valid for a {@link #window()} at most, so that
 * a router has a valid report for the fraction {@code E[min(gap, window)] / E[gap]} of the time, and the weight of each
 * is one over that fraction. The estimate is unbiased if the gap after a report does not depend on the content of that
 * report: the mean gap is computed from the sizes of earlier reports only. Does no I/O and reads no clock.
 */
public final class ReportSchedule {
    /** Part of the 7,000 bytes a second that a router may use for control traffic, in and out together. */
    static final double BYTES_PER_SECOND = 6000;
    /** Bytes of a datagram in addition to its payload, for IP and UDP. */
    static final int DATAGRAM_HEADER_BYTES = 28;
    /** Gaps are drawn uniformly between these multiples of the mean gap. */
    private static final double MIN_GAP_FACTOR = 0.5;

    private static final double MAX_GAP_FACTOR = 1.5;
    /** Number of reports over which the mean size is taken. */
    private static final int AVERAGED_REPORTS = 32;

    private final int routers;
    private final double period;
    private final SplittableRandom random;
    private double meanEntries;
    private int reports;
    private double meanGap;
    private boolean rateLimited;
    /** When the first gap began, and its length in mean gaps; NaN while every report is sent. */
    private double firstGapStartedAt = Double.NaN;

    private double firstGap;
    /** When the next report is due; NaN before the first one. */
    private double nextDueAt = Double.NaN;

    /**
     * @param routers number of reporting routers, this one included
     * @param period  mean seconds between two reports of the module
     */
    public ReportSchedule(int routers, double period, long seed) {
        this.routers = routers;
        this.period = period;
        random = new SplittableRandom(seed);
    }

    /** Returns whether the report that the module makes now, of {@code entriesNow} entries, is to be sent. */
    boolean isDue(double now, int entriesNow) {
        if (reports == 0) {
            // No earlier size is known; this one only determines the delay.
            meanEntries = entriesNow;
        }
        rateLimited = gapFor(PeerReportCodec.plainBytes(meanEntries)) > period;
        meanGap = rateLimited ? Math.max(period, gapFor(PeerReportCodec.weightedBytes(meanEntries))) : period;
        boolean due = !rateLimited || isDue(now);
        if (!rateLimited) {
            firstGapStartedAt = Double.NaN;
            nextDueAt = Double.NaN;
        }
        reports++;
        meanEntries += (entriesNow - meanEntries) / Math.min(reports, AVERAGED_REPORTS);
        return due;
    }

    private double gapFor(double payload) {
        return routers * (payload + DATAGRAM_HEADER_BYTES) / BYTES_PER_SECOND;
    }

    private boolean isDue(double now) {
        if (Double.isNaN(firstGapStartedAt)) {
            firstGapStartedAt = now;
            // The residual gap at a random moment: routers that start at the same time then send at the usual rate from
            // the start. If it were drawn uniformly from one mean gap, their second reports would come as a peak of one
            // and a half times the usual rate.
            firstGap = random.nextDouble() * lengthBiasedGap(random.nextDouble());
        }
        double due = Double.isNaN(nextDueAt) ? firstGapStartedAt + firstGap * meanGap : nextDueAt;
        if (now < due) {
            return false;
        }
        // Counted from the time when the report was due, so that delays of the module do not add up, but from at most
        // one mean gap ago.
        nextDueAt = Math.max(due, now - meanGap) + meanGap * random.nextDouble(MIN_GAP_FACTOR, MAX_GAP_FACTOR);
        return true;
    }

    /** Returns a gap, in mean gaps, as sampled at a random moment: its density grows with its length. */
    private static double lengthBiasedGap(double drawn) {
        double shortest = MIN_GAP_FACTOR * MIN_GAP_FACTOR;
        return Math.sqrt(shortest + drawn * (MAX_GAP_FACTOR * MAX_GAP_FACTOR - shortest));
    }

    /** Returns whether only some reports are sent. */
    boolean isRateLimited() {
        return rateLimited;
    }

    /** Returns the current mean number of seconds between two sent reports. */
    double meanGap() {
        return meanGap;
    }

    /**
     * Returns the seconds for which a report sent now is valid: the longest possible gap, up to the maximum age of a
     * report.
     */
    double window() {
        return window(meanGap, period);
    }

    /** Returns the number of routers that a report sent now represents. */
    double weight() {
        return weight(meanGap, window());
    }

    static double window(double meanGap, double period) {
        return Math.max(PeerReport.MIN_WINDOW, Math.min(PeerReport.MAX_WINDOW, MAX_GAP_FACTOR * (meanGap + period)));
    }

    /** Returns one over the fraction of time during which a router has a valid report. */
    static double weight(double meanGap, double window) {
        double shortest = MIN_GAP_FACTOR * meanGap;
        if (window >= MAX_GAP_FACTOR * meanGap) {
            return 1;
        }
        double excess = Math.max(0, window - shortest);
        // The mean of min(gap, window) is the window minus the mean amount by which shorter gaps fall below it.
        return meanGap / (window - excess * excess / (2 * (MAX_GAP_FACTOR - MIN_GAP_FACTOR) * meanGap));
    }
}
