package stagepier.lab.scale.saturation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.ProcessUse;
import stagepier.lab.scale.Sample;

/** Requests and bytes of values that one router passes on while it is never without work. */
public final class SaturationMeasurement {
    /**
     * What a measurement has shown.
     *
     * @param samples of a router that had a core's worth of work; empty where it had not
     * @param invalid why the measurement shows nothing; empty where it does
     */
    public record Outcome(List<Sample> samples, List<String> invalid) {}

    /**
     * The router decides on one thread, which stands still while its heap is collected. With less than this part of a core
     * for both that thread was waiting for the laboratory.
     */
    public static final double BUSY_FROM = 0.95;

    /** The thread of the virtual machine that collects the heap, where the collector is the serial one. */
    private static final String COLLECTOR = " VM Thread";

    private static final int ONE_ROUTER = 1;

    private final List<String> command;
    private final Path folder;

    /**
     * @param command starts one router
     * @param folder  for its configuration and log
     */
    public SaturationMeasurement(List<String> command, Path folder) {
        this.command = List.copyOf(command);
        this.folder = folder;
    }

    /** Plays one setting and ends all that it started. */
    public Outcome measure(SaturationSetting setting) throws IOException, InterruptedException {
        try (SaturatedRouter router = new SaturatedRouter(setting, command, Files.createDirectories(folder))) {
            router.start(setting.connections());
            TimeUnit.SECONDS.sleep(setting.warmUp());
            Reading before = Reading.of(router);
            TimeUnit.SECONDS.sleep(setting.seconds());
            return outcome(setting, before, Reading.of(router), router.clients().lost());
        }
    }

    /** What clients and the process have done so far. */
    record Reading(double at, ClosedLoopClients.Ended ended, double processor, Map<String, Double> threads) {
        private static final double NANOSECONDS = 1e9;

        private static Reading of(SaturatedRouter router) throws IOException {
            return new Reading(
                    System.nanoTime() / NANOSECONDS,
                    router.clients().ended(),
                    ProcessUse.of(router.pid()).processorSeconds(),
                    ProcessUse.ofThreads(router.pid()));
        }
    }

    static Outcome outcome(SaturationSetting setting, Reading before, Reading after, long lostConnections) {
        double span = after.at() - before.at();
        double processor = (after.processor() - before.processor()) / span;
        double eventLoop = eventLoop(before.threads(), after.threads()) / span;
        ClosedLoopClients.Ended ended = after.ended().since(before.ended());
        List<String> invalid = new ArrayList<>();
        if (eventLoop < BUSY_FROM) {
            invalid.add(
                    "%d connections, %d bytes, seed %d: the event loop and the collector of the router took %.3f cores, not %.2f"
                            .formatted(
                                    setting.connections(), setting.valueBytes(), setting.seed(), eventLoop, BUSY_FROM));
        }
        if (lostConnections > 0) {
            invalid.add("%d connections, %d bytes, seed %d: %d connections of clients ended"
                    .formatted(setting.connections(), setting.valueBytes(), setting.seed(), lostConnections));
        }
        List<Sample> samples = new ArrayList<>();
        if (invalid.isEmpty()) {
            double answered = ended.answered() / span;
            double bytes = ended.valueBytes() / span;
            samples.add(sample(setting, Figure.REQUESTS_ANSWERED, answered));
            samples.add(sample(setting, Figure.REQUESTS_ANSWERED_PER_CORE, answered / processor));
            samples.add(sample(setting, Figure.VALUE_BYTES_ANSWERED, bytes));
            samples.add(sample(setting, Figure.VALUE_BYTES_ANSWERED_PER_CORE, bytes / processor));
            samples.add(sample(setting, Figure.REQUESTS_NOT_ANSWERED, ended.notAnswered() / span));
            samples.add(sample(setting, Figure.PROCESSOR, processor));
            samples.add(sample(setting, Figure.EVENT_LOOP, eventLoop));
        }
        return new Outcome(List.copyOf(samples), List.copyOf(invalid));
    }

    /** What the busiest thread but the collector has taken, and the collector. */
    private static double eventLoop(Map<String, Double> before, Map<String, Double> after) {
        double busiest = 0;
        double collector = 0;
        for (Map.Entry<String, Double> thread : after.entrySet()) {
            double taken = thread.getValue() - before.getOrDefault(thread.getKey(), 0.0);
            if (thread.getKey().endsWith(COLLECTOR)) {
                collector = taken;
            } else {
                busiest = Math.max(busiest, taken);
            }
        }
        return busiest + collector;
    }

    private static Sample sample(SaturationSetting setting, Figure figure, double value) {
        return new Sample(Conversation.DATA_PATH, figure, ONE_ROUTER, setting.seed(), value);
    }
}
