package stagepier.exchange;

/**
 * The final answer of an exchange, in no protocol's words.
 *
 * @param body         the value or receipt that a cache server made for this request
 * @param retryAfterMs advice that goes with a throttle; 0 for none
 */
public record Reply(Kind kind, byte[] body, long retryAfterMs) {
    /** Kinds of final answers. */
    public enum Kind { SERVED, THROTTLE, FAILED }

    private static final byte[] NO_BODY = {};
    static final Reply FAILED = new Reply(Kind.FAILED, NO_BODY, 0);

    public static Reply served(byte[] body) {
        return new Reply(Kind.SERVED, body, 0);
    }

    static Reply throttle(double retryAfter) {
        return new Reply(Kind.THROTTLE, NO_BODY, retryAfter > 0 ? Math.max(1, Math.round(retryAfter * 1e3)) : 0);
    }
}
