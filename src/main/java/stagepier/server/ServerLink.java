package stagepier.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;
import stagepier.link.Link;
import stagepier.memcache.Answer;
import stagepier.memcache.AnswerParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/** A connection to a cache server. Its answers come in the order of its executions. */
final class ServerLink extends Link {
    private final ServerPool pool;
    /** Not a byte of these has been handed to the socket. */
    private final ArrayDeque<Execution> waiting = new ArrayDeque<>();
    /** Handed to the socket, in order; those given up keep their place, for their answers still come. */
    private final ArrayDeque<Execution> sent = new ArrayDeque<>();
    private final double openedAt;
    private boolean up;
    private double heardAt;

    ServerLink(ServerPool pool) {
        this.pool = pool;
        openedAt = pool.pools().now();
        heardAt = openedAt;
    }

    void take(Execution execution) {
        execution.link(this);
        waiting.add(execution);
        pump();
    }

    /** Executions whose answers a new one would have to wait for. */
    int load() {
        return waiting.size() + sent.size();
    }

    boolean isUp() {
        return up;
    }

    boolean isIdle() {
        return up && load() == 0;
    }

    double openedAt() {
        return openedAt;
    }

    double heardAt() {
        return heardAt;
    }

    /**
     * Guards against putting work behind answers that never come: a server that took requests and answers none,
     * or that vanished, shows only as silence.
     */
    boolean isSilent(double now) {
        Execution first = sent.peek();
        return first != null && (first.timedOut() || now - heardAt > ServerPools.SILENT_AFTER);
    }

    boolean hasLive() {
        return !waiting.isEmpty() || sent.stream().anyMatch(e -> !e.isOver());
    }

    /** An execution that was given up: not sent at all if that can still be. */
    void withdraw(Execution execution) {
        waiting.remove(execution);
    }

    /** Ends what waits here and has not begun to be sent. */
    void dropWaiting() {
        List<Execution> dropped = new ArrayList<>(waiting);
        waiting.clear();
        dropped.forEach(e -> e.end(Api.Outcome.CONNECT_FAILED));
    }

    @Override
    protected void onUp() {
        up = true;
        heardAt = pool.pools().now();
        pump();
    }

    @Override
    protected void fill() {
        // One at a time: what waits here can still be withdrawn, what is in the ring can not.
        if (nothingQueued() && !waiting.isEmpty()) {
            if (sent.isEmpty()) {
                heardAt = pool.pools().now();
            }
            Execution next = waiting.remove();
            sent.add(next);
            next.endsAt(queue(next.message()));
        }
    }

    @Override
    protected void onWritten() {
    }

    @Override
    protected boolean wantsInput() {
        return true;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        for (Answer answer = AnswerParser.next(bytes); answer != null; answer = AnswerParser.next(bytes)) {
            heardAt = pool.pools().now();
            Execution first = sent.peek();
            if (first == null || !first.accepts(answer)) {
                throw new MalformedException("an answer to nothing that was asked");
            }
            sent.remove();
            first.answered(answer);
            if (isClosed()) {
                return;
            }
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        pool.pools().malformed(e);
        close();
    }

    /** Closes from this side. */
    void drop() {
        close();
    }

    @Override
    protected void onClosed() {
        pool.closed(this);
        List<Execution> lost = new ArrayList<>(sent);
        sent.clear();
        for (Execution e : lost) {
            // Only a request whose last byte the socket took may have run.
            e.end(e.endsAt() <= writtenBytes() ? Api.Outcome.RESET : Api.Outcome.CONNECT_FAILED);
        }
        dropWaiting();
    }
}
