package stagepier.peers;

import java.util.SplittableRandom;

/**
 * When a router sends what its module reports, and how many routers that stands for, so that what all routers send
 * together keeps to a rate however many they are. The module makes a report at a period of its own. Where all of those
 * of all routers keep to the rate, each is sent. Else the mean gap between two is so long that they do; each gap is
 * drawn uniformly from half to one and a half times the mean.
 *
 * <p>The estimate of the sum is that of Horvitz and Thompson (1952): a report counts for a {@link #window()} at most,
 * so that a router's reports count for the part {@code E[min(gap, window)] / E[gap]} of the time, and each weighs one
 * over that part. It is unbiased if the gap that follows a report does not depend on what the report holds: the mean
 * gap comes from the sizes of earlier reports alone. Free of I/O and clock.
 */
public final class ReportSchedule {
    /** Of the 7,000 that a router may spend on control, in and out together. */
    static final double BYTES_PER_SECOND = 6000;
    /** Bytes of a datagram above its payload, for IP and UDP. */
    static final int DATAGRAM_HEADERS = 28;
    /** Gaps are drawn from this part of the mean to two less that part of it. */
    private static final double SHORTEST_GAP = 0.5;

    private static final double LONGEST_GAP = 1.5;
    /** Reports over whose sizes the mean is taken. */
    private static final int REMEMBERED = 32;

    private final int routers;
    private final double period;
    private final SplittableRandom random;
    private double entries;
    private int reports;
    private double meanGap;
    private boolean bounded;
    /** When the first gap began, and its length in mean gaps; not a number while every report is sent. */
    private double startedAt = Double.NaN;

    private double firstGap;
    /** From when on a report is due; not a number before the first one. */
    private double dueAt = Double.NaN;

    /**
     * @param routers all that report, this one included
     * @param period  mean seconds between two reports of the module
     */
    public ReportSchedule(int routers, double period, long seed) {
        this.routers = routers;
        this.period = period;
        random = new SplittableRandom(seed);
    }

    /** Whether the report that the module makes now is to be sent; {@code entriesNow} is its size. */
    boolean isDue(double now, int entriesNow) {
        if (reports == 0) {
            // Nothing earlier is known; it only says how long to wait.
            entries = entriesNow;
        }
        bounded = gapFor(PeerReportCodec.plainBytes(entries)) > period;
        meanGap = bounded ? Math.max(period, gapFor(PeerReportCodec.weightedBytes(entries))) : period;
        boolean due = !bounded || isDue(now);
        if (!bounded) {
            startedAt = Double.NaN;
            dueAt = Double.NaN;
        }
        reports++;
        entries += (entriesNow - entries) / Math.min(reports, REMEMBERED);
        return due;
    }

    private double gapFor(double payload) {
        return routers * (payload + DATAGRAM_HEADERS) / BYTES_PER_SECOND;
    }

    private boolean isDue(double now) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
            // What is left of a gap at a random moment: routers that start at once send at the usual rate from then on.
            // Drawn uniformly from one mean gap, the second reports would come in a wave of half as many again.
            firstGap = random.nextDouble() * longerGap(random.nextDouble());
        }
        double due = Double.isNaN(dueAt) ? startedAt + firstGap * meanGap : dueAt;
        if (now < due) {
            return false;
        }
        // From when it was due, so that waiting for the module does not add up, but no later than that.
        dueAt = Math.max(due, now - meanGap) + meanGap * random.nextDouble(SHORTEST_GAP, LONGEST_GAP);
        return true;
    }

    /** A gap in mean ones as a random moment finds it: with a density that grows with its length. */
    private static double longerGap(double drawn) {
        double shortest = SHORTEST_GAP * SHORTEST_GAP;
        return Math.sqrt(shortest + drawn * (LONGEST_GAP * LONGEST_GAP - shortest));
    }

    /** Whether only some reports are sent. */
    boolean isBounded() {
        return bounded;
    }

    /** Mean seconds between two reports sent, as it is now. */
    double meanGap() {
        return meanGap;
    }

    /**
     * Seconds for which a report that is sent now counts: no gap is longer, up to the most that a report may be old.
     */
    double window() {
        return window(meanGap, period);
    }

    /** How many routers a report that is sent now stands for. */
    double weight() {
        return weight(meanGap, window());
    }

    static double window(double meanGap, double period) {
        return Math.max(PeerReport.WINDOW_LEAST, Math.min(PeerReport.WINDOW_MOST, LONGEST_GAP * (meanGap + period)));
    }

    /** One over the part of time during which a router's reports count. */
    static double weight(double meanGap, double window) {
        double shortest = SHORTEST_GAP * meanGap;
        if (window >= LONGEST_GAP * meanGap) {
            return 1;
        }
        double over = Math.max(0, window - shortest);
        // The mean of min(gap, window) is window less the mean of what shorter gaps cut off.
        return meanGap / (window - over * over / (2 * (LONGEST_GAP - SHORTEST_GAP) * meanGap));
    }
}
