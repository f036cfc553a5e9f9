package stagepier;

import stagepier.Api.Outcome;

/** Opens when the decaying log odds that a server is broken, rather than like the rest, reach a threshold. */
final class CircuitBreaker {
    /** Assumed failure rates: of a broken server, of an unreachable one, and the cap on the fleet's rate. */
    private static final double BROKEN_RATE = 0.9;

    private static final double UNREACHABLE_RATE = 0.95;
    private static final double COMMON_RATE_CAP = 0.6;
    /** Weight of an error or a 'full' answer relative to a failure: the server still answers. */
    private static final double MILD_FAILURE_WEIGHT = 0.5;
    /** Consecutive openings double the open duration up to this often: trials get rarer in a long outage. */
    private static final int MAX_DOUBLINGS = 2;

    private double evidence;
    private double evidenceAt;
    boolean isOpen;
    private double openUntil;
    private double closedAt = Double.NEGATIVE_INFINITY;
    private int consecutiveOpenings;
    private long trialRequest;
    /** -1 while no trial is in flight. */
    private int trialAttempt = -1;

    /** Returns an outcome's evidence. The rate is capped: a server that only fails opens even if all fail. */
    static double evidence(Outcome outcome, double elapsed, double lateAfter, double fleetFailureRate) {
        double commonRate = Math.min(COMMON_RATE_CAP, fleetFailureRate);
        double failure = Math.log(BROKEN_RATE / commonRate);
        double mild = MILD_FAILURE_WEIGHT * failure;
        return switch (outcome) {
            case OK, MISS -> elapsed > lateAfter ? mild : Math.log((1 - BROKEN_RATE) / (1 - commonRate));
            // A failed connect does not result from the load that all servers share.
            case CONNECT_FAILED -> Math.log(UNREACHABLE_RATE / FailureRate.PRIOR_RATE);
            // A timeout weighs less the less time the server was given.
            case TIMEOUT -> failure * Math.min(1, elapsed / Math.max(1e-9, lateAfter));
            // One connection may break while its server is well; if the process died, the next connect fails.
            case RESET, ERROR, FULL -> mild;
            case CANCELLED, NOT_SENT -> 0;
        };
    }

    boolean allows(double now) {
        return !isOpen || now >= openUntil && trialAttempt < 0;
    }

    void onSend(double now, long request, int attempt) {
        if (isOpen) {
            trialRequest = request;
            trialAttempt = attempt;
        }
    }

    /** Returns whether the circuit has to open, either for the first time or again after a failed trial. */
    boolean record(double now, long request, int attempt, double weight, double threshold, double decayTime) {
        if (isOpen) {
            if (request != trialRequest || attempt != trialAttempt) {
                return false;
            }
            trialAttempt = -1;
            if (weight < 0) {
                isOpen = false;
                evidence = 0;
                closedAt = now;
            }
            return weight > 0;
        }
        evidence = Math.max(0, evidence * Math.exp((evidenceAt - now) / decayTime) + weight);
        evidenceAt = now;
        return evidence >= threshold;
    }

    void open(double now, double openDuration, double jitter) {
        if (!isOpen && now - closedAt > openDuration * (1 << MAX_DOUBLINGS)) {
            consecutiveOpenings = 0;
        }
        openUntil = now + openDuration * (1 << Math.min(consecutiveOpenings, MAX_DOUBLINGS)) * jitter;
        consecutiveOpenings++;
        isOpen = true;
    }
}
