package stagepier.exchange;

import java.util.ArrayList;
import java.util.List;
import stagepier.Api;

/** When the attempts of one request began, which are out, and which may have run. */
final class AttemptHistory {
    private static final class Attempt {
        private final double beganAt;
        private boolean isOut = true;
        /** Until an outcome proves that it never ran. */
        private boolean mayHaveRun = true;

        Attempt(double beganAt) {
            this.beganAt = beganAt;
        }
    }

    private final List<Attempt> attempts = new ArrayList<>(2);

    void began(double now) {
        attempts.add(new Attempt(now));
    }

    void ended(int number, Api.Outcome outcome) {
        Attempt attempt = attempts.get(number);
        attempt.isOut = false;
        attempt.mayHaveRun = !outcome.neverRan();
    }

    boolean anyOut() {
        return attempts.stream().anyMatch(attempt -> attempt.isOut);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
    }

    /** When the first one began that may have run, in seconds; infinite where none may. */
    double firstThatMayHaveRun() {
        return attempts.stream()
                .filter(attempt -> attempt.mayHaveRun)
                .mapToDouble(attempt -> attempt.beganAt)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
