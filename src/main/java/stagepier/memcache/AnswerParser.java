package stagepier.memcache;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Takes whole answers off a cache server's bytes. */
public final class AnswerParser {
    private AnswerParser() {
    }

    /**
     * The next answer, or null until it has come whole.
     *
     * @throws MalformedException where the bytes are no answer that a cache server gives
     */
    public static Answer next(RingBuffer in) throws MalformedException {
        int line = Protocol.lineLength(in);
        if (line < 0) {
            return null;
        }
        String[] words = Protocol.words(in, line);
        switch (words[0]) {
            case "VA":
                return value(in, line, words);
            case "HD":
                in.skip(line);
                return new Answer(Answer.Kind.RECEIPT, flag(words, 1, 'O'),
                        flag(words, 1, 'c').getBytes(StandardCharsets.ISO_8859_1), Answer.Hit.UNTOLD);
            case "MN":
                in.skip(line);
                return plain(Answer.Kind.ALIVE);
            case "SERVER_ERROR":
                in.skip(line);
                return plain(words.length > 1 && words[1].equals("busy") ? Answer.Kind.BUSY : Answer.Kind.FAILED);
            default:
                throw new MalformedException("no answer");
        }
    }

    private static Answer value(RingBuffer in, int line, String[] words) throws MalformedException {
        int length = words.length < 2 ? -1 : Protocol.valueLength(words[1]);
        if (length < 0 || length > Protocol.LARGEST_VALUE) {
            throw new MalformedException("bad value length");
        }
        if (in.size() < line + length + 2) {
            return null;
        }
        byte[] value = Protocol.value(in, line, length);
        in.skip(line + length + 2);
        Answer.Hit hit = switch (flag(words, 2, 'h')) {
            case "1" -> Answer.Hit.HIT;
            case "0" -> Arrays.asList(words).contains("Z") ? Answer.Hit.MISS_FETCHING : Answer.Hit.MISS;
            default -> Answer.Hit.UNTOLD;
        };
        return new Answer(Answer.Kind.VALUE, flag(words, 2, 'O'), value, hit);
    }

    private static Answer plain(Answer.Kind kind) {
        return new Answer(kind, "", Answer.NO_BODY, Answer.Hit.UNTOLD);
    }

    private static String flag(String[] words, int from, char letter) {
        for (int i = from; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return "";
    }
}
