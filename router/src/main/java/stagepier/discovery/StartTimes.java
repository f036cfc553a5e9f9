package stagepier.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import stagepier.exchange.Clock;

/**
 * Start times of cache servers by the clock of this process. Lists give them in Unix time, and the wall clock of this
 * machine may have been stepped before the process started. A server would then count as warm, or as cold, for as long
 * as the clock is wrong. Two limits prevent that: no server started in the future, and a server listed with a new start
 * while lists are followed did not start long before the previous list.
 */
final class StartTimes {
    /** Longest expected delay in seconds between the start of a server and the list that names it. */
    private static final double MAX_LISTING_DELAY_S = 1;
    /** Limit of remembered servers. A remembered server that is listed again unchanged keeps its age. */
    private static final int MAX_SERVERS = 4096;

    /**
     * @param listedStart start according to the list
     * @param localStart  start by the clock of this process
     */
    private record Start(double listedStart, double localStart) {}

    private final Clock clock;
    private final Map<Long, Start> starts = new LinkedHashMap<>();
    /** When the last list of discovery was applied; NaN before the first. */
    private double lastListAt = Double.NaN;

    StartTimes(Clock clock) {
        this.clock = clock;
    }

    /**
     * Returns the start of a server in seconds of the clock; 0 if that was long ago.
     *
     * @param listedStart start according to the list, in seconds of Unix time
     */
    double of(long server, double listedStart) {
        if (listedStart == 0) {
            return 0;
        }
        Start known = starts.get(server);
        if (known != null && known.listedStart() == listedStart) {
            return known.localStart();
        }
        double localStart = capToNow(listedStart);
        if (!Double.isNaN(lastListAt)) {
            localStart = Math.max(localStart, lastListAt - MAX_LISTING_DELAY_S);
        }
        remember(server, new Start(listedStart, localStart));
        return localStart;
    }

    /** Limits a time read from a wall clock to the current time. */
    double capToNow(double time) {
        return Math.min(time, clock.now());
    }

    private void remember(long server, Start start) {
        starts.remove(server);
        starts.put(server, start);
        if (starts.size() > MAX_SERVERS) {
            starts.remove(starts.keySet().iterator().next());
        }
    }

    /** Records that a list received from discovery, as opposed to one that may be old, has been applied completely. */
    void recordListReceived() {
        lastListAt = clock.now();
    }
}
