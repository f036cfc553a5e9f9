package stagepier.lab.traffic;

/**
 * What HTTP messages come to on the wire, worked out from their counted bytes: TCP over IPv4 with time stamps, segments
 * of Ethernet's size, each message acknowledged on its own. Some acknowledgements ride on data: an upper bound.
 */
public final class TcpBytes {
    private static final int HEADERS = 52;
    private static final int SEGMENT = 1448;
    private static final int SYN = 60;
    /** SYN, its acknowledgement, and both ends of the connection with theirs. */
    private static final long CONNECTION_TO_SERVICE = SYN + 3 * HEADERS;

    private static final long CONNECTION_TO_ROUTER = SYN + 2 * HEADERS;

    private TcpBytes() {}

    /** Bytes that the service sends for this traffic, to all routers together. */
    public static long toRouters(HttpTraffic t) {
        long messages = t.answers() + t.refusals();
        long segments = segments(t.answerBytes() + t.refusalBytes(), messages);
        return t.answerBytes()
                + t.refusalBytes()
                + HEADERS * (segments + t.requests())
                + CONNECTION_TO_ROUTER * t.connections();
    }

    /** Bytes that all routers together send. */
    public static long toService(HttpTraffic t) {
        long messages = t.answers() + t.refusals();
        long segments = segments(t.answerBytes() + t.refusalBytes(), messages);
        long acknowledged = Math.max(messages, segments / 2);
        return t.requestBytes() + HEADERS * (t.requests() + acknowledged) + CONNECTION_TO_SERVICE * t.connections();
    }

    /** Of messages of about equal size. */
    private static long segments(long bytes, long messages) {
        return messages == 0 ? 0 : messages * Math.max(1, (bytes / messages + SEGMENT - 1) / SEGMENT);
    }
}
