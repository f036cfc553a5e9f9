package stagepier.lab.scale;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What is to be measured.
 *
 * @param sizes   routers of the whole fleet, real and hollow, for each run
 * @param real    router processes among them
 * @param seconds of each measured span
 * @param warmUp  seconds before each measured span, in which compilers work and links are opened
 */
public record ScalePlan(
        List<Integer> sizes, int real, List<Long> seeds, int seconds, int warmUp, ReportPacing reports) {
    /** Fewer routers tell each other nothing. */
    public static final int ROUTERS_LEAST = 7;

    private static final List<Integer> SHORT_SIZES = List.of(50, 400, 1900);
    private static final int SHORT_SECONDS = 5;
    private static final int SHORT_WARM_UP = 2;

    public ScalePlan {
        sizes = List.copyOf(sizes);
        seeds = List.copyOf(seeds);
    }

    /** The short form that a build has time for: from few routers to the whole fleet, one process, one seed. */
    public static ScalePlan shortForm() {
        return new ScalePlan(SHORT_SIZES, 1, List.of(1L), SHORT_SECONDS, SHORT_WARM_UP, ReportPacing.BOUNDED);
    }

    /** The command line that measures it again. */
    public String command() {
        return "bin/stagepier lab scale --routers %s --real %d --seeds %s --seconds %d --warm-up %d --reports %s"
                .formatted(
                        joined(sizes),
                        real,
                        joined(seeds),
                        seconds,
                        warmUp,
                        reports.name().toLowerCase(Locale.ROOT));
    }

    private static String joined(List<?> all) {
        return all.stream().map(Object::toString).collect(Collectors.joining(","));
    }

    int largest() {
        return sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
