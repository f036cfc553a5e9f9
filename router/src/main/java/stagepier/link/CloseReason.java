package stagepier.link;

/** The reason why a connection was closed. */
public enum CloseReason {
    /** The peer closed the connection, or it broke. */
    PEER_ENDED,
    /** The peer asked for the close, or received its one answer. */
    DONE,
    /** The input was malformed. */
    MALFORMED,
    /** An internal error occurred on the connection. */
    FAULT,
    /** Its slot was given to another connection. */
    SLOT_GIVEN_UP,
    /** A value that is being sent to the client cannot be completed. */
    VALUE_BROKEN,
    /** It was idle during a drain. */
    DRAINED,
    /** The time of a drain is over and the client was still sending. */
    DRAIN_TIME_OVER,
    /** The cache server drains, is gone, or has another address or process. */
    SERVER_RETIRED,
    /** No request waits for anything on it any more. */
    UNUSED,
    /** It was idle for so long that the peer may close it at any time. */
    RESTED;

    /** Returns whether this process chose to close the connection and could as well have waited. */
    public boolean isOwnChoice() {
        return switch (this) {
            case DONE, SLOT_GIVEN_UP, DRAINED, DRAIN_TIME_OVER, UNUSED, RESTED -> true;
            case PEER_ENDED, MALFORMED, FAULT, VALUE_BROKEN, SERVER_RETIRED -> false;
        };
    }
}
