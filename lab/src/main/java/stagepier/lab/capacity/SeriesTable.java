package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

/** Sorts samples into series, one for each conversation and figure, and adds the totals that budgets are about. */
public final class SeriesTable {
    private static final Set<Figure> TOTALLED = Set.of(Figure.BYTES_IN, Figure.BYTES_OUT);

    private record Run(int routers, long seed) {}

    private record Part(Conversation conversation, Figure figure) {}

    private SeriesTable() {}

    /** All series of these samples, those of one conversation side by side; the total comes last. */
    public static List<FigureSeries> of(List<Sample> samples) {
        Map<Part, List<Sample>> parts = samples.stream()
                .collect(Collectors.groupingBy(
                        s -> new Part(s.conversation(), s.figure()),
                        () -> new TreeMap<>(
                                Comparator.comparing(Part::conversation).thenComparing(Part::figure)),
                        Collectors.toList()));
        List<FigureSeries> all = new ArrayList<>();
        parts.forEach((part, of) -> all.add(new FigureSeries(
                Subject.of(part.conversation(), part.figure()),
                of.stream()
                        .map(s -> new Observation(s.routers(), s.seed(), s.value()))
                        .toList())));
        List<Observation> total = total(parts);
        if (!total.isEmpty()) {
            all.add(new FigureSeries(Subject.CONTROL_BYTES, total));
        }
        return all;
    }

    /** Whether a sample is part of the total. */
    static boolean isTotalled(Sample sample) {
        return isTotalled(sample.conversation(), sample.figure());
    }

    private static boolean isTotalled(Conversation conversation, Figure figure) {
        return conversation != Conversation.PROCESS && TOTALLED.contains(figure);
    }

    /**
     * Bytes of all conversations of a run. Guards against a total that lacks a conversation: a run counts only where
     * each conversation and direction that was measured anywhere was measured in it.
     */
    private static List<Observation> total(Map<Part, List<Sample>> parts) {
        List<List<Sample>> totalled = parts.entrySet().stream()
                .filter(e -> isTotalled(e.getKey().conversation(), e.getKey().figure()))
                .map(Map.Entry::getValue)
                .toList();
        Map<Run, Double> sums = new HashMap<>();
        Map<Run, Integer> counts = new HashMap<>();
        for (List<Sample> part : totalled) {
            for (Sample s : part) {
                Run run = new Run(s.routers(), s.seed());
                sums.merge(run, s.value(), Double::sum);
                counts.merge(run, 1, Integer::sum);
            }
        }
        return sums.entrySet().stream()
                .filter(e -> counts.get(e.getKey()) == totalled.size())
                .map(e -> new Observation(e.getKey().routers(), e.getKey().seed(), e.getValue()))
                .sorted(Comparator.comparingInt(Observation::routers).thenComparingLong(Observation::seed))
                .toList();
    }
}
