package stagepier;

import stagepier.Api.Outcome;

/** Evidence is the log odds that a server is broken rather than like the rest; it fades, and opens. */
final class CircuitBreaker {
    /** Failure rate of a server that deserves an open circuit, of one out of reach, of all at the most. */
    private static final double BROKEN_RATE = 0.9;

    private static final double UNREACHABLE_RATE = 0.95;
    private static final double COMMON_RATE_CAP = 0.6;
    /** Part of a failure that an error or a 'full' is: the server still answers. */
    private static final double MILD_FAILURE = 0.5;
    /** Doublings of the dead time while openings follow on each other: trials of a long trouble thin out. */
    private static final int DOUBLINGS = 2;

    private double evidence;
    private double evidenceAt;
    boolean isOpen;
    private double openUntil;
    private double closedAt = Double.NEGATIVE_INFINITY;
    private int openings;
    private long trialRequest;
    /** -1 while no trial is out. */
    private int trialAttempt = -1;

    /** What one outcome says; a server that only fails is opened also when all others fail. */
    static double evidence(Outcome outcome, double elapsed, double late, double rateOfAll) {
        double commonRate = Math.min(COMMON_RATE_CAP, rateOfAll);
        double failure = Math.log(BROKEN_RATE / commonRate);
        double mild = MILD_FAILURE * failure;
        return switch (outcome) {
            case OK, MISS -> elapsed > late ? mild : Math.log((1 - BROKEN_RATE) / (1 - commonRate));
            // A connection that fails is no matter of the load that all servers share.
            case CONNECT_FAILED -> Math.log(UNREACHABLE_RATE / FailureRate.USUAL);
            // A time-out says less the less time the server was given.
            case TIMEOUT -> failure * Math.min(1, elapsed / Math.max(1e-9, late));
            // A connection may end for reasons of its own; of a process that died the next connect tells.
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

    /** Returns whether the circuit has to open, anew or again. */
    boolean record(double now, long request, int attempt, double weight, double openAt, double fades) {
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
        evidence = Math.max(0, evidence * Math.exp((evidenceAt - now) / fades) + weight);
        evidenceAt = now;
        return evidence >= openAt;
    }

    void open(double now, double deadTime, double jitter) {
        if (!isOpen && now - closedAt > deadTime * (1 << DOUBLINGS)) {
            openings = 0;
        }
        openUntil = now + deadTime * (1 << Math.min(openings, DOUBLINGS)) * jitter;
        openings++;
        isOpen = true;
    }
}
