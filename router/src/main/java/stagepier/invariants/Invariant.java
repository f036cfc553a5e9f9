package stagepier.invariants;

/** A property that holds in every run, whatever fails around this process. */
public enum Invariant {
    /** An attempt starts only while its request is open and its client is connected. */
    SENT_ONLY_WHILE_WANTED,
    /** No new attempt goes to a cache server that drains or is gone. */
    SENT_ONLY_TO_LISTED_SERVER,
    /** An attempt starts no later than the routing module allowed. */
    SENT_ONLY_IN_TIME,
    /** An attempt that may have been executed is repeated only as its class allows, and within its window. */
    REPEATED_ONLY_AS_CLASS_ALLOWS,
    /** A request gets exactly one final answer. */
    ANSWERED_ONCE,
    /** This process closes no client connection by its own choice while a request on it is open. */
    CLOSED_ONLY_WHEN_ANSWERED,
    /** When the time of a drain is over, no client is still connected that is idle or has sent a request lately. */
    GONE_BY_END_OF_DRAIN,
    /** No request is accepted before this process has reported that it serves. */
    SERVED_ONLY_AFTER_START
}
