package stagepier.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import stagepier.Api;

/**
 * Chooses what a message holds of a report that is too long for it: servers with an open circuit first, of the others a
 * random sample, so that the sum stays unbiased where a router has attempts at more servers than it can tell of. Free
 * of I/O and clock.
 */
final class ReportSampler {
    private final SplittableRandom random;

    ReportSampler(long seed) {
        random = new SplittableRandom(seed);
    }

    /** At most so many of the entries. */
    List<Api.ServerReport> choose(List<Api.ServerReport> entries, int most) {
        if (entries.size() <= most) {
            return entries;
        }
        List<Api.ServerReport> chosen =
                sample(entries.stream().filter(Api.ServerReport::open).toList(), most);
        chosen.addAll(sample(entries.stream().filter(entry -> !entry.open()).toList(), most - chosen.size()));
        return chosen;
    }

    private List<Api.ServerReport> sample(List<Api.ServerReport> from, int most) {
        List<Api.ServerReport> left = new ArrayList<>(from);
        int n = Math.min(most, left.size());
        for (int i = 0; i < n && n < left.size(); i++) {
            int j = random.nextInt(i, left.size());
            Api.ServerReport drawn = left.get(j);
            left.set(j, left.get(i));
            left.set(i, drawn);
        }
        return new ArrayList<>(left.subList(0, n));
    }
}
