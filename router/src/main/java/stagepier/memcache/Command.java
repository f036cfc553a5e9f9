package stagepier.memcache;

import java.util.List;

/**
 * A command of a client. The words of its line are kept as received, so that everything but the waiting time can be
 * forwarded unchanged.
 *
 * @param kind  kind of the command; {@link Kind#BAD} and {@link Kind#UNKNOWN} only need an error answer
 * @param words the key, then the flags; for {@link Kind#BAD} the error text
 * @param value value of a write; empty otherwise
 */
public record Command(Kind kind, List<String> words, byte[] value) {
    /** Kinds of commands. */
    public enum Kind {
        GET,
        SET,
        ALIVE,
        STATS,
        QUIT,
        UNKNOWN,
        BAD
    }

    static final byte[] NO_VALUE = {};

    public boolean isWrite() {
        return kind == Kind.SET;
    }

    public String key() {
        return words.get(0);
    }

    /** Returns this command without the value of a write, for what remains to be known of it once it is answered. */
    public Command withoutValue() {
        return new Command(kind, words, NO_VALUE);
    }

    /** Returns the request id; empty if there is none. */
    public String id() {
        return flag('O');
    }

    /** Returns a named entry of the flag {@code P}, or null. */
    public String attribute(String name) {
        for (String entry : flag('P').split(",")) {
            if (entry.startsWith(name) && entry.length() > name.length() && entry.charAt(name.length()) == '=') {
                return entry.substring(name.length() + 1);
            }
        }
        return null;
    }

    private String flag(char letter) {
        for (int i = 1; i < words.size(); i++) {
            if (words.get(i).charAt(0) == letter) {
                return words.get(i).substring(1);
            }
        }
        return "";
    }

    /** Returns the message for a cache server: unchanged except for the waiting time left, in milliseconds. */
    public byte[] forward(long waitMs) {
        StringBuilder line = new StringBuilder(isWrite() ? "ms " : "mg ").append(key());
        if (isWrite()) {
            line.append(' ').append(value.length);
        }
        for (String word : words.subList(1, words.size())) {
            line.append(' ').append(word.charAt(0) == 'P' ? withTime(word, waitMs) : word);
        }
        return isWrite() ? Protocol.withValue(line.toString(), value) : Protocol.line(line.toString());
    }

    private static String withTime(String attributes, long waitMs) {
        StringBuilder out = new StringBuilder("P");
        for (String entry : attributes.substring(1).split(",")) {
            out.append(out.length() > 1 ? "," : "").append(entry.startsWith("d=") ? "d=" + waitMs : entry);
        }
        return out.toString();
    }
}
