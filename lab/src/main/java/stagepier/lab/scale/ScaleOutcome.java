package stagepier.lab.scale;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/** What came of one {@link ScaleRun}: medians over its router processes, and why some figures are not among them. */
final class ScaleOutcome {
    /** What says nothing where a router could not take up what it was sent. */
    private static final Set<Figure> SPOILT_BY_OVERLOAD =
            EnumSet.of(Figure.PROCESSOR, Figure.BYTES_OUT, Figure.MESSAGES_OUT);

    private final String run;
    private final int routers;
    private final long seed;
    private final List<Sample> samples = new ArrayList<>();
    private final List<String> invalid = new ArrayList<>();

    /**
     * @param idle          one for each process, before any client has come
     * @param loaded        one for each process, under load
     * @param changeInForce seconds; infinite where a change was not in force in its time
     * @param pace          of the hollow routers over both spans
     * @param loadKept      whether the load was sent as planned
     */
    ScaleOutcome(
            ReportPacing reports,
            int routers,
            long seed,
            List<RouterSpan> idle,
            List<RouterSpan> loaded,
            double changeInForce,
            ReportPace pace,
            boolean loadKept) {
        run = "%d routers, seed %d, reports %s: ".formatted(routers, seed, reports);
        this.routers = routers;
        this.seed = seed;
        if (!pace.isKept()) {
            leaveOut("the whole run, for hollow routers fell behind their pace: %d of %d reports late"
                    .formatted(pace.late(), pace.planned()));
        } else if (!loadKept) {
            leaveOut("the whole run, for the load was not sent as planned");
        } else {
            addMedians(Conversation.LOAD_REPORTS, loaded, RouterSpan::reports);
            addMedians(Conversation.DISCOVERY, loaded, RouterSpan::discovery);
            addMedians(Conversation.CONTROL_PROCESS, idle, RouterSpan::process);
            addMedians(Conversation.PROCESS, loaded, RouterSpan::process);
            addChange(changeInForce);
            removeSpoilt(Stream.concat(idle.stream(), loaded.stream()).toList());
        }
    }

    List<Sample> samples() {
        return List.copyOf(samples);
    }

    /** Lines that say what is not among the samples, and why. */
    List<String> invalid() {
        return List.copyOf(invalid);
    }

    private void leaveOut(String what) {
        invalid.add(run + what);
    }

    private void add(Conversation conversation, Figure figure, double value) {
        samples.add(new Sample(conversation, figure, routers, seed, value));
    }

    /** Only figures that each process has told. */
    private void addMedians(
            Conversation conversation, List<RouterSpan> spans, Function<RouterSpan, Map<Figure, Double>> figuresOf) {
        List<Map<Figure, Double>> figures = spans.stream().map(figuresOf).toList();
        for (Figure figure : figures.get(0).keySet()) {
            if (figures.stream().allMatch(of -> of.containsKey(figure))) {
                add(conversation, figure, median(figures.stream().mapToDouble(of -> of.get(figure))));
            }
        }
    }

    private void addChange(double inForce) {
        if (Double.isFinite(inForce)) {
            add(Conversation.DISCOVERY, Figure.CHANGE_IN_FORCE_AT_PROCESSES, inForce);
        } else {
            leaveOut(Figure.CHANGE_IN_FORCE_AT_PROCESSES + ", for a change was not in force in time");
        }
    }

    private void removeSpoilt(List<RouterSpan> spans) {
        if (spans.stream().noneMatch(RouterSpan::isOverloaded)) {
            return;
        }
        samples.removeIf(sample -> SPOILT_BY_OVERLOAD.contains(sample.figure()));
        leaveOut("%s, for routers did not keep up: %.2f cores, %.2f of the reports understood"
                .formatted(
                        SPOILT_BY_OVERLOAD,
                        median(spans.stream().mapToDouble(RouterSpan::processor)),
                        median(spans.stream().mapToDouble(RouterSpan::heardPart))));
    }

    private static double median(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }
}
