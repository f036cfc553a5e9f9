package stagepier.lab.scale;

import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;

/**
 * The load under which scale runs measure: light, so that what grows with the fleet is what routers tell each other,
 * and steady, so that each report has something to tell. All keys are held, so that an answer takes the work that is
 * stated and no more.
 */
final class StatedLoad {
    static final int CACHE_SERVERS = 240;

    /** Requests a second to each router. */
    static final double REQUESTS = 150;

    /** Core seconds of a request at a cache server of speed 1. */
    static final double WORK = 0.06;

    /** Of all classes; seconds. */
    static final double SHORTEST_DEADLINE = 1.5;

    /** Half of the stand-ins have speed 1, half three quarters of it. */
    private static final double MEAN_SLOWNESS = (1 + 1 / 0.75) / 2;

    private static final double MS = 1e3;

    private static final String TEXT = """
            name = "scale"
            [fleet]
            routers = 1
            sockets = 1024
            peers = true
            [node]
            memory = 2000
            [load]
            rate = %s
            seconds = %s
            keys = 1000
            zipf = 0.3
            router_skew = 0
            [[class]]
            name = "read"
            aim_ms = 500
            deadline_ms = %s
            work_ms = %s
            """;

    private StatedLoad() {}

    /** For so many router processes and seconds. */
    static Scenario scenario(int real, double seconds) {
        String text = TEXT.formatted(REQUESTS * real, seconds, SHORTEST_DEADLINE * MS, WORK * MS);
        try {
            return ScenarioReader.parse("scale", text).withFleet(CACHE_SERVERS, real);
        } catch (InvalidScenarioException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Attempts that a router has in flight on the average. */
    static double meanInFlight() {
        return REQUESTS * WORK * MEAN_SLOWNESS;
    }
}
