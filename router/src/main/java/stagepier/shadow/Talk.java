package stagepier.shadow;

import java.util.List;
import java.util.Map;

/** What routers say to each other about the shadow. */
final class Talk {
    /** Characters of counts in one message, so that it stays below what a message may hold. */
    static final int COUNTS_MOST = 32_000;

    static final String ASK = "shadow.ask";
    static final String KNOWN = "shadow.known";
    static final String TELL = "shadow.tell";
    static final String STOP = "shadow.stop";
    static final String HEARD = "shadow.heard";

    private Talk() {
    }

    /**
     * Asks for what one lacks.
     *
     * @param map     id of the candidate, "" for none
     * @param version of it
     * @param knows   of the counts of this candidate: the highest sequence by router and incarnation
     */
    record Ask(String map, long version, Map<String, Map<Long, Long>> knows) {
    }

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
    record Known(String map, long version, String text, String stopped, boolean caughtUp, Map<String, Long> ages,
            Map<String, Map<Long, Long>> knows, List<RouterCounts> counts) {
    }

    /** Tells what the other lacks; the same words as in {@link Known}. */
    record Tell(String map, String text, String stopped, List<RouterCounts> counts) {
    }

    /** The reply where there is nothing to say. */
    record Heard(String map) {
    }
}
