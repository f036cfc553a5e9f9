package stagepier.shadow;

import java.util.List;
import java.util.Map;

/** What routers say to each other about the shadow. */
final class ShadowMessages {
    /** Characters of counts in one message, so that it stays below what a message may hold. */
    static final int COUNTS_MOST = 32_000;

    static final String SYNC_REQUEST = "shadow.ask";
    static final String SYNC_RESPONSE = "shadow.known";
    static final String UPDATE = "shadow.tell";
    static final String STOP = "shadow.stop";
    static final String ACKNOWLEDGEMENT = "shadow.heard";

    private ShadowMessages() {}

    /**
     * Asks for what one lacks.
     *
     * @param map     id of the candidate, "" for none
     * @param version of it
     * @param knows   of the counts of this candidate: the highest sequence by router and incarnation
     */
    record SyncRequest(String map, long version, Map<String, Map<Long, Long>> knows) {}

    /**
     * The reply to that.
     *
     * @param text     of the candidate where the one that asks has an older one or none; "" otherwise
     * @param stopped  why the candidate was stopped, "" where it was not
     * @param caughtUp see {@link Lease}
     * @param ages     see {@link Lease}
     * @param knows    what the one that replies has, so that it can be told the rest
     * @param counts   that the one that asks lacks
     */
    record SyncResponse(
            String map,
            long version,
            String text,
            String stopped,
            boolean caughtUp,
            Map<String, Long> ages,
            Map<String, Map<Long, Long>> knows,
            List<RouterCounts> counts) {}

    /** Tells what the other lacks; the same words as in {@link SyncResponse}. */
    record Update(String map, String text, String stopped, List<RouterCounts> counts) {}

    /** The reply where there is nothing to say. */
    record Acknowledgement(String map) {}
}
