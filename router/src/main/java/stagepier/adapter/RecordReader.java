package stagepier.adapter;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads the big-endian fields of one record from a reused buffer, never past the end of the record. */
final class RecordReader {
    private byte[] bytes;
    private int at;
    private int end;
    private String where = "";

    void open(byte[] buffer, int from, int to, String what) {
        bytes = buffer;
        at = from;
        end = to;
        where = what;
    }

    /** Checks that the record was read to its end; a longer one means that both sides disagree on its fields. */
    void close() {
        if (at != end) {
            throw new WireException(where + ": " + (end - at) + " bytes too many");
        }
    }

    int u8() {
        need(1);
        return bytes[at++] & 0xff;
    }

    int u16() {
        need(2);
        int v = (bytes[at] & 0xff) << 8 | bytes[at + 1] & 0xff;
        at += 2;
        return v;
    }

    int i32() {
        need(4);
        int v = intAt(bytes, at);
        at += 4;
        return v;
    }

    long u32() {
        return i32() & 0xffffffffL;
    }

    long u64() {
        long high = u32();
        return high << 32 | u32();
    }

    double f64() {
        return Double.longBitsToDouble(u64());
    }

    float f32() {
        return Float.intBitsToFloat(i32());
    }

    /** Reads a count of entries of at least {@code size} bytes each; rejects a count that exceeds the record. */
    int count(int size) {
        long n = u32();
        if (n * size > end - at) {
            throw new WireException(where + ": count " + n + " does not fit its record");
        }
        return (int) n;
    }

    String text() {
        int n = count(1);
        String s = new String(bytes, at, n, StandardCharsets.UTF_8);
        at += n;
        return s;
    }

    byte[] bytes(int n) {
        need(n);
        at += n;
        return Arrays.copyOfRange(bytes, at - n, at);
    }

    void skip(int n) {
        need(n);
        at += n;
    }

    private void need(int n) {
        if (end - at < n) {
            throw new WireException(where + ": ends inside a field");
        }
    }

    static int intAt(byte[] b, int at) {
        return (b[at] & 0xff) << 24 | (b[at + 1] & 0xff) << 16 | (b[at + 2] & 0xff) << 8 | b[at + 3] & 0xff;
    }
}
