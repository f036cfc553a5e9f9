package stagepier.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;
import stagepier.exchange.ValueFlow;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.Answer;
import stagepier.memcache.AnswerParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.RingBuffer;

/** A connection to a cache server. Its answers come in the order of its executions. */
final class ServerLink extends Link {
    /** Bytes that are read at once while a large value comes. */
    private static final int LARGE_READ = 64 * 1024;

    private final ServerPool pool;
    private final UnsentExecutions waiting = new UnsentExecutions();
    /** Handed to the socket, in order; those given up keep their place, for their answers still come. */
    private final ArrayDeque<Execution> sent = new ArrayDeque<>();

    private final double openedAt;
    private boolean up;
    /** It is this machine that could not connect it so far. */
    private boolean heldUpHere;

    private boolean awaitsList;
    /** Takes nothing new, and ends once nobody waits for an answer on it. */
    private boolean retired;

    private final LinkActivity activity;
    private final StallTimer stallTimer;

    private final AnswerParser parser;
    /** The large value that is being moved on, or null. */
    private ValueFlow flow;
    /** The link's count of bytes at which the message that was queued last begins. */
    private long beganAt;

    private boolean goingOn;

    ServerLink(ServerPool pool) {
        this.pool = pool;
        parser = new AnswerParser(pool.pools().room(), pool.pools().reports());
        openedAt = pool.pools().now();
        activity = new LinkActivity(pool.silence(), openedAt);
        stallTimer = new StallTimer(pool.pools().loop(), pool.pools().stallMost(), new PartialAnswer());
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

    /**
     * The less there is to wait for the better; of links that are alike, the one that was heard longest ago. Guards
     * against asking on a link on whose last answer something follows that has not come yet.
     */
    boolean isBetterThan(ServerLink other, double now) {
        if (isFlowing() != other.isFlowing()) {
            return other.isFlowing();
        }
        if (isQuiet(now) != other.isQuiet(now)) {
            return other.isQuiet(now);
        }
        if (load() != other.load()) {
            return load() < other.load();
        }
        return up != other.up ? up : heardAt() < other.heardAt();
    }

    /** Since when an answer has been due with nothing heard, in seconds; 0 with none due. */
    private double wait(double now) {
        return sent.isEmpty() || isHeldUp() ? 0 : activity.silentFor(now);
    }

    boolean isQuiet(double now) {
        return activity.isQuiet(wait(now));
    }

    /** Another link has answered what was sent at that time; returns whether that speaks against this one. */
    boolean passedBy(double sentAt) {
        return !sent.isEmpty() && activity.passedBy(sentAt);
    }

    /** Seconds until it counts as fallen silent while the server answers elsewhere; infinite where it does not. */
    double deadIn(double now) {
        return sent.isEmpty() || parser.isBlocked() || isFlowing()
                ? Double.POSITIVE_INFINITY
                : activity.deadIn(wait(now));
    }

    boolean isIdle() {
        return up && load() == 0;
    }

    double openedAt() {
        return openedAt;
    }

    double heardAt() {
        return activity.heardAt();
    }

    /**
     * Guards against putting work behind answers that never come: a server that took requests and answers none,
     * or that vanished, shows only as silence.
     */
    boolean isSilent(double now) {
        Execution first = sent.peek();
        return first != null && !isFlowing() && (first.timedOut() || activity.isSilent(now));
    }

    /** The server's address or process has changed: what is out here may still be answered, the rest goes elsewhere. */
    void retire() {
        retired = true;
        if (!hasLive()) {
            close(CloseReason.SERVER_RETIRED);
        }
    }

    boolean isRetired() {
        return retired;
    }

    /** A large value is on its way on it. */
    boolean isFlowing() {
        return flow != null;
    }

    /** Somebody waits for the rest of a large value. */
    private boolean isWanted() {
        return flow != null && !flow.isAbandoned();
    }

    /** It is not the server that keeps what is due on it from coming, but a client that does not read. */
    boolean isHeldUp() {
        return isWanted() && unread() >= pool.pools().window();
    }

    boolean hasLive() {
        return isWanted() || !waiting.isEmpty() || sent.stream().anyMatch(e -> !e.isOver());
    }

    /** An execution that was given up: not sent at all if that can still be. */
    void withdraw(Execution execution) {
        waiting.remove(execution);
    }

    /**
     * Nobody waits for an execution that was handed to the socket. Guards against a long request that is half sent when its
     * client goes, and would begin at its server when its last byte comes there: it is cut off, unless somebody else waits here.
     */
    void abandon(Execution execution) {
        boolean alone = !isWanted() && waiting.isEmpty() && sent.stream().allMatch(e -> e == execution || e.isOver());
        if (alone && execution.endsAt() > takenBytes()) {
            execution.cancel();
            close(CloseReason.UNUSED);
        }
    }

    /**
     * The server drains or is gone: what waits here ends unsent, and so does what the socket has not taken a byte of. One that has
     * begun goes on. Guards against answers that are on their way here and would be cut off with it.
     */
    void drain() {
        waiting.endAll(Api.Outcome.CONNECT_FAILED);
        if (up && !nothingQueued() && takenBytes() <= beganAt) {
            close(CloseReason.SERVER_RETIRED);
        }
    }

    /** Nothing is awaited on it and it has rested so long that its server may close it before anything else arrives there. */
    boolean isRestedOut(double now) {
        return up && sent.isEmpty() && now - activity.heardAt() >= pool.pools().idleMost();
    }

    /**
     * Guards against a request on a link that its server has closed, or on which something came that nobody asked for: it
     * would end as one that may have run. What waits here then goes to another link.
     */
    private void proveRested() {
        double now = pool.pools().now();
        if (waiting.isEmpty() || !sent.isEmpty()) {
            return;
        }
        if (isRestedOut(now)) {
            close(CloseReason.RESTED);
        } else if (activity.hasRested(now)) {
            readNow();
        }
    }

    @Override
    protected void onUp() {
        up = true;
        heldUpHere = false;
        activity.begins(pool.pools().now());
        pump();
    }

    @Override
    protected void fill() {
        if (waiting.isEmpty() || mustWaitForList()) {
            return;
        }
        if (pool.isRetired()) {
            // The last point before bytes go out: whatever brought it here, nothing new goes to a server that drains.
            waiting.endAll(Api.Outcome.CONNECT_FAILED);
        }
        waiting.endBelated();
        waiting.cancelUnwanted(this::nothingQueued);
        proveRested();
        if (isClosed() || isInputOver()) {
            return;
        }
        // One at a time: what waits here can still be withdrawn, what is in the ring, or waits at the server, can not.
        if (nothingQueued() && !waiting.isEmpty() && sent.size() < pool.pools().streams()) {
            Execution next = waiting.next();
            Api.Outcome rejection = pool.pools().sendGuard().rejection(next, pool);
            if (rejection != null) {
                next.end(rejection);
                return;
            }
            if (sent.isEmpty()) {
                activity.begins(pool.pools().now());
                next.alone();
            }
            next.sentAt(pool.pools().now());
            sent.add(next);
            byte[] message = next.message();
            next.endsAt(queue(message));
            beganAt = next.endsAt() - message.length;
        }
    }

    /** Guards against a link that comes up after the process stood still, before what was told meanwhile is read. */
    private boolean mustWaitForList() {
        if (!awaitsList) {
            awaitsList = pool.pools().host().mustWaitForList(() -> {
                awaitsList = false;
                pump();
            });
        }
        return awaitsList;
    }

    @Override
    protected void onWritten() {}

    @Override
    protected boolean wantsInput() {
        return !parser.isBlocked() && !isHeldUp();
    }

    /** The rest of a large value waits for room at its client, or an answer for room among all that are collected. */
    @Override
    protected boolean takesLater() {
        return isWanted() || parser.isBlocked();
    }

    /** Nothing can be sent on it any more: what was not goes to another link. */
    @Override
    protected void onInputOver() {
        retired = true;
        waiting.moveTo(pool::take);
    }

    @Override
    protected void onBytes() {
        pool.pools().delay().onRead(pool.pools().now());
        workOn();
    }

    /** Takes answers, and sends what has waited for them. */
    private void workOn() {
        digest();
        pump();
    }

    @Override
    protected int readMost() {
        return isFlowing()
                ? Math.max(1, pool.pools().window() - unread())
                : parser.isInside() ? LARGE_READ : super.readMost();
    }

    /** There may be room for the large value that waits for it. */
    private void unblock() {
        activity.resumed(pool.pools().now());
        workOn();
        readOn();
    }

    private Answer next(RingBuffer bytes) throws MalformedException {
        Execution first = sent.peek();
        Answer answer = parser.next(bytes, first != null && !first.isOver());
        if (answer == null && parser.isBlocked()) {
            // Not at once: who gives room back is in the middle of something.
            pool.pools().room().await(() -> pool.pools().loop().execute(this::unblock));
        }
        return answer;
    }

    /** Whether an answer has come in part. */
    private boolean isInside() {
        return unread() > 0 || parser.isInside();
    }

    /** A value of which the first bytes are there: from here on it is passed on as it comes. */
    private void begin(Answer head, Execution first) {
        flow = new ValueFlow(head.flow(), new ValueFlow.Source() {
            @Override
            public int moveTo(RingBuffer to) {
                int n = parser.move(input(), to, pool.pools().window());
                if (n > 0) {
                    goOn();
                }
                return n;
            }

            @Override
            public void abandoned() {
                goOn();
            }
        });
        activity.valueBegins();
        pool.pools().flowBegins();
        first.begun(head, flow);
    }

    /** By way of a task: who takes bytes is in the middle of something. */
    private void goOn() {
        if (!goingOn) {
            goingOn = true;
            pool.pools().loop().execute(() -> {
                goingOn = false;
                if (!isClosed()) {
                    workOn();
                    readOn();
                }
            });
        }
    }

    /** Moves on what has come of the value; returns whether that was its end. */
    private boolean flowsOn(RingBuffer bytes) throws MalformedException {
        if (flow.isAbandoned()) {
            parser.passOver(bytes);
        } else {
            flow.onData();
        }
        if (flow == null || !parser.endsFlow(bytes)) {
            return false;
        }
        boolean tail = endsOrder();
        endFlow(true);
        refuse(tail);
        return true;
    }

    /** The one place where a flow ends on this side. */
    private void endFlow(boolean whole) {
        ValueFlow ended = flow;
        flow = null;
        if (ended != null) {
            pool.pools().flowEnds(whole || ended.isAbandoned());
            if (whole) {
                ended.onComplete();
            } else {
                ended.onFailure();
            }
        }
    }

    /**
     * The first of what was sent has its answer; returns whether more has come than belongs to it. Guards against taking that
     * for the next answer: nothing more is asked here, whatever comes of telling who waited for this one.
     */
    private boolean endsOrder() {
        sent.remove();
        stallTimer.cancel();
        boolean tail = sent.isEmpty() && unread() > 0;
        retired |= tail;
        return tail;
    }

    private static void refuse(boolean tail) throws MalformedException {
        if (tail) {
            throw new MalformedException("more than belongs to an answer");
        }
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        activity.received(pool.pools().now(), isFlowing(), !isHeldUp());
        while (true) {
            if (isFlowing() && !flowsOn(bytes)) {
                awaitRest();
                return;
            }
            Answer answer = next(bytes);
            if (answer == null) {
                break;
            }
            double wait = activity.answered();
            Execution first = sent.peek();
            if (first == null || !first.accepts(answer)) {
                throw new MalformedException("an answer to nothing that was asked");
            }
            if (answer.flow() > 0) {
                pool.answered(this, first.sentAt(), wait);
                begin(answer, first);
                if (isClosed()) {
                    return;
                }
                continue;
            }
            boolean doubtful = isDoubtful(answer, first);
            boolean tail = endsOrder();
            pool.answered(this, first.sentAt(), wait);
            if (doubtful) {
                retired = true;
                first.end(Api.Outcome.CANCELLED);
            } else {
                first.answered(answer);
            }
            if (isClosed()) {
                return;
            }
            refuse(tail);
        }
        if (sent.isEmpty() && isInside()) {
            throw new MalformedException("bytes that nothing asked for");
        }
        if (retired && !hasLive()) {
            close(CloseReason.UNUSED);
        } else if (isInside()) {
            awaitRest();
        }
    }

    /** Whether a refusal may be the one before, come twice. Whoever may run twice is told what came. */
    private boolean isDoubtful(Answer answer, Execution first) {
        boolean busy = answer.kind() == Answer.Kind.BUSY;
        boolean namesNone = busy || answer.kind() == Answer.Kind.FAILED;
        boolean again = namesNone && activity.refusedAgain();
        return busy && again && !first.mayRunTwice();
    }

    private void awaitRest() {
        if (!isClosed()) {
            stallTimer.start();
        }
    }

    /**
     * When an answer of which nothing more comes counts as stopped for good. One that is passed on as it comes is waited for until
     * the client's time is up and as long as an answer may be late, and from then on a few of the rests that its server has made
     * in it so far. Guards against a server that writes in pieces and has only begun when the time is up, and against a client
     * that waits for ever.
     */
    private double stopsAt() {
        double usual = pool.pools().stallMost();
        Execution first = sent.peek();
        double bytesAt = activity.bytesAt();
        if (!isFlowing() || first == null) {
            return bytesAt + usual;
        }
        double rested = bytesAt + Math.max(usual, ServerPools.FLOW_RESTS * activity.longestRest());
        return Math.min(
                bytesAt + ServerPools.FLOW_STALL_MOST,
                Math.max(rested, first.timeIsUpAt() + ServerPools.FLOW_LATE_MOST));
    }

    /** Guards against an answer that never becomes whole: all behind it would wait until their time is up. */
    private final class PartialAnswer implements StallTimer.PartialAnswer {
        @Override
        public boolean isInside() {
            return !isClosed() && ServerLink.this.isInside();
        }

        @Override
        public double stopsIn() {
            return isWaitedFor() ? stopsAt() - pool.pools().now() : Double.POSITIVE_INFINITY;
        }

        @Override
        public void stopped() {
            onMalformed(new MalformedException("an answer that stopped in the middle"));
        }
    }

    /** It is the server that the rest of an answer is waited for from: it has not given all, and this side reads on. */
    private boolean isWaitedFor() {
        return !parser.isBlocked() && !isHeldUp() && !isInputOver() && !(isFlowing() && parser.hasRest(input()));
    }

    /**
     * A spoilt answer: the execution that it was for has run, or may have. The others that were sent may have run, but
     * it is this side that gives them up, for nothing that comes here can be told apart any more.
     */
    @Override
    protected void onMalformed(MalformedException e) {
        pool.pools().malformed(e);
        retired = true;
        endFlow(false);
        Execution first = sent.peek();
        if (first != null && first.endsAt() <= writtenBytes()) {
            sent.remove();
            first.end(Api.Outcome.ERROR);
        }
        List<Execution> behind = new ArrayList<>(sent);
        behind.removeIf(x -> x.endsAt() > writtenBytes());
        sent.removeAll(behind);
        behind.forEach(x -> x.end(Api.Outcome.CANCELLED));
        close(CloseReason.MALFORMED);
    }

    /** It is this machine that could not connect it by now. */
    void holdUpHere() {
        heldUpHere = true;
    }

    /** Whether it is this machine that keeps it from coming up. */
    boolean isHeldUpHere() {
        return heldUpHere;
    }

    /** Whether it has ended. */
    boolean isOver() {
        return isClosed();
    }

    /** Closes from this side. */
    void drop() {
        close(CloseReason.UNUSED);
    }

    @Override
    protected void onClosed() {
        pool.closed(this);
        parser.drop();
        endFlow(false);
        stallTimer.cancel();
        List<Execution> lost = new ArrayList<>(sent);
        sent.clear();
        for (Execution e : lost) {
            // Only a request whose last byte the socket took may have run.
            e.end(e.endsAt() <= writtenBytes() ? Api.Outcome.RESET : Api.Outcome.CONNECT_FAILED);
        }
        if (up) {
            // Not a byte of these was sent: they go to another link of the server.
            waiting.moveTo(pool::take);
        } else {
            waiting.endAll(heldUpHere ? Api.Outcome.NOT_SENT : Api.Outcome.CONNECT_FAILED);
        }
    }
}
