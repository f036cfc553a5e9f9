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

/** A connection to a cache server. Answers arrive in the order of the executions. */
final class ServerLink extends Link {
    /** Maximum number of bytes per read while a large value is received. */
    private static final int LARGE_READ_BYTES = 64 * 1024;

    private final ServerPool pool;
    private final UnsentExecutions unsent = new UnsentExecutions();
    /**
     * Executions that were handed to the socket, in order. A cancelled one keeps its place, because its answer still
     * arrives.
     */
    private final ArrayDeque<Execution> inFlight = new ArrayDeque<>();

    private final double openedAt;
    private boolean up;
    /** Whether the connection failed so far for a reason local to this machine. */
    private boolean localFailure;

    private boolean awaitsServerList;
    /** Accepts no new executions, and closes once no pending execution is left. */
    private boolean retired;

    private final LinkActivity activity;
    private final StallTimer stallTimer;

    private final AnswerParser parser;
    /** The large value that is being transferred, or null. */
    private ValueFlow flow;
    /** Value of the counter of queued bytes at the start of the message that was queued last. */
    private long lastMessageStart;

    private boolean continuationScheduled;

    ServerLink(ServerPool pool) {
        this.pool = pool;
        parser = new AnswerParser(pool.pools().valueMemory(), pool.pools().reports());
        openedAt = pool.pools().now();
        activity = new LinkActivity(pool.silenceDetector(), openedAt);
        stallTimer = new StallTimer(pool.pools().loop(), pool.pools().stallTimeout(), new PartialAnswer());
    }

    void submit(Execution execution) {
        execution.link(this);
        unsent.add(execution);
        pump();
    }

    /** Number of executions that are queued or in flight on this link. */
    int load() {
        return unsent.size() + inFlight.size();
    }

    /**
     * Prefers links without a large value in transfer, then links that are not slow, then links with fewer pending
     * executions. Of equal ones it prefers the link whose last answer is the oldest: unrequested bytes that follow that
     * answer have then most likely arrived and are seen before the link is used.
     */
    boolean isPreferredTo(ServerLink other, double now) {
        if (hasFlow() != other.hasFlow()) {
            return other.hasFlow();
        }
        if (isSlow(now) != other.isSlow(now)) {
            return other.isSlow(now);
        }
        if (load() != other.load()) {
            return load() < other.load();
        }
        return up != other.up ? up : lastAnswerAt() < other.lastAnswerAt();
    }

    /** Seconds for which an answer has been due with no input; 0 if none is due. */
    private double waitTime(double now) {
        return inFlight.isEmpty() || isBackPressured() ? 0 : activity.silentFor(now);
    }

    boolean isSlow(double now) {
        return activity.isUnusuallyLong(waitTime(now));
    }

    /**
     * Notes that another link has received the answer to a request sent at that time; returns whether this link has
     * been overtaken.
     */
    boolean overtaken(double sentAt) {
        return !inFlight.isEmpty() && activity.overtaken(sentAt);
    }

    /** Seconds until the link counts as silent while the server answers on other links; infinite if it does not. */
    double silentIn(double now) {
        return inFlight.isEmpty() || parser.isBlocked() || parser.awaitsLargeValue() || hasFlow()
                ? Double.POSITIVE_INFINITY
                : activity.silentIn(waitTime(now));
    }

    boolean isIdle() {
        return up && load() == 0;
    }

    double openedAt() {
        return openedAt;
    }

    double lastAnswerAt() {
        return activity.lastAnswerAt();
    }

    /**
     * Whether the link must not get new executions because its pending answers may never arrive. A server that accepts
     * requests without answering them, or that has vanished, is only noticed by its silence.
     */
    boolean isSilent(double now) {
        Execution first = inFlight.peek();
        return first != null && !hasFlow() && (first.timedOut() || activity.isSilent(now));
    }

    /**
     * Retires the link after the server's address or process has changed. Executions in flight may still be answered;
     * queued ones move to another link.
     */
    void retire() {
        retired = true;
        if (!hasPending()) {
            close(CloseReason.SERVER_RETIRED);
        }
    }

    boolean isRetired() {
        return retired;
    }

    /** Whether a large value is being transferred on this link. */
    boolean hasFlow() {
        return flow != null;
    }

    /** Whether a client still waits for the rest of a large value. */
    private boolean isFlowWanted() {
        return flow != null && !flow.isAbandoned();
    }

    /** Whether the router does not read from the server because a client does not read its value. */
    boolean isBackPressured() {
        return isFlowWanted() && unread() >= pool.pools().window();
    }

