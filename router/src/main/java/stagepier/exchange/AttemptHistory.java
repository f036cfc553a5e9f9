package stagepier.exchange;

import java.util.ArrayList;
import java.util.List;
import stagepier.Api;

/** Records for each attempt of one request when it started, whether it is in flight, and whether it may have run. */
final class AttemptHistory {
    private static final class Attempt {
        private final double startedAt;
        private boolean inFlight = true;
        /** Stays true until an outcome proves that the attempt never ran. */
        private boolean mayHaveRun = true;

        Attempt(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final List<Attempt> attempts = new ArrayList<>(2);

    void started(double now) {
        attempts.add(new Attempt(now));
    }

    void ended(int number, Api.Outcome outcome) {
        Attempt attempt = attempts.get(number);
        attempt.inFlight = false;
        attempt.mayHaveRun = !outcome.neverRan();
    }

    boolean anyInFlight() {
        return attempts.stream().anyMatch(attempt -> attempt.inFlight);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
    }

    /** Returns the start of the earliest attempt that may have run, in seconds; infinity if there is none. */
    double earliestStartThatMayHaveRun() {
        return attempts.stream()
                .filter(attempt -> attempt.mayHaveRun)
                .mapToDouble(attempt -> attempt.startedAt)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
