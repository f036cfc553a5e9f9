package stagepier.lab.scale;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The load reports of all hollow routers in the order of time. Free of I/O and clock. */
final class ReportSchedule {
    /**
     * A report that is due.
     *
     * @param router number of its sender
     * @param at     when it is due, in seconds
     */
    record Due(int router, double at, byte[] report) {}

    private final PriorityQueue<SimulatedRouter> routers =
            new PriorityQueue<>(Comparator.comparingDouble(SimulatedRouter::nextAt));

    ReportSchedule(List<SimulatedRouter> routers) {
        this.routers.addAll(routers);
    }

    /** When the next report is due; infinity where none ever is. */
    double nextAt() {
        return routers.isEmpty() ? Double.POSITIVE_INFINITY : routers.peek().nextAt();
    }

    /** Takes the next report. */
    Due next() {
        SimulatedRouter router = routers.remove();
        double at = router.nextAt();
        byte[] report = router.report();
        routers.add(router);
        return new Due(router.number(), at, report);
    }
}