    boolean hasPending() {
        return isFlowWanted() || !unsent.isEmpty() || inFlight.stream().anyMatch(e -> !e.isEnded());
    }

    /** Removes a cancelled execution from the queue if it has not been sent. */
    void withdraw(Execution execution) {
        unsent.remove(execution);
    }

    /**
     * Called when no client waits any more for an execution that was handed to the socket. If the request is only partly
     * written, the server would start it once the last byte arrives. The link is therefore closed before that, unless
     * another execution is pending on it.
     */
    void abandon(Execution execution) {
        boolean alone =
                !isFlowWanted() && unsent.isEmpty() && inFlight.stream().allMatch(e -> e == execution || e.isEnded());
        if (alone && execution.endOffset() > takenBytes()) {
            execution.cancel();
            close(CloseReason.UNUSED);
        }
    }

    /**
     * Handles a drain or the removal of the server: queued executions end unsent, and so does one of which the socket
     * has not taken a byte yet. An execution that has been started goes on; closing the link would lose answers that
     * are already on their way.
     */
    void drain() {
        unsent.endAll(Api.Outcome.CONNECT_FAILED);
        if (up && !nothingQueued() && takenBytes() <= lastMessageStart) {
            close(CloseReason.SERVER_RETIRED);
        }
    }

    /**
     * Whether the link has been idle for so long that its server may close it before the next request arrives there.
     */
    boolean isIdleTooLong(double now) {
        return up
                && inFlight.isEmpty()
                && now - activity.lastAnswerAt() >= pool.pools().maxIdle();
    }

    /**
     * Checks an idle link before it is used again. A request that is sent on a link which the server has closed, or on
     * which unrequested bytes have arrived, would end as one that may have run. If the check closes the link, its
     * queued executions move to another one.
     */
    private void checkIdleLink() {
        double now = pool.pools().now();
        if (unsent.isEmpty() || !inFlight.isEmpty()) {
            return;
        }
        if (isIdleTooLong(now)) {
            close(CloseReason.RESTED);
        } else if (activity.hasBeenIdle(now)) {
            readNow();
        }
    }

    @Override
    protected void onUp() {
        up = true;
        localFailure = false;
        activity.restart(pool.pools().now());
        pump();
    }

    @Override
    protected void fill() {
        if (unsent.isEmpty() || mustWaitForServerList()) {
            return;
        }
        if (pool.isRetired()) {
            // Last check before bytes are sent: no new execution goes to a draining server, whichever path led here.
            unsent.endAll(Api.Outcome.CONNECT_FAILED);
        }
        unsent.endPastLatestStart();
        unsent.cancelUnwanted(this::nothingQueued);
        checkIdleLink();
        if (isClosed() || isInputOver()) {
            return;
        }
        // Queues one at a time: an execution can be withdrawn while it is queued here, but not once it is in the ring
        // buffer or at the server.
        if (nothingQueued()
                && !unsent.isEmpty()
                && inFlight.size() < pool.pools().streams()) {
            Execution next = unsent.removeFirst();
            Api.Outcome rejection = pool.pools().sendGuard().rejection(next, pool);
            if (rejection != null) {
                next.end(rejection);
                return;
            }
            if (inFlight.isEmpty()) {
                activity.restart(pool.pools().now());
                next.markAlone();
            }
            next.sentAt(pool.pools().now());
            inFlight.add(next);
            byte[] message = next.message();
            next.endOffset(queue(message));
            lastMessageStart = next.endOffset() - message.length;
        }
    }

    /**
     * Returns whether sending has to wait for a new server list. After the process stood still, a link may come up
     * before the changes of the list from that time have been read.
     */
    private boolean mustWaitForServerList() {
        if (!awaitsServerList) {
            awaitsServerList = pool.pools().host().mustWaitForList(() -> {
                awaitsServerList = false;
                pump();
            });
        }
        return awaitsServerList;
    }

    @Override
    protected void onWritten() {}

    @Override
    protected boolean wantsInput() {
        return !parser.isBlocked() && !isBackPressured();
    }

    /**
     * Whether input is kept after the connection has ended: the rest of a large value waits for its client to read, or
     * an answer waits for memory.
     */
    @Override
    protected boolean takesLater() {
        return isFlowWanted() || parser.isBlocked();
    }

    /** No further request can be sent, so queued executions move to another link. */
    @Override
    protected void onInputOver() {
        retired = true;
        unsent.moveTo(pool::dispatch);
    }

    @Override
    protected void onBytes() {
        pool.pools().delay().onRead(pool.pools().now());
        processInput();
    }

