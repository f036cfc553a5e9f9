package stagepier.lab.scale;

/** How often hollow routers send load reports. */
public enum ReportPacing {
    /** Each time that a fixed part of the shortest deadline is over, however many routers there are. */
    EVERY,
    /**
     * At a rate at which what all routers send together stays within a budget, each report standing for those that
     * were left out.
     */
    BOUNDED
}
