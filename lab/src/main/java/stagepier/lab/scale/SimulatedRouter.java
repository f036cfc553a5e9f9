package stagepier.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.PoissonSampler;

/**
 * A router that routes nothing and only sends load reports, as a real one under the stated load would. Its attempts
 * in flight are drawn anew for each report: an attempt is over long before the next. It begins as one that has
 * reported for long. Free of I/O and clock.
 */
final class SimulatedRouter {
    /** Reports after which the size of the next ones is known well enough. */
    private static final int KNOWN_AFTER = 20;

    private final int number;
    private final int zone;
    private final LoadReportModel model;
    private final int[] servers;
    private final UniformRandomProvider random;
    private final DiscreteSampler inFlight;
    private double nextAt;

    /**
     * @param meanInFlight attempts that it has in flight at all servers together, on the average
     * @param servers      numbers of the cache servers
     * @param from         when it starts, in seconds; its first report comes when the gap that it is found in is over
     */
    SimulatedRouter(
            int number,
            int zone,
            LoadReportModel model,
            double meanInFlight,
            int[] servers,
            UniformRandomProvider random,
            double from) {
        this.number = number;
        this.zone = zone;
        this.model = model;
        this.servers = servers.clone();
        this.random = random;
        inFlight = PoissonSampler.of(random, meanInFlight);
        for (int i = 0; i < KNOWN_AFTER; i++) {
            model.report(loads(), zone);
        }
        nextAt = from + model.remainingGap(random.nextDouble(), random.nextDouble());
    }

    int number() {
        return number;
    }

    /** When its next report is due, in seconds. */
    double nextAt() {
        return nextAt;
    }

    /** The report that is due; from then on the next one is. */
    byte[] report() {
        byte[] report = model.report(loads(), zone);
        nextAt += model.nextGap(random.nextDouble());
        return report;
    }

    private List<ServerLoad> loads() {
        Map<Integer, Integer> counts = new HashMap<>();
        for (int attempts = inFlight.sample(); attempts > 0; attempts--) {
            counts.merge(servers[random.nextInt(servers.length)], 1, Integer::sum);
        }
        List<ServerLoad> loads = new ArrayList<>(counts.size());
        counts.forEach((server, count) -> loads.add(new ServerLoad(server, count, false)));
        return loads;
    }
}
