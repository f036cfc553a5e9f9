package stagepier.lab.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stagepier.lab.scale.Sample;
import stagepier.lab.scale.ScaleResults;
import stagepier.lab.scale.discovery.DiscoveryRun;
import stagepier.lab.scale.discovery.DiscoverySetting;
import stagepier.lab.scale.discovery.DiscoveryTable;
import stagepier.lab.scale.discovery.ResourceCheck;
import stagepier.lab.scale.discovery.WatchTimes;
import stagepier.lab.standin.DiscoveryBehaviour;

/** Measures what one discovery service meets under the watches of a whole fleet. */
@Command(
        name = "scale-discovery",
        mixinStandardHelpOptions = true,
        description = "Measures a discovery service under hollow watchers: calm, changes, the herd after an outage. "
                + "Exit code 1 where a run fell behind its own pace, and so shows nothing.")
final class ScaleDiscoveryCommand implements Callable<Integer> {
    /** How lists come to routers. */
    enum Mode {
        PUSH,
        ASK
    }

    /** How routers watch. */
    enum Watch {
        /** As the router watches an agent on its own machine. */
        AGENT,
        /** As the router watches one service that all routers ask. */
        SHARED
    }

    private static final int WATCHES_MOST = 4000;
    private static final int SERVERS_MOST = 2000;
    private static final double MILLISECONDS = 1e-3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--watches",
            split = ",",
            defaultValue = "50,100,200,400,800,1900",
            description = "sizes of the fleet (${DEFAULT-VALUE})")
    private List<Integer> watches;

    @Option(names = "--servers", defaultValue = "240", description = "cache servers on the list (${DEFAULT-VALUE})")
    private int servers;

    @Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "a run for each (${DEFAULT-VALUE})")
    private List<Long> seeds;

    @Option(
            names = "--mode",
            defaultValue = "push",
            description = "push: answers at once, silent in an outage; ask: takes calls in turn (${DEFAULT-VALUE})")
    private Mode mode;

    @Option(names = "--call-ms", defaultValue = "0.5", description = "ask: work for a call (${DEFAULT-VALUE})")
    private double callMs;

    @Option(
            names = "--line-ms",
            defaultValue = "0.02",
            description = "ask: work for an entry of an answer (${DEFAULT-VALUE})")
    private double lineMs;

    @Option(
            names = "--wait-ms",
            defaultValue = "1000",
            description = "ask: a call that waited longer for its turn is answered with 503 (${DEFAULT-VALUE})")
    private double waitMs;

    @Option(
            names = "--most-waiting",
            defaultValue = "4000",
            description = "ask: calls that may wait; further ones are reset (${DEFAULT-VALUE})")
    private int mostWaiting;

    @Option(names = "--notices-ended", description = "ask: no work for calls whose connection has ended")
    private boolean noticesEnded;

    @Option(
            names = "--watch",
            description = "agent or shared: the router's waits for one of them (agent with push, shared with ask)")
    private Watch watch;

    @Option(
            names = "--now-within-ms",
            defaultValue = "300",
            description = "agent: a watcher gives up a call that asks what there is now after this (${DEFAULT-VALUE})")
    private int nowWithinMs;

    @CommandLine.Mixin
    private ResultsOptions output;

    @Override
    public Integer call() throws IOException, InterruptedException {
        check();
        for (int size : watches) {
            ResourceCheck.check(size);
        }
        List<Sample> samples = new ArrayList<>();
        List<String> invalid = new ArrayList<>();
        DiscoveryTable table = new DiscoveryTable(spec.commandLine().getOut());
        if (!output.isJson()) {
            table.head();
        }
        for (int size : watches) {
            for (long seed : seeds) {
                DiscoverySetting setting = new DiscoverySetting(size, servers, seed, manners(), times());
                DiscoveryRun.Outcome outcome;
                try (DiscoveryRun run = new DiscoveryRun(setting)) {
                    outcome = run.run();
                }
                samples.addAll(outcome.samples());
                invalid.addAll(outcome.invalid());
                if (!output.isJson()) {
                    table.row(setting, outcome);
                }
            }
        }
        output.write(
                mode == Mode.PUSH ? "discovery.json" : "discovery-ask.json",
                new ScaleResults(output.typed(), Runtime.getRuntime().availableProcessors(), samples, invalid));
        return invalid.isEmpty() ? 0 : Cli.BROKEN;
    }

    private DiscoveryBehaviour manners() {
        return mode == Mode.PUSH
                ? DiscoveryBehaviour.PUSHED
                : new DiscoveryBehaviour(
                        true,
                        callMs * MILLISECONDS,
                        lineMs * MILLISECONDS,
                        waitMs * MILLISECONDS,
                        mostWaiting,
                        noticesEnded);
    }

    private WatchTimes times() {
        Watch usual = mode == Mode.PUSH ? Watch.AGENT : Watch.SHARED;
        return (watch == null ? usual : watch) == Watch.AGENT
                ? WatchTimes.OF_AGENT.withNowWithin(nowWithinMs)
                : WatchTimes.OF_SHARED_SERVICE;
    }

    private void check() {
        require(
                !watches.isEmpty() && watches.stream().allMatch(w -> w >= 1 && w <= WATCHES_MOST),
                "--watches must lie between 1 and " + WATCHES_MOST);
        require(servers >= 4 && servers <= SERVERS_MOST, "--servers must lie between 4 and " + SERVERS_MOST);
        require(
                callMs >= 0 && lineMs >= 0 && waitMs > 0 && mostWaiting > 0 && nowWithinMs > 0,
                "--call-ms and --line-ms must be 0 or more, --wait-ms, --most-waiting and --now-within-ms more than 0");
    }

    private void require(boolean isSo, String message) {
        if (!isSo) {
            throw new CommandLine.ParameterException(spec.commandLine(), message);
        }
    }
}
