package stagepier.exchange;

import java.util.regex.Pattern;

/**
 * Maps the names used on sockets to numbers. The mapping is the same on every router, so that all hash rings agree. A
 * name that is a number in hex keeps this number, as in the simulator, so that a key has the same owner there.
 */
public final class Ids {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Pattern KEY = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern SERVER = Pattern.compile("s-[0-9a-f]{8}");

    private Ids() {}

    /** Returns the number of a key; a key of 16 hex digits is the number that these digits write. */
    public static long ofKey(String key) {
        long number = KEY.matcher(key).matches() ? Long.parseUnsignedLong(key, 16) : 0;
        return number != 0 ? number : hash(key);
    }

    /** Returns the number of a server: {@code s-} and eight hex digits give that number, other names a larger one. */
    public static long ofServer(String name) {
        return SERVER.matcher(name).matches() ? Long.parseLong(name.substring(2), 16) : hash(name) | 1L << 32;
    }

    /** Returns the FNV-1a hash of the name; never 0, which means that there is no key. */
    private static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
