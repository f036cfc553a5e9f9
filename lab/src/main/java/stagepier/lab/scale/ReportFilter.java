package stagepier.lab.scale;

/** What lies between routers: whether a load report of one reaches another. */
@FunctionalInterface
interface ReportFilter {
    /** Nothing is lost. */
    ReportFilter NONE_LOST = (sender, process) -> true;

    /**
     * @param sender  number of the router that reports
     * @param process number of the router process that it is for
     */
    boolean passes(int sender, int process);
}
