package stagepier.shadow;

import java.util.function.Consumer;

/**
 * Queries both servers again if the value of a copy differs for no known reason: first the real owner, then the
 * candidate's owner, both over links for copies and within the budget. A write may have come in between, so the
 * candidate is wrong only if both servers repeat their values. One recheck runs at a time. Used on the event loop.
 */
final class ValueRecheck {
    /** Sends the queries of a recheck. */
    interface Sender {
        /**
         * Queries a server for the key again.
         *
         * @return whether the query was sent; it is not if no link is free, the budget is used up or the server is not
         *     eligible now
         */
        boolean send(long server, Consumer<ExecutionResult> done);
    }

    /** Seconds after which the recheck is abandoned. */
    private static final double TIMEOUT_SECONDS = 10;

    private final Sender sender;
    private final long realOwner;
    private final long candidate;
    private final ExecutionResult real;
    private final ExecutionResult copy;
    private final double deadline;
    private final Consumer<ComparisonResult> done;
    private ExecutionResult realAgain;
    private boolean inFlight;
    private boolean finished;

    ValueRecheck(
            Sender sender,
            long realOwner,
            long candidate,
            ExecutionResult real,
            ExecutionResult copy,
            double now,
            Consumer<ComparisonResult> done) {
        this.sender = sender;
        this.realOwner = realOwner;
        this.candidate = candidate;
        this.real = real;
        this.copy = copy;
        deadline = now + TIMEOUT_SECONDS;
        this.done = done;
    }

    /** Sends the next query if possible. */
    void proceed(double now) {
        if (finished || inFlight) {
            return;
        }
        if (now > deadline) {
            finish(ComparisonResult.IN_DOUBT);
            return;
        }
        // Set before the call, since the query may end during it.
        inFlight = true;
        inFlight = sender.send(realAgain == null ? realOwner : candidate, this::onAnswer) && inFlight;
    }

    private void onAnswer(ExecutionResult answer) {
        inFlight = false;
        if (!answer.hasValue()) {
            // Repeated by the next call of proceed, until the recheck times out.
            return;
        }
        if (realAgain == null) {
            realAgain = answer;
        } else {
            finish(Comparison.recheck(real, copy, realAgain, answer));
        }
    }

    private void finish(ComparisonResult result) {
        finished = true;
        done.accept(result);
    }
}
