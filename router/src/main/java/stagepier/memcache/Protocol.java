package stagepier.memcache;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Limits (in bytes) and functions that both directions of the protocol share. */
public final class Protocol {
    public static final int LARGEST_VALUE = 64 * 1024;
    public static final byte[] LINE_END = {'\r', '\n'};
    static final int LARGEST_LINE = 2048;
    static final int LARGEST_KEY = 250;
    static final int LARGEST_ID = 32;
    /** A line, and a value with its line end. */
    static final int LARGEST_MESSAGE = LARGEST_LINE + LARGEST_VALUE + 2;

    private static final Pattern SPACES = Pattern.compile(" +");

    private Protocol() {}

    /** Returns a line with its line end, as written to a socket. */
    public static byte[] line(String text) {
        return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a message of a line and a value, each with its line end. */
    public static byte[] withValue(String text, byte[] value) {
        byte[] line = line(text);
        byte[] whole = new byte[line.length + value.length + 2];
        System.arraycopy(line, 0, whole, 0, line.length);
        System.arraycopy(value, 0, whole, line.length, value.length);
        whole[whole.length - 2] = '\r';
        whole[whole.length - 1] = '\n';
        return whole;
    }

    /** Returns the length of the first line with its line end, or -1 until the line end has arrived. */
    static int lineLength(RingBuffer in) throws MalformedException {
        int end = in.indexOf((byte) '\n', 0);
        if (end >= LARGEST_LINE || end < 0 && in.size() >= LARGEST_LINE) {
            throw new MalformedException("line too long");
        }
        return end + 1 == 0 ? -1 : end + 1;
    }

    /** Returns the words of the first line, which has the given length. */
    static String[] words(RingBuffer in, int lineLength) {
        int n = lineLength - 1;
        if (n > 0 && in.at(n - 1) == '\r') {
            n--;
        }
        return SPACES.split(in.text(0, n));
    }

    /** Returns the value length that the word denotes, or -1 if it denotes none. */
    static int valueLength(String word) {
        if (word.isEmpty() || word.length() > 7 || !word.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Integer.parseInt(word);
    }

    /** Returns the value after a line. The caller has checked that the value and its line end have arrived. */
    static byte[] value(RingBuffer in, int from, int length) throws MalformedException {
        checkEnd(in, from + length);
        return in.copy(from, length);
    }

    /** Checks that a line end follows the value. */
    static void checkEnd(RingBuffer in, int at) throws MalformedException {
        if (in.at(at) != '\r' || in.at(at + 1) != '\n') {
            throw new MalformedException("bad data chunk");
        }
    }
}
