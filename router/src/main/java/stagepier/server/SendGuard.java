package stagepier.server;

import stagepier.Api;
import stagepier.invariants.Invariant;
import stagepier.invariants.InvariantMonitor;

/**
 * The last look before the first byte of an attempt: the one place that lets it begin. What comes here was sorted out before; whatever
 * was not is counted as a violation, and is not sent.
 */
final class SendGuard {
    private final InvariantMonitor invariants;

    SendGuard(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /** How an attempt ends that may not begin; null where it may. */
    Api.Outcome rejection(Execution execution, ServerPool pool) {
        if (!invariants.check(
                Invariant.SENT_ONLY_WHILE_WANTED, execution.isWanted(), () -> "nobody waits for " + execution)) {
            return Api.Outcome.CANCELLED;
        }
        if (!invariants.check(
                Invariant.SENT_ONLY_TO_LISTED_SERVER, !pool.isRetired(), () -> "its server drains: " + execution)) {
            return Api.Outcome.CONNECT_FAILED;
        }
        if (!invariants.check(
                Invariant.SENT_ONLY_IN_TIME, !execution.isBelated(), () -> "begins too late: " + execution)) {
            return Api.Outcome.NOT_SENT;
        }
        return null;
    }
}
