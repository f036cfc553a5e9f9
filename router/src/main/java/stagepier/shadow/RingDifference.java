package stagepier.shadow;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import stagepier.Api;

/**
 * What a candidate would change, foretold from the two rings alone: keys that move, and parts of all keys by server, zone and
 * kind. By a sample of keys, the same at all routers: parts are within some 0.3% of the whole. Pure.
 *
 * @param moved    part of the keys that change their owner
 * @param present  part of the keys by server
 * @param foretold the same by the candidate
 */
public record RingDifference(double moved, Map<Long, Double> present, Map<Long, Double> foretold) {
    private static final int SAMPLE = 20_000;

    /** Compares two rings. */
    public static RingDifference of(ShardRing present, ShardRing candidate) {
        Map<Long, Double> before = new TreeMap<>();
        Map<Long, Double> after = new TreeMap<>();
        SplittableRandom keys = new SplittableRandom(1);
        int moved = 0;
        for (int i = 0; i < SAMPLE; i++) {
            long key = keys.nextLong();
            long from = present.owner(key);
            long to = candidate.owner(key);
            moved += from != to ? 1 : 0;
            before.merge(from, 1.0 / SAMPLE, Double::sum);
            after.merge(to, 1.0 / SAMPLE, Double::sum);
        }
        return new RingDifference(moved / (double) SAMPLE, before, after);
    }

    /** The largest part of a server over the mean part: 1 where all have the same. */
    static double largest(Map<Long, Double> parts) {
        return parts.values().stream().mapToDouble(Double::doubleValue).max().orElse(0) * parts.size();
    }

    /** Parts by what servers have in common. */
    static Map<String, Double> by(
            Map<Long, Double> parts, List<Api.Member> members, Function<Api.Member, String> what) {
        Map<Long, String> names = new HashMap<>();
        members.forEach(m -> names.put(m.id(), what.apply(m)));
        Map<String, Double> sums = new TreeMap<>();
        parts.forEach((server, part) -> sums.merge(names.getOrDefault(server, "unlisted"), part, Double::sum));
        return sums;
    }

    /** For staff. */
    public String describe(List<Api.Member> members, List<String> zones, List<String> kinds) {
        return String.format(
                Locale.ROOT,
                "keys moved %.1f%%, largest server %.2f -> %.2f of the mean, zones %s, kinds %s",
                100 * moved,
                largest(present),
                largest(foretold),
                change(members, m -> name(zones, m.zone())),
                change(members, m -> name(kinds, m.kind())));
    }

    private static String name(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "other";
    }

    private String change(List<Api.Member> members, Function<Api.Member, String> what) {
        Map<String, Double> before = by(present, members, what);
        Map<String, Double> after = by(foretold, members, what);
        return after.entrySet().stream()
                .map(e -> String.format(
                        Locale.ROOT,
                        "%s %.1f%%->%.1f%%",
                        e.getKey(),
                        100 * before.getOrDefault(e.getKey(), 0.0),
                        100 * e.getValue()))
                .collect(Collectors.joining(" "));
    }
}
