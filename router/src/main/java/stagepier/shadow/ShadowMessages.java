package stagepier.shadow;

import java.util.List;
import java.util.Map;

/** The messages that routers exchange about the shadow. */
final class ShadowMessages {
    /** Maximum characters of counts in one message, which keeps it below the limit for messages. */
    static final int MAX_COUNTS_LENGTH = 32_000;

    static final String SYNC_REQUEST = "shadow.ask";
    static final String SYNC_RESPONSE = "shadow.known";
    static final String UPDATE = "shadow.tell";
    static final String STOP = "shadow.stop";
    static final String ACKNOWLEDGEMENT = "shadow.heard";

    private ShadowMessages() {}

    /**
     * Requests what the sender is missing.
     *
     * @param map id of the candidate, "" for none
     * @param version version of the candidate
     * @param knows highest known sequence number of this candidate's counts, by router and incarnation
     */
    record SyncRequest(String map, long version, Map<String, Map<Long, Long>> knows) {}

    /**
     * The response to a {@link SyncRequest}.
     *
     * @param text canonical text of the candidate if the requester has an older one or none; "" otherwise
     * @param stopped reason why the candidate was stopped, "" if it was not
     * @param caughtUp see {@link Lease}
     * @param ages see {@link Lease}
     * @param knows sequence numbers known to the responder, so that the requester can send what the responder is
     *     missing
     * @param counts counts that the requester is missing
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

    /** Sends what the receiver is missing; fields as in {@link SyncResponse}. */
    record Update(String map, String text, String stopped, List<RouterCounts> counts) {}

    /** The response without content. */
    record Acknowledgement(String map) {}
}
