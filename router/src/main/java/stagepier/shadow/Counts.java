package stagepier.shadow;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The counts that this process has collected for one candidate map since it started. Owned by the event loop; other
 * threads read snapshots. A snapshot contains all counts so far, so that a later one makes up for a lost one.
 */
public final class Counts {
    /** Longest recorded time, in microseconds; longer times are recorded as 10 s. */
    private static final int MAX_TIME_MICROS = 10_000_000;
    /** Significant digits: values are accurate to 1%, and each histogram takes about 10 KB. */
    private static final int SIGNIFICANT_DIGITS = 2;
    /** Scores are summed as integers in units of one millionth, so that sums are exact in any order. */
    static final double SCORE_UNIT = 1e6;

    /**
     * Counter of the scores of copies sent to the candidate's owners. The counters with the suffixes {@code _sum} and
     * {@code _squares} hold the sums of the scores and of their squares, in units of 1 / {@link #SCORE_UNIT}.
     */
    static final String SCORES = "scores";
    /** The same for control copies, which are sent to the servers of the real requests. */
    static final String CONTROLS = "control_scores";

    private final Map<String, long[]> counters = new TreeMap<>();
    private final Map<String, IntCountsHistogram> times = new TreeMap<>();
    private long sequence;

    void add(String counter, long n) {
        counters.computeIfAbsent(counter, c -> new long[1])[0] += n;
        sequence++;
    }

    /** @param score see {@link Comparison#score} */
    void addScore(boolean control, double score) {
        if (!Double.isNaN(score)) {
            String prefix = control ? CONTROLS : SCORES;
            add(prefix, 1);
            add(prefix + "_sum", Math.round(score * SCORE_UNIT));
            add(prefix + "_squares", Math.round(score * score * SCORE_UNIT));
        }
    }

    /** Returns the sums of the scores, under the names that {@link #addScore} uses. */
    static Verdict.Sums sums(String prefix, ToLongFunction<String> counter) {
        return new Verdict.Sums(
                counter.applyAsLong(prefix),
                counter.applyAsLong(prefix + "_sum") / SCORE_UNIT,
                counter.applyAsLong(prefix + "_squares") / SCORE_UNIT);
    }

    /** @param series class and side, such as {@code read.copy} */
    void recordTime(String series, double seconds) {
        times.computeIfAbsent(series, w -> new IntCountsHistogram(MAX_TIME_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(1, Math.min(MAX_TIME_MICROS, Math.round(seconds * 1e6))));
        sequence++;
    }

    long sequence() {
        return sequence;
    }

    Snapshot snapshot(String map) {
        SortedMap<String, Long> values = new TreeMap<>();
        counters.forEach((name, n) -> values.put(name, n[0]));
        SortedMap<String, IntCountsHistogram> histograms = new TreeMap<>();
        times.forEach((series, h) -> histograms.put(series, h.copy()));
        return new Snapshot(map, sequence, values, histograms);
    }

    /** An immutable copy of all counts up to one moment. */
    public record Snapshot(
            String map, long sequence, SortedMap<String, Long> counters, SortedMap<String, IntCountsHistogram> times) {
        long counter(String name) {
            return counters.getOrDefault(name, 0L);
        }
    }
}
