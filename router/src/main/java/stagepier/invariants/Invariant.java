package stagepier.invariants;

/** A property that holds in every run, whatever fails around this process. */
public enum Invariant {
    /** An attempt begins only while its request is open and its client is there. */
    SENT_ONLY_WHILE_WANTED,
    /** Nothing new goes to a cache server that drains or is gone. */
    SENT_ONLY_TO_LISTED_SERVER,
    /** An attempt begins no later than the module allowed. */
    SENT_ONLY_IN_TIME,
    /** What may have run is repeated only as its class allows, and within its window. */
    REPEATED_ONLY_AS_CLASS_ALLOWS,
    /** A request gets one final answer. */
    ANSWERED_ONCE,
    /** This process closes no client connection by its own choice while a request on it is open. */
    CLOSED_ONLY_WHEN_ANSWERED,
    /** At the end of a drain's time no client is held who is idle or has asked lately. */
    GONE_BY_END_OF_DRAIN,
    /** No request is taken before this process has said that it serves. */
    SERVED_ONLY_AFTER_START
}
