package stagepier.memcache;

import java.util.List;

/**
 * What a client asked. The words of the line are kept as they came, so that all but the time can be passed on
 * without change.
 *
 * @param kind  what to do with it; {@link Kind#BAD} and {@link Kind#UNKNOWN} want an answer and nothing else
 * @param words key first, then the flags; of {@link Kind#BAD} what is wrong
 * @param value of a write; empty otherwise
 */
public record Command(Kind kind, List<String> words, byte[] value) {
    /** What commands there are. */
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

    /** The request's id; empty where there is none. */
    public String id() {
        return flag('O');
    }

    /** A named entry of the flag {@code P}, or null. */
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

    /** The message for a cache server: unchanged, but for the time that is left to wait. */
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
