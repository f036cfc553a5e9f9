package stagepier.link;

/** Why a connection was ended. */
public enum CloseReason {
    /** The other side has ended it, or it broke. */
    PEER_ENDED,
    /** The other side asked for its end, or has its one answer. */
    DONE,
    /** What came on it makes no sense. */
    MALFORMED,
    /** A fault of this program showed on it. */
    FAULT,
    /** Its place was given to somebody else. */
    SLOT_GIVEN_UP,
    /** What is on its way to the client cannot be finished. */
    VALUE_BROKEN,
    /** A drain found it idle. */
    DRAINED,
    /** A drain has come to its end, and its client was still sending. */
    DRAIN_TIME_OVER,
    /** The cache server drains, is gone, or has another address or process. */
    SERVER_RETIRED,
    /** Nobody waits for anything on it any more. */
    UNUSED,
    /** It has rested so long that the other side may close it at any time. */
    RESTED;

    /** Whether this process chose to end it, and could as well have waited. */
    public boolean isOwnChoice() {
        return switch (this) {
            case DONE, SLOT_GIVEN_UP, DRAINED, DRAIN_TIME_OVER, UNUSED, RESTED -> true;
            case PEER_ENDED, MALFORMED, FAULT, VALUE_BROKEN, SERVER_RETIRED -> false;
        };
    }
}
