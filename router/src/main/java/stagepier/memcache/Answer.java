package stagepier.memcache;

/**
 * An answer of a cache server.
 *
 * @param id   the request's id in a served answer; empty otherwise
 * @param body the value, or the receipt of a write
 * @param hit  result of the cache lookup
 * @param flow length of a value that is too large to be collected and is streamed instead; 0 if there is none
 * @param report load report, values in the order of the settings; empty if there is none
 */
public record Answer(Kind kind, String id, byte[] body, Hit hit, int flow, float[] report) {
    /** Kinds of answers. */
    public enum Kind {
        VALUE,
        RECEIPT,
        BUSY,
        FAILED,
        ALIVE
    }

    /** Result of the cache lookup, as stated in the answer to a read. */
    public enum Hit {
        UNKNOWN,
        HIT,
        MISS,
        MISS_FETCHING
    }

    static final byte[] NO_BODY = {};
}