    /** Processes answers, then sends the executions that waited for them. */
    private void processInput() {
        digest();
        pump();
    }

    @Override
    protected int readMost() {
        return hasFlow()
                ? Math.max(1, pool.pools().window() - unread())
                : parser.isInside() ? LARGE_READ_BYTES : super.readMost();
    }

    /** Continues after memory has been released for the large value that waits for it. */
    private void onMemoryReleased() {
        activity.onResumed(pool.pools().now());
        processInput();
        readOn();
    }

    private Answer next(RingBuffer bytes) throws MalformedException {
        Execution first = inFlight.peek();
        Answer answer = parser.next(bytes, first != null && !first.isEnded());
        if (answer == null && parser.isBlocked()) {
            // Deferred to a task: the caller that releases the memory has not finished its own step.
            pool.pools()
                    .valueMemory()
                    .await(() -> pool.pools().loop().execute(() -> runGuarded(this::onMemoryReleased)));
        }
        return answer;
    }

    /** Whether an answer has arrived in part. */
    private boolean hasPartialAnswer() {
        return unread() > 0 || parser.isInside();
    }

    /** Starts to forward a value of which the first bytes have arrived. */
    private void startFlow(Answer head, Execution first) {
        flow = new ValueFlow(head.flow(), new ValueFlow.Source() {
            @Override
            public int moveTo(RingBuffer to) {
                int n = parser.move(input(), to, pool.pools().window());
                if (n > 0) {
                    scheduleProcessing();
                }
                return n;
            }

            @Override
            public void abandoned() {
                scheduleProcessing();
            }
        });
        pool.pools().onFlowStarted();
        first.onValueStarted(head, flow);
    }

    /** Schedules further processing as a task, because the caller that takes bytes has not finished its own step. */
    private void scheduleProcessing() {
        if (!continuationScheduled) {
            continuationScheduled = true;
            pool.pools().loop().execute(() -> runGuarded(this::continueProcessing));
        }
    }

    private void continueProcessing() {
        continuationScheduled = false;
        if (!isClosed()) {
            processInput();
            readOn();
        }
    }

    /** Moves on the received bytes of the value; returns whether the value is complete. */
    private boolean advanceFlow(RingBuffer bytes) throws MalformedException {
        if (flow.isAbandoned()) {
            parser.passOver(bytes);
        } else {
            flow.onData();
        }
        if (flow == null || !parser.endsFlow(bytes)) {
            return false;
        }
        boolean surplus = completeFirst();
        endFlow(true);
        rejectSurplus(surplus);
        return true;
    }

    /** Ends the value transfer on the server side; the only method that does. */
    private void endFlow(boolean complete) {
        ValueFlow ended = flow;
        flow = null;
        if (ended != null) {
            pool.pools().onFlowEnded(complete || ended.isAbandoned());
            if (complete) {
                ended.onComplete();
            } else {
                ended.onFailure();
            }
        }
    }

    /**
     * Removes the first execution in flight, which has its answer; returns whether surplus bytes follow. These must not
     * be taken for the next answer, so the link accepts no new execution, whatever the callback for this answer does.
     */
    private boolean completeFirst() {
        inFlight.remove();
        stallTimer.cancel();
        boolean surplus = inFlight.isEmpty() && unread() > 0;
        retired |= surplus;
        return surplus;
    }

    private static void rejectSurplus(boolean surplus) throws MalformedException {
        if (surplus) {
            throw new MalformedException("unrequested bytes after an answer");
        }
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        activity.onBytes(pool.pools().now(), hasFlow());
        while (true) {
            if (hasFlow() && !advanceFlow(bytes)) {
                startStallTimer();
                return;
            }
            Answer answer = next(bytes);
            if (answer == null) {
                break;
            }
            double wait = activity.onAnswer();
            Execution first = inFlight.peek();
            if (first == null || !first.accepts(answer)) {
                throw new MalformedException("no pending request matches the answer");
            }
            if (answer.flow() > 0) {
                pool.onAnswer(this, first.sentAt(), wait);
                startFlow(answer, first);
                if (isClosed()) {
                    return;
                }
                continue;
            }
            boolean possibleDuplicate = isPossibleDuplicate(answer, first);
            boolean surplus = completeFirst();
            pool.onAnswer(this, first.sentAt(), wait);
            if (possibleDuplicate) {
                retired = true;
                first.end(Api.Outcome.CANCELLED);
            } else {
                first.onAnswer(answer);
            }
            if (isClosed()) {
                return;
            }
            rejectSurplus(surplus);
        }
        if (inFlight.isEmpty() && hasPartialAnswer()) {
            throw new MalformedException("unrequested bytes on an idle connection");
        }
        if (retired && !hasPending()) {
            close(CloseReason.UNUSED);
        } else if (hasPartialAnswer()) {
            startStallTimer();
        }
    }

