package stagepier.shadow;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import stagepier.Api;
import stagepier.exchange.ResponseInfo;
import stagepier.memcache.Answer;
import stagepier.memcache.Command;

/** One copy at one cache server. Owns its timer; ends exactly once, here. On the event loop. */
final class ShadowRequest {
    private final String id;
    private final Command command;
    private final double timeout;
    private final Consumer<ExecutionResult> done;
    private Future<?> timer;
    private boolean steady;
    private double sentAt;
    private boolean over;

    /**
     * @param id      of its own: ids are new for every request
     * @param command the real one
     * @param timeout the time that the real one has left, in seconds
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

    /** The bytes for the server: the same words with another id and the time that is left. */
    byte[] message() {
        List<String> words = new ArrayList<>(command.words());
        words.replaceAll(w -> w.charAt(0) == 'O' ? "O" + id : w);
        // The key is the first word, whatever it begins with.
        words.set(0, command.key());
        return new Command(command.kind(), List.copyOf(words), command.value())
                .forward(Math.max(1, Math.round(timeout * 1e3)));
    }

    /** @param steadyLink its connection has served before */
    void sent(double now, boolean steadyLink, Future<?> ownTimer) {
        sentAt = now;
        steady = steadyLink;
        timer = ownTimer;
    }

    boolean accepts(Answer answer) {
        return switch (answer.kind()) {
            case BUSY, FAILED -> true;
            case VALUE -> answer.id().equals(id);
            default -> false;
        };
    }

    void answered(Answer answer, double now) {
        switch (answer.kind()) {
            case BUSY -> end(Api.Outcome.FULL, now);
            case FAILED -> end(Api.Outcome.ERROR, now);
            default ->
                end(new ExecutionResult(
                        Api.Outcome.OK,
                        ResponseInfo.lookup(answer.hit()),
                        answer.flow() > 0 ? 0 : ExecutionResult.checksum(answer.body()),
                        now - sentAt,
                        steady));
        }
    }

    void end(Api.Outcome outcome, double now) {
        end(new ExecutionResult(outcome, Api.Lookup.UNKNOWN, 0, now - sentAt, steady));
    }

    private void end(ExecutionResult seen) {
        if (!over) {
            over = true;
            if (timer != null) {
                timer.cancel(false);
            }
            done.accept(seen);
        }
    }
}
