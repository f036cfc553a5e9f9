package stagepier.exchange;

/** Numbers for the names on sockets: the same at every router, so that all rings agree. */
public final class Ids {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Ids() {
    }

    /** FNV-1a of the name; never 0, which would stand for none. */
    public static long of(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
