package stagepier.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import stagepier.Api;

/**
 * Selects the entries of a report that is too long for a message: servers with an open circuit first, then a random
 * sample of the others. The sample keeps the sum unbiased if a router has attempts at more servers than a message
 * holds. Does no I/O and reads no clock.
 */
final class ReportSampler {
    private final SplittableRandom random;

    ReportSampler(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns at most this many of the entries. */
    List<Api.ServerReport> choose(List<Api.ServerReport> entries, int maxEntries) {
        if (entries.size() <= maxEntries) {
            return entries;
        }
        List<Api.ServerReport> selected =
                sample(entries.stream().filter(Api.ServerReport::open).toList(), maxEntries);
        selected.addAll(sample(entries.stream().filter(entry -> !entry.open()).toList(), maxEntries - selected.size()));
        return selected;
    }

    private List<Api.ServerReport> sample(List<Api.ServerReport> from, int maxEntries) {
        List<Api.ServerReport> remaining = new ArrayList<>(from);
        int n = Math.min(maxEntries, remaining.size());
        for (int i = 0; i < n && n < remaining.size(); i++) {
            int j = random.nextInt(i, remaining.size());
            Api.ServerReport drawn = remaining.get(j);
            remaining.set(j, remaining.get(i));
            remaining.set(i, drawn);
        }
        return new ArrayList<>(remaining.subList(0, n));
    }
}
