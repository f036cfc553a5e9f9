package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stagepier.lab.fleet.DeploymentCommand;
import stagepier.lab.model.Randoms;
import stagepier.lab.standin.LabClock;

/** Hollow routers beside real router processes, under one load: what both send has to be of one kind. */
@Timeout(60)
class SimulatedRouterTest {
    private static final int REAL = 3;
    private static final int ROUTERS = 8;
    private static final long SEED = 11;
    private static final int LOAD_LASTS = 50;
    /**
     * So many reports with something to tell show that load and links are there; and so many of each router are
     * compared.
     */
    private static final int BUSY_REPORTS = 8;

    private static final int COMPARED_REPORTS = 40;
    private static final int WAIT = 30;

    @TempDir
    private Path folder;

    @Test
    void itsLoadReportsAreThoseOfARealRouter() throws Exception {
        LabClock clock = new LabClock();
        ReportLog log = new ReportLog(ROUTERS);
        try (ReportFanOut fanOut = new ReportFanOut(clock, REAL, ROUTERS, log);
                RealRouters real = new RealRouters(clock, StatedLoad.scenario(REAL, LOAD_LASTS), SEED)) {
            real.start(fanOut.addresses(), DeploymentCommand.read(Path.of("..")), folder);
            int[] servers = real.servers();
            fanOut.start(new ReportSchedule(
                    ScaleRun.hollow(ReportPacing.EVERY, REAL, ROUTERS, servers, new Randoms(SEED), clock.now())));
            real.load();
            log.await(0, REAL, of -> of.stream().filter(r -> !r.isEmpty()).count() >= BUSY_REPORTS, WAIT);
            List<List<SentReport>> seen = log.await(0, ROUTERS, of -> of.size() >= COMPARED_REPORTS, WAIT);
            Set<Integer> numbers = Arrays.stream(servers).boxed().collect(Collectors.toSet());
            assertEquals(
                    List.of(),
                    ReportComparison.differences(seen.subList(0, REAL), seen.subList(REAL, ROUTERS), numbers));
            for (int number = 0; number < REAL; number++) {
                var counters = real.processes().get(number).counters();
                assertEquals(
                        0,
                        counters.get("peer_messages_strange") + counters.get("peer_messages_malformed"),
                        "router " + number + " took all that it heard for word of routers");
            }
        }
    }
}
