package stagepier.shadow;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The counts of one process of one router, in the form sent between routers. Only that process writes them: of two
 * records, the one with the higher sequence number includes the other.
 *
 * @param router name of the router
 * @param incarnation incarnation of the process
 * @param epoch epoch of the router's view at the time of writing
 * @param map id of the candidate
 * @param sequence increases with each change
 * @param times histograms in microseconds by class and side, in HdrHistogram's compressed encoding as base 64
 */
record RouterCounts(
        String router,
        long incarnation,
        long epoch,
        String map,
        long sequence,
        SortedMap<String, Long> counters,
        SortedMap<String, String> times) {
    /** Maximum characters of an encoded histogram; prevents a malformed one from exhausting the router's memory. */
    private static final int MAX_HISTOGRAM_LENGTH = 16 * 1024;

    static RouterCounts of(String router, long incarnation, long epoch, Counts.Snapshot s) {
        SortedMap<String, String> times = new TreeMap<>();
        s.times().forEach((which, h) -> times.put(which, encode(h)));
        return new RouterCounts(router, incarnation, epoch, s.map(), s.sequence(), s.counters(), times);
    }

    private static String encode(IntCountsHistogram h) {
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

    /** Returns whether a record received from another router is complete and within the limits. */
    boolean isValid() {
        return router != null
                && map != null
                && counters != null
                && times != null
                && incarnation > 0
                && sequence >= 0
                && counters.values().stream().allMatch(java.util.Objects::nonNull)
                && times.values().stream().allMatch(t -> t != null && t.length() <= MAX_HISTOGRAM_LENGTH);
    }

    /** Returns the approximate number of characters of this record in a message. */
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
