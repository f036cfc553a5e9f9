package stagepier.shadow;

import java.util.function.Consumer;

/**
 * Asks once more where a copy's value differs and nothing explains it: first the real owner, then the candidate's, both by links
 * for copies and within the budget. Only where both stand by their values is the candidate wrong: a write may have come in
 * between. One at a time. On the event loop.
 */
final class SecondLook {
    /** What it is made with. */
    interface Means {
        /**
         * Asks a server for the key once more.
         *
         * @return whether it was sent: there may be no free link, no allowance, or the server may not be asked now
         */
        boolean ask(long server, Consumer<ExecutionResult> done);
    }

    /** Seconds after which it is given up. */
    private static final double PATIENCE = 10;

    private final Means means;
    private final long realOwner;
    private final long candidate;
    private final ExecutionResult real;
    private final ExecutionResult copy;
    private final double until;
    private final Consumer<ComparisonResult> done;
    private ExecutionResult realAgain;
    private boolean out;
    private boolean over;

    SecondLook(
            Means means,
            long realOwner,
            long candidate,
            ExecutionResult real,
            ExecutionResult copy,
            double now,
            Consumer<ComparisonResult> done) {
        this.means = means;
        this.realOwner = realOwner;
        this.candidate = candidate;
        this.real = real;
        this.copy = copy;
        until = now + PATIENCE;
        this.done = done;
    }

    /** Goes on where it can. */
    void look(double now) {
        if (over || out) {
            return;
        }
        if (now > until) {
            end(ComparisonResult.IN_DOUBT);
            return;
        }
        // Set before: what is asked may end at once.
        out = true;
        out = means.ask(realAgain == null ? realOwner : candidate, this::answered) && out;
    }

    private void answered(ExecutionResult seen) {
        out = false;
        if (!seen.hasValue()) {
            // Asked again, until its patience ends.
            return;
        }
        if (realAgain == null) {
            realAgain = seen;
        } else {
            end(Comparison.secondLook(real, copy, realAgain, seen));
        }
    }

    private void end(ComparisonResult result) {
        over = true;
        done.accept(result);
    }
}