    /**
     * Whether a refusal may be a duplicate of the one before. An execution that may run twice gets it as its outcome
     * anyway.
     */
    private boolean isPossibleDuplicate(Answer answer, Execution first) {
        boolean busy = answer.kind() == Answer.Kind.BUSY;
        boolean withoutId = busy || answer.kind() == Answer.Kind.FAILED;
        boolean repeated = withoutId && activity.onAnswerWithoutId();
        return busy && repeated && !first.mayRunTwice();
    }

    private void startStallTimer() {
        if (!isClosed()) {
            stallTimer.start();
        }
    }

    /**
     * Returns the time at which an incomplete answer counts as stalled. A value that is being forwarded cannot be asked
     * for again, so a pause in it may be long. The first byte of a large value is waited for until the deadline of its
     * request: a server that has written the head is still at work, and another one would have to start anew.
     */
    private double stallDeadline() {
        double bytesAt = activity.lastBytesAt();
        if (isFlowWanted()) {
            return bytesAt + ServerPools.FLOW_STALL_MAX;
        }
        double stalledAt = bytesAt + pool.pools().stallTimeout();
        Execution first = inFlight.peek();
        return first != null && parser.awaitsLargeValue() ? Math.max(stalledAt, first.deadline()) : stalledAt;
    }

    /**
     * Closes the link on an answer that never becomes complete; otherwise all answers behind it would wait until their
     * timeouts.
     */
    private final class PartialAnswer implements StallTimer.PartialAnswer {
        @Override
        public boolean isIncomplete() {
            return !isClosed() && ServerLink.this.hasPartialAnswer();
        }

        @Override
        public double stalledIn() {
            return isWaitingForServer() ? stallDeadline() - pool.pools().now() : Double.POSITIVE_INFINITY;
        }

        @Override
        public void onStalled() {
            onMalformed(new MalformedException("an incomplete answer stalled"));
        }
    }

    /**
     * Whether the rest of an answer is missing because of the server: the router reads, and the server has not sent all
     * of it.
     */
    private boolean isWaitingForServer() {
        return !parser.isBlocked() && !isBackPressured() && !isInputOver() && !(hasFlow() && parser.hasRest(input()));
    }

    /**
     * Ends the execution to which a malformed answer belongs as an error, since it has run or may have. The other
     * executions in flight may have run as well, but are cancelled by the router, because no later input on this link
     * can be attributed to a request.
     */
    @Override
    protected void onMalformed(MalformedException e) {
        pool.pools().onMalformed(e);
        retired = true;
        endFlow(false);
        Execution first = inFlight.peek();
        if (first != null && first.endOffset() <= writtenBytes()) {
            inFlight.remove();
            first.end(Api.Outcome.ERROR);
        }
        List<Execution> others = new ArrayList<>(inFlight);
        others.removeIf(x -> x.endOffset() > writtenBytes());
        inFlight.removeAll(others);
        others.forEach(x -> x.end(Api.Outcome.CANCELLED));
        close(CloseReason.MALFORMED);
    }

    /** Notes that the connection failed for a reason local to this machine. */
    void markLocalFailure() {
        localFailure = true;
    }

    /** Whether a reason local to this machine keeps the link from coming up. */
    boolean hasLocalFailure() {
        return localFailure;
    }

    /** Whether the link is closed. */
    boolean hasClosed() {
        return isClosed();
    }

    /** Closes the link from this side. */
    void drop() {
        close(CloseReason.UNUSED);
    }

    @Override
    protected void onClosed() {
        pool.onClosed(this);
        parser.drop();
        endFlow(false);
        stallTimer.cancel();
        List<Execution> ended = new ArrayList<>(inFlight);
        inFlight.clear();
        for (Execution e : ended) {
            // Only a request whose last byte was taken by the socket may have run.
            e.end(e.endOffset() <= writtenBytes() ? Api.Outcome.RESET : Api.Outcome.CONNECT_FAILED);
        }
        if (up) {
            // No byte of these was sent: they move to another link of the server.
            unsent.moveTo(pool::dispatch);
        } else {
            unsent.endAll(localFailure ? Api.Outcome.NOT_SENT : Api.Outcome.CONNECT_FAILED);
        }
    }
}
