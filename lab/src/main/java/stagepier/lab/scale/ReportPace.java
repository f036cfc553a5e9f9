package stagepier.lab.scale;

/**
 * Reports of hollow routers so far, and how many of them were sent late or not at all.
 */
record ReportPace(long planned, long late) {
    /** A report that goes off later than this after its time is late; seconds. */
    static final double LATE_AFTER = 0.05;

    /** A run of whose reports more than this part were late did not keep its pace. */
    static final double LATE_MOST = 0.01;

    ReportPace since(ReportPace earlier) {
        return new ReportPace(planned - earlier.planned, late - earlier.late);
    }

    boolean isKept() {
        return late <= LATE_MOST * planned;
    }
}
