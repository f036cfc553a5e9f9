package stagepier.exchange;

import java.util.regex.Pattern;

/**
 * Numbers for the names on sockets: the same at every router, so that all rings agree, and where a name is a number
 * in hex the same as in the simulator, so that a key has the same owner there.
 */
public final class Ids {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Pattern KEY = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern SERVER = Pattern.compile("s-[0-9a-f]{8}");

    private Ids() {}

    /** A key in hex is its number. */
    public static long ofKey(String key) {
        long number = KEY.matcher(key).matches() ? Long.parseUnsignedLong(key, 16) : 0;
        return number != 0 ? number : hash(key);
    }

    /** A server named {@code s-} and eight hex digits is that number; other names lie above all of these. */
    public static long ofServer(String name) {
        return SERVER.matcher(name).matches() ? Long.parseLong(name.substring(2), 16) : hash(name) | 1L << 32;
    }

    /** FNV-1a of the name; never 0, which would stand for none. */
    private static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
