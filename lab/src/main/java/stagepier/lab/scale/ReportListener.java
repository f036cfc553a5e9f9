package stagepier.lab.scale;

/** Hears of each load report that a router sends, real or hollow. */
@FunctionalInterface
interface ReportListener {
    ReportListener NONE = (router, at, report) -> {};

    /**
     * @param router number of the sender
     * @param at     when it was passed on, in seconds
     */
    void sent(int router, double at, byte[] report);
}
