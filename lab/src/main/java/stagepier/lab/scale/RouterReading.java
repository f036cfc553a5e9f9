package stagepier.lab.scale;

import java.util.Map;
import stagepier.lab.traffic.HttpTraffic;

/**
 * One router process at one moment.
 *
 * @param at        seconds
 * @param reports   load reports, sent to it and by it so far
 * @param discovery what it and its agent of discovery have exchanged so far
 * @param counters  its own; empty where it did not answer
 */
record RouterReading(
        double at, ReportTraffic reports, HttpTraffic discovery, ProcessUse use, Map<String, Long> counters) {
    /** In place of a counter that it did not tell. */
    static final long NOT_TOLD = -1;

    private static final String HEARD = "peer_messages_heard";
    private static final String HEAP = "heap_used_bytes";

    RouterReading {
        counters = Map.copyOf(counters);
    }

    /** Load reports that it says it has heard. */
    long heard() {
        return counters.getOrDefault(HEARD, NOT_TOLD);
    }

    /** Bytes of its heap in use. */
    long heap() {
        return counters.getOrDefault(HEAP, NOT_TOLD);
    }
}
