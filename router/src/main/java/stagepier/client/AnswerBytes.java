package stagepier.client;

import java.util.function.ToIntFunction;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;

/** The bytes of one answer while they are moved into a link's ring buffer, which may be smaller than the answer. */
final class AnswerBytes {
    /** Copies bytes of an array, starting at an index, as far as there is room; returns the number of bytes copied. */
    interface Sink {
        int put(byte[] bytes, int from);

        /** Takes bytes from a supplier as far as there is room; returns the number of bytes taken. */
        int put(ToIntFunction<RingBuffer> supplier);
    }

    private final byte[][] parts;
    /** The value that is streamed between the first line and the line end, or null. */
    private final ValueFlow flow;

    private final int length;
    private int part;
    private int at;

    /** An answer of one line. */
    AnswerBytes(byte[] line) {
        this(line, (byte[]) null);
    }

    /** @param value the value that follows the line, without its line end, or null */
    AnswerBytes(byte[] line, byte[] value) {
        flow = null;
        parts = value == null ? new byte[][] {line} : new byte[][] {line, value, Protocol.LINE_END};
        int sum = 0;
        for (byte[] p : parts) {
            sum += p.length;
        }
        length = sum;
    }

    /** A line followed by a streamed value and its line end. */
    AnswerBytes(byte[] line, ValueFlow value) {
        flow = value;
        parts = new byte[][] {line, Protocol.LINE_END};
        length = line.length;
    }

    /** The streamed value, or null. */
    ValueFlow flow() {
        return flow;
    }

    /** Whether a byte of it has been moved. */
    boolean isStarted() {
        return part > 0 || at > 0;
    }

    /** Number of bytes held in memory. */
    int length() {
        return length;
    }

    /** Moves bytes as far as there is room; returns whether all of them have been moved. */
    boolean moveTo(Sink sink) {
        while (part < parts.length) {
            if (flow != null && part == 1 && !flow.isComplete()) {
                // The line end is written only once the value is known to be valid to its end.
                sink.put(flow::moveTo);
                return false;
            }
            at += sink.put(parts[part], at);
            if (at < parts[part].length) {
                return false;
            }
            part++;
            at = 0;
        }
        return true;
    }
}
