package stagepier.memcache;

import java.util.Arrays;
import java.util.List;

/** Parses the commands in the bytes of a client connection. */
public final class CommandParser {
    private CommandParser() {}

    /**
     * Returns the next command, or null until it has arrived whole.
     *
     * @throws MalformedException if the start of the next command cannot be determined
     */
    public static Command next(RingBuffer in) throws MalformedException {
        int line = Protocol.lineLength(in);
        if (line < 0) {
            return null;
        }
        String[] words = Protocol.words(in, line);
        switch (words[0]) {
            case "mg":
                in.skip(line);
                return request(Command.Kind.GET, Arrays.asList(words).subList(1, words.length), Command.NO_VALUE);
            case "ms":
                return write(in, line, words);
            case "mn":
                in.skip(line);
                return new Command(Command.Kind.ALIVE, List.of(), Command.NO_VALUE);
            case "stats":
                in.skip(line);
                return new Command(
                        words.length == 1 ? Command.Kind.STATS : Command.Kind.UNKNOWN, List.of(), Command.NO_VALUE);
            case "quit":
                in.skip(line);
                return new Command(Command.Kind.QUIT, List.of(), Command.NO_VALUE);
            default:
                in.skip(line);
                return new Command(Command.Kind.UNKNOWN, List.of(), Command.NO_VALUE);
        }
    }

    /**
     * Returns the number of bytes of the next command, which has not arrived whole; that of the longest one until its
     * line has.
     *
     * @throws MalformedException if its length cannot be determined
     */
    public static int lengthOfNext(RingBuffer in) throws MalformedException {
        int line = Protocol.lineLength(in);
        return line < 0 ? Protocol.LARGEST_MESSAGE : line + valueLength(Protocol.words(in, line)) + 2;
    }

    private static int valueLength(String[] words) throws MalformedException {
        int length = words.length < 3 ? -1 : Protocol.valueLength(words[2]);
        if (length < 0) {
            throw new MalformedException("bad data length");
        }
        if (length > Protocol.LARGEST_VALUE) {
            throw new MalformedException("object too large");
        }
        return length;
    }

    private static Command write(RingBuffer in, int line, String[] words) throws MalformedException {
        int length = valueLength(words);
        if (in.size() < line + length + 2) {
            return null;
        }
        byte[] value = Protocol.value(in, line, length);
        in.skip(line + length + 2);
        List<String> kept = new java.util.ArrayList<>(Arrays.asList(words).subList(1, words.length));
        kept.remove(1);
        return request(Command.Kind.SET, kept, value);
    }

    private static Command request(Command.Kind kind, List<String> words, byte[] value) {
        if (words.isEmpty() || words.get(0).isEmpty() || words.get(0).length() > Protocol.LARGEST_KEY) {
            return bad("bad key");
        }
        String rejection = rejection(kind, words);
        return rejection == null ? new Command(kind, List.copyOf(words), value) : bad(rejection);
    }

    /**
     * Returns why a request is not forwarded, or null. Prevents forwarding of input that a cache server cannot parse,
     * for which it closes the connection with all requests in flight there, and of flags that change which answers
     * arrive: a quiet command would get none.
     */
    private static String rejection(Command.Kind kind, List<String> words) {
        boolean id = false;
        boolean attributes = false;
        boolean value = false;
        for (int i = 0; i < words.size(); i++) {
            String word = words.get(i);
            if (word.chars().anyMatch(c -> c <= ' ' || c > '~')) {
                return i == 0 ? "bad key" : "bad flag";
            }
            if (i == 0) {
                continue;
            }
            switch (word.charAt(0)) {
                case 'O' -> {
                    if (id || word.length() < 2 || word.length() > 1 + Protocol.LARGEST_ID) {
                        return "bad request id";
                    }
                    id = true;
                }
                case 'P' -> {
                    if (attributes) {
                        return "bad flag";
                    }
                    attributes = true;
                }
                case 'v' -> {
                    if (value || word.length() > 1 || kind != Command.Kind.GET) {
                        return "bad flag";
                    }
                    value = true;
                }
                default -> {
                    return "bad flag";
                }
            }
        }
        if (!id) {
            return "no request id";
        }
        // Without the flag v, a cache server answers a read without the value.
        return kind == Command.Kind.GET && !value ? "a read without the flag v" : null;
    }

    private static Command bad(String what) {
        return new Command(Command.Kind.BAD, List.of(what), Command.NO_VALUE);
    }
}
