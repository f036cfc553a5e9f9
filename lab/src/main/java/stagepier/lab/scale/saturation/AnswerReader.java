package stagepier.lab.scale.saturation;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Reads the answer to one command from the pieces in which it comes. A value is counted and skipped, not kept. Free of
 * sockets.
 */
final class AnswerReader {
    /** How a command has ended. */
    enum Kind {
        /** With a value. */
        VALUE,
        /** Turned away: trying again is harmless. */
        REFUSED,
        /** Otherwise: an error, or no value. */
        FAILED
    }

    /**
     * A whole answer.
     *
     * @param valueBytes   of its value; 0 where it has none
     * @param retryAfterMs when to come again after a refusal, in milliseconds; 0 where it does not say
     */
    record Answer(Kind kind, int valueBytes, int retryAfterMs) {}

    private static final int LONGEST_LINE = 8192;
    private static final int LINE_END = 2;
    private static final String VALUE = "VA ";
    private static final String REFUSAL = "SERVER_ERROR busy";

    private final StringBuilder line = new StringBuilder();
    /** Of the value that is being read, its line end included; 0 while a line is. */
    private int bytesLeft;

    private int valueBytes;

    /**
     * Takes bytes up to the end of an answer.
     *
     * @return the answer, or null where more has to come
     * @throws IllegalStateException where it is no answer of the protocol
     */
    Answer read(ByteBuf in) {
        while (in.isReadable()) {
            if (bytesLeft > 0) {
                int taken = Math.min(bytesLeft, in.readableBytes());
                in.skipBytes(taken);
                bytesLeft -= taken;
                if (bytesLeft == 0) {
                    return new Answer(Kind.VALUE, valueBytes, 0);
                }
            } else if (isLineComplete(in)) {
                String whole = line.toString().stripTrailing();
                line.setLength(0);
                if (!whole.startsWith(VALUE)) {
                    return withoutValue(whole);
                }
                valueBytes = Integer.parseInt(whole.split(" ")[1]);
                bytesLeft = valueBytes + LINE_END;
            }
        }
        return null;
    }

    private boolean isLineComplete(ByteBuf in) {
        int newline = in.bytesBefore((byte) '\n');
        int length = newline < 0 ? in.readableBytes() : newline + 1;
        if (line.length() + length > LONGEST_LINE) {
            throw new IllegalStateException("the first line of an answer is over " + LONGEST_LINE + " bytes");
        }
        line.append(in.readCharSequence(length, StandardCharsets.ISO_8859_1));
        return newline >= 0;
    }

    private static Answer withoutValue(String line) {
        if (!line.startsWith(REFUSAL)) {
            return new Answer(Kind.FAILED, 0, 0);
        }
        String after = line.substring(REFUSAL.length()).trim();
        return new Answer(Kind.REFUSED, 0, after.isEmpty() ? 0 : Integer.parseInt(after));
    }
}
