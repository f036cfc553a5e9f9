package stagepier.shadow;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stagepier.Api;
import stagepier.exchange.ResponseInfo;
import stagepier.memcache.Answer;
import stagepier.memcache.Command;

/** One copy sent to one cache server. Owns its timer and completes exactly once. Used on the event loop. */
final class ShadowRequest {
    private final String id;
    private final Command command;
    private final double timeout;
    private final Consumer<ExecutionResult> done;
    private Future<?> timer;
    private boolean warm;
    private double sentAt;
    private boolean completed;

    /**
     * @param id id of the copy; ids are unique per request
     * @param command the real request
     * @param timeout the time that the real request has left, in seconds
     */
    ShadowRequest(String id, Command command, double timeout, Consumer<ExecutionResult> done) {
        this.id = id;
        this.command = command;
        this.timeout = timeout;
        this.done = done;
    }

    double timeout() {
        return timeout;
    }

    /** Returns the bytes for the server: the words of the real request with a different id and the remaining time. */
    byte[] message() {
        List<String> words = new ArrayList<>(command.words());
        words.replaceAll(w -> w.charAt(0) == 'O' ? "O" + id : w);
        // The key is the first word and may itself start with the letter of the id flag.
        words.set(0, command.key());
        return new Command(command.kind(), List.copyOf(words), command.value())
                .forward(Math.max(1, Math.round(timeout * 1e3)));
    }

    /** @param warmLink the connection has served a request before */
    void sent(double now, boolean warmLink, Future<?> newTimer) {
        sentAt = now;
        warm = warmLink;
        timer = newTimer;
    }

    boolean accepts(Answer answer) {
        return switch (answer.kind()) {
            case BUSY, FAILED -> true;
            case VALUE -> answer.id().equals(id);
            default -> false;
        };
    }

    void onAnswer(Answer answer, double now) {
        switch (answer.kind()) {
            case BUSY -> complete(Api.Outcome.FULL, now);
            case FAILED -> complete(Api.Outcome.ERROR, now);
            default ->
                complete(new ExecutionResult(
                        Api.Outcome.OK,
                        ResponseInfo.lookup(answer.hit()),
                        answer.flow() > 0 ? 0 : ExecutionResult.checksum(answer.body()),
                        now - sentAt,
                        warm));
        }
    }

    void complete(Api.Outcome outcome, double now) {
        complete(new ExecutionResult(outcome, Api.Lookup.UNKNOWN, 0, now - sentAt, warm));
    }

    private void complete(ExecutionResult result) {
        if (!completed) {
            completed = true;
            if (timer != null) {
                timer.cancel(false);
            }
            done.accept(result);
        }
    }
}
