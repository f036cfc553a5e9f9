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
 * What goes over a link: JSON records, one a line, in UTF-8. Reading holds no more than the longest line; whoever says more is not
 * listened to further.
 */
final class FrameCodec {
    private static final Gson GSON =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    /** Beyond the message itself: its number on the link. */
    private static final int LONGEST_LINE = FleetRpc.MAX_MESSAGE_BYTES + 64;

    private static final int USUAL = 4 * 1024;

    /** The first line of who called up: who it is, whom it takes this for, and which fleet it knows. */
    record Hello(String name, String target, String configuration) {}

    /** A call or its reply, which has the same number. A reply of no kind says that nobody here answers such a call. */
    record Frame(long id, String kind, JsonElement body) {}

    private final InputStream in;
    private byte[] buffer = new byte[USUAL];
    private int from;
    private int to;

    FrameCodec(InputStream in) {
        this.in = in;
    }

    /**
     * Waits for a record.
     *
     * @throws EOFException               the other side has closed the link
     * @throws Message.MalformedException it is no such record, or too long
     */
    <T> T next(Class<T> type) throws IOException, Message.MalformedException {
        int seen = from;
        for (; ; ) {
            for (int i = seen; i < to; i++) {
                if (buffer[i] == '\n') {
                    String line = new String(buffer, from, i - from, StandardCharsets.UTF_8);
                    from = i + 1;
                    return parse(line, type);
                }
            }
            if (to - from > LONGEST_LINE) {
                throw new Message.MalformedException("a line of more than " + LONGEST_LINE + " bytes");
            }
            seen = makeRoom();
            int n = in.read(buffer, to, buffer.length - to);
            if (n < 0) {
                throw new EOFException();
            }
            to += n;
        }
    }

    /** Moves what is begun to the front, in as much room as it needs; says up to where there is no end of line in it. */
    private int makeRoom() {
        int begun = to - from;
        byte[] before = buffer;
        if (begun == 0 && buffer.length > USUAL) {
            buffer = new byte[USUAL];
        } else if (begun == buffer.length) {
            buffer = new byte[Math.min(2 * buffer.length, LONGEST_LINE + 1)];
        }
        System.arraycopy(before, from, buffer, 0, begun);
        from = 0;
        to = begun;
        return begun;
    }

    private static <T> T parse(String line, Class<T> type) throws Message.MalformedException {
        try {
            T record = GSON.fromJson(line, type);
            if (record == null) {
                throw new Message.MalformedException("an empty line");
            }
            return record;
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new Message.MalformedException("no " + type.getSimpleName());
        }
    }

    /** @throws IllegalArgumentException longer than {@link FleetRpc#MAX_MESSAGE_BYTES}: a fault of the part that made it */
    static byte[] written(Object record) {
        byte[] text = GSON.toJson(record).getBytes(StandardCharsets.UTF_8);
        if (text.length > LONGEST_LINE) {
            throw new IllegalArgumentException("a message of " + text.length + " bytes");
        }
        byte[] line = Arrays.copyOf(text, text.length + 1);
        line[text.length] = '\n';
        return line;
    }

    static void write(OutputStream out, Object record) throws IOException {
        out.write(written(record));
    }
}
