package stagepier.server;

import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
    /** Takes nothing new, and ends once nobody waits for an answer on it. */
    private boolean retired;
    private double heardAt;
    private double bytesAt;
    private Future<?> stallTimer;

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

    /**
     * The less there is to wait for the better; of links that are alike, the one that was heard longest ago. Guards
     * against asking on a link on whose last answer something follows that has not come yet.
     */
    boolean isBetterThan(ServerLink other) {
        if (load() != other.load()) {
            return load() < other.load();
        }
        return up != other.up ? up : heardAt < other.heardAt;
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
        return first != null && (first.timedOut() || now - heardAt > pool.pools().silentAfter());
    }

    /** The server's address or process has changed: what is out here may still be answered, the rest goes elsewhere. */
    void retire() {
        retired = true;
        if (!hasLive()) {
            close();
        }
    }

    boolean isRetired() {
        return retired;
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
        bytesAt = pool.pools().now();
        for (Answer answer = AnswerParser.next(bytes); answer != null; answer = AnswerParser.next(bytes)) {
            heardAt = bytesAt;
            Execution first = sent.peek();
            if (first == null || !first.accepts(answer)) {
                throw new MalformedException("an answer to nothing that was asked");
            }
            sent.remove();
            // Guards against taking for the next answer what came behind this one: nothing more is asked here.
            boolean tail = sent.isEmpty() && unread() > 0;
            retired |= tail;
            first.answered(answer);
            if (isClosed()) {
                return;
            }
            if (tail) {
                throw new MalformedException("more than belongs to an answer");
            }
        }
        if (sent.isEmpty() && unread() > 0) {
            throw new MalformedException("bytes that nothing asked for");
        }
        if (retired && !hasLive()) {
            close();
        } else if (unread() > 0 && stallTimer == null) {
            awaitRest();
        }
    }

    /** Guards against an answer that never becomes whole: all behind it would wait until their time is up. */
    private void awaitRest() {
        stallTimer = pool.pools().loop().schedule(() -> {
            stallTimer = null;
            if (isClosed() || unread() == 0) {
                return;
            }
            if (pool.pools().now() - bytesAt >= pool.pools().stallMost()) {
                onMalformed(new MalformedException("an answer that stopped in the middle"));
            } else {
                awaitRest();
            }
        }, (long) (pool.pools().stallMost() * 1e6), TimeUnit.MICROSECONDS);
    }

    /**
     * A spoilt answer: the execution that it was for has run, or may have. The others that were sent may have run, but
     * it is this side that gives them up, for nothing that comes here can be told apart any more.
     */
    @Override
    protected void onMalformed(MalformedException e) {
        pool.pools().malformed(e);
        retired = true;
        Execution first = sent.peek();
        if (first != null && first.endsAt() <= writtenBytes()) {
            sent.remove();
            first.end(Api.Outcome.ERROR);
        }
        List<Execution> behind = new ArrayList<>(sent);
        behind.removeIf(x -> x.endsAt() > writtenBytes());
        sent.removeAll(behind);
        behind.forEach(x -> x.end(Api.Outcome.CANCELLED));
        close();
    }

    /** Closes from this side. */
    void drop() {
        close();
    }

    @Override
    protected void onClosed() {
        pool.closed(this);
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        List<Execution> lost = new ArrayList<>(sent);
        sent.clear();
        for (Execution e : lost) {
            // Only a request whose last byte the socket took may have run.
            e.end(e.endsAt() <= writtenBytes() ? Api.Outcome.RESET : Api.Outcome.CONNECT_FAILED);
        }
        if (up) {
            // Not a byte of these was sent: they go to another link of the server.
            List<Execution> moved = new ArrayList<>(waiting);
            waiting.clear();
            moved.forEach(pool::take);
        } else {
            dropWaiting();
        }
    }
}
