package stagepier.server;

import stagepier.Api;
import stagepier.invariants.Invariant;
import stagepier.invariants.InvariantMonitor;

/**
 * The final check before the first byte of an attempt is sent. Earlier checks should have removed every attempt that
 * must not start; one that is found here is counted as a violation and not sent.
 */
final class SendGuard {
    private final InvariantMonitor invariants;

    SendGuard(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /** Returns the outcome of an attempt that must not be sent, or null if it may be sent. */
    Api.Outcome rejection(Execution execution, ServerPool pool) {
        if (!invariants.check(
                Invariant.SENT_ONLY_WHILE_WANTED,
                execution.isWanted(),
                () -> "the answer is no longer awaited: " + execution)) {
            return Api.Outcome.CANCELLED;
        }
        if (!invariants.check(
                Invariant.SENT_ONLY_TO_LISTED_SERVER,
                !pool.isRetired(),
                () -> "the server drains or was removed: " + execution)) {
            return Api.Outcome.CONNECT_FAILED;
        }
        if (!invariants.check(
                Invariant.SENT_ONLY_IN_TIME,
                !execution.isPastLatestStart(),
                () -> "the latest start time has passed: " + execution)) {
            return Api.Outcome.NOT_SENT;
        }
        return null;
    }
}
