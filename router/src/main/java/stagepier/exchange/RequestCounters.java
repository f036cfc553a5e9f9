package stagepier.exchange;

import java.util.Locale;
import java.util.function.ObjLongConsumer;
import stagepier.Api;

/** Counts requests and executions by outcome. */
final class RequestCounters {
    private final long[] outcomes = new long[Api.Outcome.values().length];
    private final long[] replies = new long[Reply.Kind.values().length];
    private long taken;
    private long unanswered;
    private long clientGone;
    private long overdue;
    private long readLate;

    void taken() {
        taken++;
        unanswered++;
    }

    /** Counts a request whose input stayed unread for so long that it counts as late. */
    void readLate() {
        readLate++;
    }

    /** Counts down the unanswered requests by one that no longer needs its final answer. */
    void finished() {
        unanswered--;
    }

    void clientGone() {
        clientGone++;
    }

    /** Counts a request that the host answered in place of the module. */
    void overdue() {
        overdue++;
    }

    void answered(Reply.Kind kind) {
        replies[kind.ordinal()]++;
    }

    void ended(Api.Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Returns the number of requests whose final answer is pending. */
    long unanswered() {
        return unanswered;
    }

    void count(ObjLongConsumer<String> to) {
        to.accept("requests", taken);
        to.accept("requests_unanswered", unanswered);
        to.accept("requests_client_gone", clientGone);
        to.accept("requests_overdue", overdue);
        to.accept("requests_read_late", readLate);
        for (Reply.Kind kind : Reply.Kind.values()) {
            to.accept("answers_" + kind.name().toLowerCase(Locale.ROOT), replies[kind.ordinal()]);
        }
        for (Api.Outcome outcome : Api.Outcome.values()) {
            to.accept("executions_" + outcome.name().toLowerCase(Locale.ROOT), outcomes[outcome.ordinal()]);
        }
    }
}
