package stagepier.memcache;

/**
 * What a cache server answered.
 *
 * @param id   the request's id in a served answer; empty otherwise
 * @param body the value, or the receipt of a write
 * @param hit  what it said of the lookup
 * @param flow length of a value that is larger than what is collected and comes by and by; 0 for none
 * @param report load report in the order of the settings; empty where there is none
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

    /** What a served read says of the lookup. */
    public enum Hit {
        UNTOLD,
        HIT,
        MISS,
        MISS_FETCHING
    }

    static final byte[] NO_BODY = {};
}
