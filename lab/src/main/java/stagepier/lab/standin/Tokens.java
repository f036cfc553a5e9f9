package stagepier.lab.standin;

import java.nio.charset.StandardCharsets;

/** What stands for the bytes of one answer, so that the ledger need not keep them. */
final class Tokens {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Tokens() {}

    /** FNV-1a of the bytes; never 0. */
    static long of(byte[] bytes) {
        long hash = FNV_OFFSET;
        for (byte b : bytes) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }

    static long of(String text) {
        return of(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
