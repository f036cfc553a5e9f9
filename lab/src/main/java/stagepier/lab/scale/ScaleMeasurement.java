package stagepier.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/** All runs of a plan, one after the other; results are written after each, so that an end half-way loses none. */
public final class ScaleMeasurement {
    /** The file of the results in their folder. */
    public static final String RESULTS = "results.json";

    private final ScalePlan plan;
    private final List<String> command;
    private final Path folder;

    /**
     * @param command starts one router
     * @param folder  of the results
     */
    public ScaleMeasurement(ScalePlan plan, List<String> command, Path folder) {
        this.plan = plan;
        this.command = List.copyOf(command);
        this.folder = folder;
    }

    /** @throws PlanTooLargeException where there is not the room for that plan; nothing is started */
    public static void check(ScalePlan plan) throws IOException, PlanTooLargeException {
        ScaleRequirements.of(plan).check(MachineResources.read());
    }

    /**
     * Plays all runs.
     *
     * @param earlier what the results are added to, or null
     * @param watcher is told the results of each run
     */
    public ScaleResults measure(ScaleResults earlier, Consumer<ScaleResults> watcher)
            throws IOException, InterruptedException {
        ScaleResults all = earlier;
        for (int routers : plan.sizes()) {
            for (long seed : plan.seeds()) {
                Path run = Files.createDirectories(folder.resolve("routers-%d-seed-%d".formatted(routers, seed)));
                ScaleOutcome outcome = new ScaleRun(plan, routers, seed).measure(command, run);
                ScaleResults results = new ScaleResults(
                        plan.command(),
                        Runtime.getRuntime().availableProcessors(),
                        outcome.samples(),
                        outcome.invalid());
                watcher.accept(results);
                all = all == null ? results : all.with(results);
                all.write(folder.resolve(RESULTS));
            }
        }
        return all;
    }
}
