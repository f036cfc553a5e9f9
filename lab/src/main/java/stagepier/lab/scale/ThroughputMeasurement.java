package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stagepier.lab.fleet.RouterProcess;
import stagepier.lab.scenario.InvalidScenarioException;
import stagepier.lab.scenario.Scenario;
import stagepier.lab.scenario.ScenarioReader;
import stagepier.lab.standin.LabClock;

/** One router with the options of the deployment under a plain load that no cache server is too small for. */
public final class ThroughputMeasurement {
    /** Seconds under load before the measured span. */
    private static final int WARM_UP = 4;

    private static final int LOAD_OUTLASTS = 3;
    private static final String TEXT = """
            name = "throughput"
            [fleet]
            nodes = 24
            routers = 1
            sockets = 1024
            [node]
            cores = 64
            held = 100000
            connections = 100000
            memory = 2000
            [load]
            rate = %s
            seconds = %d
            keys = 1000
            zipf = 0.3
            value_bytes = %d
            retries = "none"
            [[class]]
            name = "read"
            aim_ms = 500
            deadline_ms = 1500
            work_ms = 1
            """;

    private final List<String> command;
    private final Path folder;

    /**
     * @param command starts one router
     * @param folder  for its configuration and log
     */
    public ThroughputMeasurement(List<String> command, Path folder) {
        this.command = List.copyOf(command);
        this.folder = folder;
    }

    /** Plays one load and ends all that it started. */
    public ThroughputPoint measure(double rate, int valueBytes, int seconds, long seed)
            throws IOException, InterruptedException, InvalidScenarioException {
        String text = TEXT.formatted(rate, WARM_UP + seconds + LOAD_OUTLASTS, valueBytes);
        Scenario scenario = ScenarioReader.parse("throughput", text);
        LabClock clock = new LabClock();
        try (RealRouters real = new RealRouters(clock, scenario, seed)) {
            real.startSilent(command, Files.createDirectories(folder));
            real.load();
            RouterProcess router = real.processes().get(0);
            TimeUnit.SECONDS.sleep(WARM_UP);
            double from = clock.now();
            double processor = ProcessUse.of(router.pid()).processorSeconds();
            long answered = real.answered();
            TimeUnit.SECONDS.sleep(seconds);
            double span = clock.now() - from;
            return new ThroughputPoint(
                    rate,
                    valueBytes,
                    (real.answered() - answered) / span,
                    (ProcessUse.of(router.pid()).processorSeconds() - processor) / span,
                    real.isLoadKept());
        }
    }
}
