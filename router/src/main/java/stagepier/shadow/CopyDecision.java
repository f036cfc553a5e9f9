package stagepier.shadow;

import java.util.Locale;

/** Whether a copy is sent, or why not. */
public enum CopyDecision {
    COPY,
    /** The candidate leaves the key where it is, or the real one was sent there. */
    NOT_MOVED,
    /** A class that may not simply be repeated, or a write. */
    NOT_SAFE,
    /** A second attempt, or one that has not gone out. */
    NOT_SENT,
    /** A quarter of the request's time is left, or less. */
    SHORT_OF_TIME,
    /** The candidate's owner is absent, draining, cold, crowded, or its circuit is open. */
    NOT_FIT,
    /** This router is pressed, refuses, drains, is in no majority, or the shadow was stopped. */
    NOT_NOW,
    OVER_BUDGET,
    /** The copy may make its server fetch, and there is no allowance for that. */
    OVER_FETCHES,
    /** No connection is free; one is brought up where there may be one more. */
    NO_LINK;

    /** The name of its counter. */
    String counter() {
        return "ruled_" + name().toLowerCase(Locale.ROOT);
    }
}
