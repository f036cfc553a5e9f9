package stagepier.client;

import java.util.function.ToIntFunction;
import stagepier.exchange.ValueFlow;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;

/** The bytes of one answer on their way into a link's ring, which may hold less than the whole of it at a time. */
final class AnswerBytes {
    /** Takes what it has room for of an array, from an index on, and returns how much. */
    interface Sink {
        int put(byte[] bytes, int from);

        /** Takes what one gives, as far as there is room, and returns how much. */
        int put(ToIntFunction<RingBuffer> giver);
    }

    private final byte[][] parts;
    /** What comes by and by between the line and the line end, or null. */
    private final ValueFlow flow;

    private final int length;
    private int part;
    private int at;

    /** A line alone. */
    AnswerBytes(byte[] line) {
        this(line, (byte[]) null);
    }

    /** @param value what follows the line, with a line end of its own, or null */
    AnswerBytes(byte[] line, byte[] value) {
        flow = null;
        parts = value == null ? new byte[][] {line} : new byte[][] {line, value, Protocol.LINE_END};
        int sum = 0;
        for (byte[] p : parts) {
            sum += p.length;
        }
        length = sum;
    }

    /** A line, then a value that comes by and by, with its line end. */
    AnswerBytes(byte[] line, ValueFlow value) {
        flow = value;
        parts = new byte[][] {line, Protocol.LINE_END};
        length = line.length;
    }

    /** The value that comes by and by, or null. */
    ValueFlow flow() {
        return flow;
    }

    /** Whether a byte of it has been moved. */
    boolean isBegun() {
        return part > 0 || at > 0;
    }

    /** Bytes that it holds. */
    int length() {
        return length;
    }

    /** Moves on as far as there is room; returns whether that was all. */
    boolean moveTo(Sink sink) {
        while (part < parts.length) {
            if (flow != null && part == 1 && !flow.isComplete()) {
                // What ends it is written once it is known to be good to its end.
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
