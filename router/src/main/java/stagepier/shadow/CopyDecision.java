package stagepier.shadow;

import java.util.Locale;

/** Decision whether a copy is sent, with the reason if it is not. */
public enum CopyDecision {
    COPY,
    /** The candidate does not move the key, or the real request was sent to the candidate's owner. */
    NOT_MOVED,
    /** The class of the request is not safe to repeat, or the request is a write. */
    NOT_SAFE,
    /** The execution is not a first attempt, or it has not been sent. */
    NOT_SENT,
    /** At most a quarter of the request's time is left. */
    SHORT_OF_TIME,
    /** The candidate's owner is absent, draining, cold or crowded, or its circuit breaker is open. */
    NOT_FIT,
    /**
     * The router is overloaded, has recently refused a request, is draining or is not in a majority, or the candidate
     * was stopped.
     */
    NOT_NOW,
    OVER_BUDGET,
    /** The copy may cause a fetch from the origin, and the fetch budget is used up. */
    OVER_FETCHES,
    /** No connection is free. A new one is opened if the limit allows it. */
    NO_LINK;

    /** Returns the name of the counter of this decision. */
    String counter() {
        return "ruled_" + name().toLowerCase(Locale.ROOT);
    }
}
