package stagepier.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import stagepier.exchange.Clock;

/**
 * When cache servers started, by the clock of this process. Lists tell it in Unix time, and the wall clock of this machine may have been
 * stepped before the process began. Guards against a server that counts as warm, or as cold, for as long as the clock is wrong: none
 * started in the future, and one that is listed as newly started while lists are followed has not started long before the list before.
 */
final class StartTimes {
    /** Seconds between a server's start and the list that names it. */
    private static final double LISTED_WITHIN = 1;
    /** Servers that are remembered, so that one which is listed again unchanged keeps its age. */
    private static final int SERVERS_MOST = 4096;

    /**
     * @param listed as the list tells it
     * @param here   by the clock of this process
     */
    private record Start(double listed, double here) {}

    private final Clock clock;
    private final Map<Long, Start> starts = new LinkedHashMap<>();
    /** When the last list of discovery was taken; NaN before the first. */
    private double listTakenAt = Double.NaN;

    StartTimes(Clock clock) {
        this.clock = clock;
    }

    /**
     * The start of a server in seconds of the clock; 0 where that was long ago.
     *
     * @param listed as the list tells it, in seconds of Unix time
     */
    double of(long server, double listed) {
        if (listed == 0) {
            return 0;
        }
        Start known = starts.get(server);
        if (known != null && known.listed() == listed) {
            return known.here();
        }
        double here = notInFuture(listed);
        if (!Double.isNaN(listTakenAt)) {
            here = Math.max(here, listTakenAt - LISTED_WITHIN);
        }
        remember(server, new Start(listed, here));
        return here;
    }

    /** A time that was read off a wall clock. */
    double notInFuture(double time) {
        return Math.min(time, clock.now());
    }

    private void remember(long server, Start start) {
        starts.remove(server);
        starts.put(server, start);
        if (starts.size() > SERVERS_MOST) {
            starts.remove(starts.keySet().iterator().next());
        }
    }

    /** A list of discovery, not one that may be old, has been taken whole. */
    void listTaken() {
        listTakenAt = clock.now();
    }
}
