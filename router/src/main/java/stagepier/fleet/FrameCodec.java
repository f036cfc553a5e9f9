package stagepier.fleet;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes and decodes the frames of a link: JSON records in UTF-8, one per line. The reader buffers at most one line of
 * the maximum length; a longer line is malformed.
 */
final class FrameCodec {
    private static final Gson GSON =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    /** The 64 bytes beyond the message hold its number on the link. */
    private static final int MAX_LINE_BYTES = FleetRpc.MAX_MESSAGE_BYTES + 64;

    private static final int INITIAL_BUFFER_BYTES = 4 * 1024;

    /** First frame on a link, from the side that opened it: its name, the expected member, its configuration hash. */
    record Hello(String name, String target, String configuration) {}

    /** A call, or its reply with the same number. A reply without a kind means that no handler exists for the call. */
    record Frame(long id, String kind, JsonElement body) {}

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;

    FrameCodec(InputStream in) {
        this.in = in;
    }

    /**
     * Waits for the next record.
     *
     * @throws EOFException               if the other side has closed the link
     * @throws Message.MalformedException if the line is not a record of this type, or is too long
     */
    <T> T next(Class<T> type) throws IOException, Message.MalformedException {
        int scanned = from;
        for (; ; ) {
            for (int i = scanned; i < to; i++) {
                if (buffer[i] == '\n') {
                    String line = new String(buffer, from, i - from, StandardCharsets.UTF_8);
                    from = i + 1;
                    return parse(line, type);
                }
            }
            if (to - from > MAX_LINE_BYTES) {
                throw new Message.MalformedException("line exceeds " + MAX_LINE_BYTES + " bytes");
            }
            scanned = compactBuffer();
            int n = in.read(buffer, to, buffer.length - to);
            if (n < 0) {
                throw new EOFException();
            }
            to += n;
        }
    }

    /**
     * Moves the incomplete line to the front of the buffer, which grows or shrinks as needed.
     *
     * @return the number of bytes of the incomplete line, which contain no line end
     */
    private int compactBuffer() {
        int incomplete = to - from;
        byte[] previous = buffer;
        if (incomplete == 0 && buffer.length > INITIAL_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
        } else if (incomplete == buffer.length) {
            buffer = new byte[Math.min(2 * buffer.length, MAX_LINE_BYTES + 1)];
        }
        System.arraycopy(previous, from, buffer, 0, incomplete);
        from = 0;
        to = incomplete;
        return incomplete;
    }

    private static <T> T parse(String line, Class<T> type) throws Message.MalformedException {
        try {
            T record = GSON.fromJson(line, type);
            if (record == null) {
                throw new Message.MalformedException("empty line");
            }
            return record;
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new Message.MalformedException("not a valid " + type.getSimpleName());
        }
    }

    /**
     * Encodes a record as one line.
     *
     * @throws IllegalArgumentException if the record is longer than {@link FleetRpc#MAX_MESSAGE_BYTES}, a fault of the
     *                                  service that created it
     */
    static byte[] encode(Object record) {
        byte[] text = GSON.toJson(record).getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_LINE_BYTES) {
            throw new IllegalArgumentException("message of " + text.length + " bytes exceeds the limit");
        }
        byte[] line = Arrays.copyOf(text, text.length + 1);
        line[text.length] = '\n';
        return line;
    }

    static void write(OutputStream out, Object record) throws IOException {
        out.write(encode(record));
    }
}
