package stagepier.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;
import stagepier.lab.scale.Sample;

/** Samples of known growth for tests, with noise that is a part of the value and comes from a fixed seed. */
final class SyntheticSamples {
    static final List<Integer> SIZES = List.of(50, 100, 200, 400, 800, 1900);
    static final int SEEDS = 3;

    private SyntheticSamples() {}

    static List<Sample> of(
            Conversation conversation,
            Figure figure,
            List<Integer> sizes,
            IntToDoubleFunction growth,
            double noise,
            long noiseSeed) {
        Random random = new Random(noiseSeed);
        List<Sample> samples = new ArrayList<>();
        for (int routers : sizes) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                double value = growth.applyAsDouble(routers) * (1 + noise * random.nextGaussian());
                samples.add(new Sample(conversation, figure, routers, seed, value));
            }
        }
        return samples;
    }

    static FigureSeries series(
            Figure figure, List<Integer> sizes, IntToDoubleFunction growth, double noise, long noiseSeed) {
        return SeriesTable.of(of(Conversation.PROCESS, figure, sizes, growth, noise, noiseSeed))
                .get(0);
    }

    /** As a results file holds them. */
    static String json(List<Sample> samples, String invalid) {
        return samples.stream()
                .map(s -> """
                {"conversation": "%s", "figure": "%s", "routers": %d, "seed": %d, "value": %s}""".formatted(s.conversation(), s.figure(), s.routers(), s.seed(), s.value()))
                .collect(Collectors.joining(
                        ",\n",
                        "{\"command\": \"made up by a test\", \"cpu_cores\": 8, \"samples\": [\n",
                        "], \"invalid\": [" + invalid + "]}\n"));
    }
}
