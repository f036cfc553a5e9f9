package stagepier.exchange;

/**
 * The final answer of an exchange, independent of the protocol.
 *
 * @param body         the value or write receipt from the cache server
 * @param flow         a large value that is streamed in place of the body; null if there is none
 * @param retryAfterMs retry advice that goes with a throttle, in milliseconds; 0 for none
 */
public record Reply(Kind kind, byte[] body, ValueFlow flow, long retryAfterMs) {
    /** Kinds of final answers. */
    public enum Kind {
        SERVED,
        THROTTLE,
        FAILED
    }

    private static final byte[] NO_BODY = {};
    static final Reply FAILED = new Reply(Kind.FAILED, NO_BODY, null, 0);

    public static Reply served(byte[] body) {
        return new Reply(Kind.SERVED, body, null, 0);
    }

    static Reply served(ValueFlow flow) {
        return new Reply(Kind.SERVED, NO_BODY, flow, 0);
    }

    static Reply throttle(double retryAfter) {
        return new Reply(Kind.THROTTLE, NO_BODY, null, retryAfter > 0 ? Math.max(1, Math.round(retryAfter * 1e3)) : 0);
    }
}
