package stagepier.client;

import stagepier.memcache.Protocol;

/** The bytes of one answer on their way into a link's ring, which may hold less than the whole of it at a time. */
final class AnswerBytes {
    /** Takes what it has room for of an array, from an index on, and returns how much. */
    interface Sink {
        int put(byte[] bytes, int from);
    }

    private final byte[][] parts;
    private final int length;
    private int part;
    private int at;

    /** @param value what follows the line, with a line end of its own, or null */
    AnswerBytes(byte[] line, byte[] value) {
        parts = value == null ? new byte[][] {line} : new byte[][] {line, value, Protocol.LINE_END};
        int sum = 0;
        for (byte[] p : parts) {
            sum += p.length;
        }
        length = sum;
    }

    int length() {
        return length;
    }

    /** Moves on as far as there is room; returns whether that was all. */
    boolean moveTo(Sink sink) {
        while (part < parts.length) {
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
