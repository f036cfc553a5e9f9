package stagepier.shadow;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.HdrHistogram.IntCountsHistogram;

/**
 * What this process has counted of one candidate map since it began. Owned by the event loop; what others read is a snapshot,
 * which holds all so far, so that one that is lost is made good by the next.
 */
public final class Counts {
    /** In microseconds; 10 s and more fall together. */
    private static final int LONGEST = 10_000_000;
    /** Significant digits: values are within 1%. Each histogram takes some 10 KB. */
    private static final int DIGITS = 2;
    /** Scores are summed in these parts of 1, so that sums are exact in any order. */
    static final double SCORE_UNIT = 1e6;

    /** Scores of copies at the candidate's owners; with {@code _sum} and {@code _squares} in parts of {@link #SCORE_UNIT}. */
    static final String SCORES = "scores";
    /** The same of copies at the servers of the real requests. */
    static final String CONTROLS = "control_scores";

    private final Map<String, long[]> counters = new TreeMap<>();
    private final Map<String, IntCountsHistogram> times = new TreeMap<>();
    private long sequence;

    void add(String counter, long n) {
        counters.computeIfAbsent(counter, c -> new long[1])[0] += n;
        sequence++;
    }

    /** @param score of {@link Comparison#score} */
    void score(boolean control, double score) {
        if (!Double.isNaN(score)) {
            String of = control ? CONTROLS : SCORES;
            add(of, 1);
            add(of + "_sum", Math.round(score * SCORE_UNIT));
            add(of + "_squares", Math.round(score * score * SCORE_UNIT));
        }
    }

    /** Sums of scores, as {@link #score} names them. */
    static Verdict.Sums sums(String of, ToLongFunction<String> counter) {
        return new Verdict.Sums(
                counter.applyAsLong(of),
                counter.applyAsLong(of + "_sum") / SCORE_UNIT,
                counter.applyAsLong(of + "_squares") / SCORE_UNIT);
    }

    /** @param which class and side, such as {@code read.copy} */
    void time(String which, double seconds) {
        times.computeIfAbsent(which, w -> new IntCountsHistogram(LONGEST, DIGITS))
                .recordValue(Math.max(1, Math.min(LONGEST, Math.round(seconds * 1e6))));
        sequence++;
    }

    long sequence() {
        return sequence;
    }

    Snapshot snapshot(String map) {
        SortedMap<String, Long> numbers = new TreeMap<>();
        counters.forEach((name, n) -> numbers.put(name, n[0]));
        SortedMap<String, IntCountsHistogram> copies = new TreeMap<>();
        times.forEach((which, h) -> copies.put(which, h.copy()));
        return new Snapshot(map, sequence, numbers, copies);
    }

    /** All that was counted up to a moment. Nobody changes it any more. */
    public record Snapshot(
            String map, long sequence, SortedMap<String, Long> counters, SortedMap<String, IntCountsHistogram> times) {
        long counter(String name) {
            return counters.getOrDefault(name, 0L);
        }
    }
}
