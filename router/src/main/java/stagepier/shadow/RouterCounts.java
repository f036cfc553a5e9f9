package stagepier.shadow;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * What one process of one router has counted, as it travels. Written by that process alone: of two, the one of the higher
 * sequence holds all that the other holds.
 *
 * @param router      its name
 * @param incarnation of the process
 * @param epoch       of its view when it was written
 * @param map         id of the candidate
 * @param sequence    grows with each change
 * @param times       histograms in microseconds, as HdrHistogram writes them, in base 64, by class and side
 */
record RouterCounts(
        String router,
        long incarnation,
        long epoch,
        String map,
        long sequence,
        SortedMap<String, Long> counters,
        SortedMap<String, String> times) {
    /** Guards against a histogram that would take the memory of a router. */
    private static final int TEXT_MOST = 16 * 1024;

    static RouterCounts of(String router, long incarnation, long epoch, Counts.Snapshot s) {
        SortedMap<String, String> times = new TreeMap<>();
        s.times().forEach((which, h) -> times.put(which, encoded(h)));
        return new RouterCounts(router, incarnation, epoch, s.map(), s.sequence(), s.counters(), times);
    }

    private static String encoded(IntCountsHistogram h) {
        ByteBuffer bytes = ByteBuffer.allocate(h.getNeededByteBufferCapacity());
        int n = h.encodeIntoCompressedByteBuffer(bytes);
        return Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(bytes.array(), n));
    }

    /** Adds the times of one class and side to a histogram. */
    void addTimes(String which, Histogram to) throws DataFormatException {
        String text = times.get(which);
        if (text != null) {
            to.add(Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0));
        }
    }

    /** Whether what came over a wire is whole. */
    boolean isWhole() {
        return router != null
                && map != null
                && counters != null
                && times != null
                && incarnation > 0
                && sequence >= 0
                && counters.values().stream().allMatch(java.util.Objects::nonNull)
                && times.values().stream().allMatch(t -> t != null && t.length() <= TEXT_MOST);
    }

    /** Characters that it takes in a message, roughly. */
    int length() {
        return 200
                + counters.keySet().stream().mapToInt(k -> k.length() + 24).sum()
                + times.entrySet().stream()
                        .mapToInt(e -> e.getKey().length() + e.getValue().length() + 8)
                        .sum();
    }

    long counter(String name) {
        return counters.getOrDefault(name, 0L);
    }
}
