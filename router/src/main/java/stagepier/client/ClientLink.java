package stagepier.client;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.function.ToIntFunction;
import stagepier.exchange.Exchange;
import stagepier.exchange.Reply;
import stagepier.exchange.ValueFlow;
import stagepier.invariants.Invariant;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.Command;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;
import stagepier.overload.ClientMemory;
import stagepier.overload.ConnectionSlots;
import stagepier.overload.ConnectionSlots.Behaviour;
import stagepier.overload.InputAdmission;

/**
 * A client's connection. Commands are read from it, and answers are written to it in the order of the commands.
 *
 * <p>The end of the client's stream is treated as a closed connection, as the protocol documentation defines it: a FIN
 * does not tell whether the client only shut down its sending side, so its pending requests are given up. The link
 * keeps reading while it may take no more commands, as far as its buffer and the memory for read-ahead allow, in order
 * to detect that end. When the link
 * itself closes in an orderly way, it lingers, so that the last answer arrives completely.
 */
final class ClientLink extends Link {
    /** Number of commands without a written answer above which no further commands are read. */
    private static final int PIPELINE_MAX = 128;
    /** Bytes of answers that the client has not read, above which no further commands are read. */
    private static final int UNREAD_ANSWER_BYTES_MAX = 2 * Protocol.LARGEST_VALUE;
    /** In seconds. A client that sends a command in pieces is expected to send the next piece within this time. */
    private static final double PIECE_INTERVAL_MAX = 0.8;
    /**
     * In seconds. A drain does not close a link without any command before this age, because its first request may be
     * on its way.
     */
    private static final double FIRST_COMMAND_GRACE = 0.4;
    /**
     * In seconds. A request that arrived within this time before the end of a drain must have been answered by that
     * end.
     */
    private static final double RECENT_REQUEST = 2;
    /** Bytes of input that a link may hold in any case; for more, the memory limit applies. */
    private static final int MIN_READ_AHEAD = 4096;
    /** Bytes of input that a link may hold apart from a long command, if there is memory. */
    private static final int READ_AHEAD_MAX = 32 * 1024;
    /** Bytes of an open request apart from its value: its words, its attempts and their timers. */
    private static final int REQUEST_BYTES = 1024;
    /** Length in bytes from which on a value is dropped if there is no memory for it; receipts are shorter. */
    private static final int DROPPABLE_VALUE = 4096;
    /** In seconds. A client that was found connected within this time is assumed to be still connected. */
    private static final double CONNECTED_CHECK_VALID = 0.02;
    /**
     * In seconds. Time for which a client counts as connected while the end of its stream cannot be seen. An attempt must
     * not begin later than this after a client has closed.
     */
    private static final double CONNECTED_ASSUMED_MAX = 0.1;

    /** In seconds. Time between two looks whether a client reads its answers. */
    private static final double READING_CHECK_INTERVAL = 0.5;

    private static final String COMMAND_TIMED_OUT = "CLIENT_ERROR command not finished in time";
    /**
     * Rejection while this process ends: another router can serve the request immediately, but this process will not.
     */
    private static final String REJECTED_ENDING = "SERVER_ERROR busy 1";
    /** Rejection while too much is owed to clients that do not read. */
    private static final String REJECTED_MEMORY = "SERVER_ERROR busy 1000";

    private final AnswerBytes.Sink sink = new AnswerBytes.Sink() {
        @Override
        public int put(byte[] bytes, int from) {
            return queue(bytes, from);
        }

        @Override
        public int put(ToIntFunction<RingBuffer> supplier) {
            return queue(supplier);
        }
    };

    private final ClientListener owner;
    private final ClientMemory.Account memory;
    private final InputAdmission.Claim inputClaim;
    private final ArrayDeque<PendingAnswer> pending = new ArrayDeque<>();
    private final double openedAt;
    /** Time of the last client activity: a command was taken, or bytes of an answer were read. */
    private double lastActiveAt;
    /** Time at which the first part of an incomplete command arrived; NaN if there is none. */
    private double partialSince = Double.NaN;
    /** Time at which a long command was last admitted after a wait; negative infinity before that. */
    private double inputAdmittedAt = Double.NEGATIVE_INFINITY;
    /** Time at which bytes last arrived. */
    private double lastBytesAt;
    /**
     * Time at which the socket was last found empty; negative infinity before that and whenever bytes have arrived
     * since.
     */
    private double socketEmptyAt = Double.NEGATIVE_INFINITY;

    /** Latest time at which the client is known to have been connected. */
    private double connectedAt;

    private boolean hadCommand;
    /** Time at which the last request was taken; negative infinity before the first one. */
    private double lastRequestAt = Double.NEGATIVE_INFINITY;
    /** Number of requests that were passed to the routing module. */
    private int requestCount;
    /** Since when the bytes not yet taken can have been there, in the buffer or in the socket. */
    private final InputAge inputAge;
    /** Whether it has unprocessed bytes and is queued at the listener. */
    private boolean isQueued;

    /** Reason to close once every command taken has been answered; null while the link takes commands. */
    private CloseReason closingReason;
    /** Whether further requests are rejected. */
    private boolean rejecting;
    /** Whether the link closes as soon as an answer is written and no other command is pending. */
    private boolean closesAfterAnswer;

    /** Time at which {@link #checkReading} last looked. */
    private double readingCheckedAt = Double.NEGATIVE_INFINITY;
    /** Number of bytes that the socket had accepted then. */
    private long takenAtCheck;
    /** Whether a value has broken off after its first bytes. */
    private boolean valueBroken;

    private int answerBytes;
    /** Bytes of the requests whose answers are not known yet. */
    private int requestBytes;
    /** Number of reads whose answers are not known yet. */
    private int openReads;
    /** Number of pending answers with a streamed value. */
    private int flows;

    ClientLink(ClientListener owner, Channel channel, double earliestConnectAt) {
        this.owner = owner;
        inputAge = new InputAge(earliestConnectAt);
        memory = owner.openMemoryAccount();
        inputClaim = owner.openInputClaim(this);
        openedAt = owner.now();
        lastActiveAt = openedAt;
        connectedAt = openedAt;
        attach(channel);
    }

    @Override
    protected void onUp() {
        owner.onOpened(this);
    }

    @Override
    protected boolean wantsInput() {
        return unread() < MIN_READ_AHEAD || input().free() > 0 && mayReadMore();
    }

    /**
     * Whether more than the minimum of input may be held: for a long command that is admitted, or in order to detect the
     * end of the stream.
     */
    private boolean mayReadMore() {
        return inputClaim.isAdmitted()
                || unread() < READ_AHEAD_MAX
                        && !inputClaim.isWaiting()
                        && closingReason == null
                        && owner.hasReadAheadMemory();
    }

    @Override
    protected int readMost() {
        if (!mayReadMore()) {
            return MIN_READ_AHEAD - unread();
        }
        return inputClaim.isAdmitted() ? super.readMost() : Math.min(super.readMost(), READ_AHEAD_MAX - unread());
    }

    private boolean acceptsCommands() {
        // No command is taken behind a streamed value: if the value breaks off, the connection has to be closed.
        return flows == 0
                && pending.size() < PIPELINE_MAX
                && answerBytes < UNREAD_ANSWER_BYTES_MAX
                && closingReason == null
                && (nothingOwed() || memory.hasShare());
    }

    private boolean nothingOwed() {
        return pending.isEmpty() && nothingQueued();
    }

    private void updateMemory() {
        if (isGivenBack()) {
            memory.close();
        } else {
            // The first read does not count, since a link may always have one.
            int expectedValues = Math.max(0, openReads - 1);
            int collecting =
                    pending.stream().mapToInt(PendingAnswer::collectingBytes).sum();
            memory.update(inputCapacity(), outputCapacity() + answerBytes + collecting, requestBytes, expectedValues);
        }
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        while (acceptsCommands() && !isClosed()) {
            Command command = CommandParser.next(bytes);
            if (command == null) {
                break;
            }
            inputAge.onTaken(unread());
            inputClaim.release();
            hadCommand = true;
            lastActiveAt = owner.now();
            partialSince = Double.NaN;
            handle(command);
        }
        if (unread() == 0) {
            partialSince = Double.NaN;
        } else if (acceptsCommands() && Double.isNaN(partialSince)) {
            partialSince = owner.now();
        }
        claimInputMemory(bytes);
    }

    /** Claims memory for the command that has arrived in part, if it is long. */
    private void claimInputMemory(RingBuffer bytes) throws MalformedException {
        if (isClosed() || unread() < MIN_READ_AHEAD || !acceptsCommands()) {
            return;
        }
        inputClaim.request(RingBuffer.capacityFor(CommandParser.lengthOfNext(bytes)), !nothingOwed());
    }

    /** Notes the end of a wait for memory: what the client has sent meanwhile is read from now on. */
    void onInputAdmitted() {
        inputAdmittedAt = owner.now();
    }

    /** Whether a long command is not whole because this router has not read it, as far as is known. */
    private boolean isHeldUpByMemory() {
        return inputClaim.isWaiting() || owner.now() - inputAdmittedAt < PIECE_INTERVAL_MAX;
    }

    /** The current behaviour of the client, as input to {@link ConnectionSlots}. */
    Behaviour behaviour() {
        if (isQueued || isHeldUpByMemory()) {
            return Behaviour.OWED;
        }
        if (!nothingOwed()) {
            return flows > 0 && nothingQueued() || !pending.stream().allMatch(s -> s.answer != null)
                    ? Behaviour.OWED
                    : flows > 0 ? Behaviour.READING : Behaviour.UNREAD;
        }
        if (!Double.isNaN(partialSince)) {
            return owner.now() - lastBytesAt < PIECE_INTERVAL_MAX ? Behaviour.SLOW : Behaviour.PART;
        }
        return !hadCommand
                ? Behaviour.SILENT
                : requestCount == 0 ? Behaviour.PROBE : requestCount == 1 ? Behaviour.ONCE : Behaviour.REGULAR;
    }

    /**
     * Finds out whether the client reads its answers, from the room that it makes in the socket: looks for it if none was
     * seen for a while.
     */
    void checkReading() {
        double now = owner.now();
        if (nothingQueued() || now - readingCheckedAt < READING_CHECK_INTERVAL) {
            return;
        }
        readingCheckedAt = now;
        long before = takenAtCheck;
        writeNow();
        takenAtCheck = takenBytes();
        if (takenAtCheck > before) {
            lastActiveAt = now;
        }
    }

    /** Time since which it shows this behaviour. */
    double since(Behaviour behaviour) {
        return switch (behaviour) {
            case PART, SLOW -> partialSince;
            case SILENT -> openedAt;
            default -> lastActiveAt;
        };
    }

    /**
     * Closes the link to free its slot, unless a command has just arrived. A client in the middle of a command gets an
     * error first. Returns whether the slot is given up.
     */
    boolean giveUpSlot(Behaviour behaviour) {
        if (isClosed()) {
            return false;
        }
        if (behaviour != Behaviour.PART && behaviour != Behaviour.SLOW) {
            if (isIdle()) {
                return closeIfIdle(CloseReason.SLOT_GIVEN_UP);
            }
            // The client does not read its answers.
            abort(CloseReason.SLOT_GIVEN_UP);
        } else if (closingReason == null) {
            owner.onMalformed();
            closingReason = CloseReason.SLOT_GIVEN_UP;
            replyLine(COMMAND_TIMED_OUT);
        }
        return true;
    }

    /** Ends the lingering close immediately. */
    void endLingering() {
        abort(CloseReason.SLOT_GIVEN_UP);
    }

    /** Continues reading if it had stopped for want of memory. */
    void resume() {
        readOn();
    }

    /** Commands are processed after all links have been read, so that answers of cache servers are processed first. */
    @Override
    protected void onBytes() {
        double now = owner.now();
        lastBytesAt = now;
        socketEmptyAt = Double.NEGATIVE_INFINITY;
        double arrival = inputAge.ofRead(owner.earliestArrival(now), !hadCommand, socketMayHoldMore());
        inputAge.onKept(unread(), flows == 0 ? arrival : Double.NaN);
        connectedAt = Math.max(connectedAt, arrival);
        updateMemory();
        noteUnread(now);
        if (!isQueued) {
            isQueued = true;
            owner.onBytes(this);
        }
    }

    /** Notes if bytes may stay in the socket from now on; commands behind a streamed value are not reckoned with. */
    private void noteUnread(double now) {
        if (flows == 0 && !wantsInput()) {
            inputAge.onReadingStopped(now);
        }
    }

    /** Processes the bytes that have arrived; called by the listener. */
    void processQueued() {
        isQueued = false;
        digest();
        updateMemory();
        noteUnread(owner.now());
        readOn();
    }

    private void handle(Command command) {
        owner.onCommand(command.kind());
        switch (command.kind()) {
            case GET, SET -> {
                String rejection = owner.host().rejection(command);
                if (rejection != null) {
                    replyLine("CLIENT_ERROR " + rejection);
                } else if (rejecting || owner.rejectsRequests()) {
                    owner.onRejected(command);
                    replyLine(REJECTED_ENDING);
                } else if (owner.isMemoryExhausted()) {
                    owner.onRejected(command);
                    replyLine(REJECTED_MEMORY);
                } else {
                    submit(command);
                }
            }
            case ALIVE -> replyLine(owner.aliveAnswer());
            case STATS -> replyLine(owner.statsAnswer());
            case QUIT -> closeWhenAnswered(CloseReason.DONE);
            case BAD -> replyLine("CLIENT_ERROR " + command.words().get(0));
            case UNKNOWN -> replyLine("ERROR");
        }
    }

    private void submit(Command command) {
        owner.invariants().check(Invariant.SERVED_ONLY_AFTER_START, owner.hasStarted(), () -> "id=" + command.id());
        lastRequestAt = owner.now();
        PendingAnswer entry = new PendingAnswer(this);
        pending.add(entry);
        reserve(entry, command);
        requestCount++;
        // The module may answer synchronously, before take returns.
        Exchange exchange = owner.host().take(entry, command, inputAge.arrivedAt(owner.now()));
        if (entry.answer == null) {
            entry.exchange = exchange;
        }
    }

    private void reserve(PendingAnswer entry, Command command) {
        entry.requestBytes = REQUEST_BYTES + command.value().length;
        entry.isRead = !command.isWrite();
        requestBytes += entry.requestBytes;
        openReads += entry.isRead ? 1 : 0;
        updateMemory();
    }

    /** Frees what was reserved for a request, whose answer is known now. */
    private void free(PendingAnswer entry) {
        requestBytes -= entry.requestBytes;
        openReads -= entry.isRead ? 1 : 0;
        entry.requestBytes = 0;
        entry.isRead = false;
    }

    /**
     * Whether the client is known to be connected, judged by all input up to this moment. A connection whose client has shut
     * down its sending side counts as closed, because a client's close looks the same from here. The socket is read
     * first: if the client closed while its request lay unread, the end of the stream follows the request directly, and
     * an attempt would otherwise start before it is read. Input that the link does not read may have the end of the
     * stream behind it, so that the client counts as connected only for a short time after the last look.
     */
    boolean checkConnected() {
        double now = owner.now();
        while (now - socketEmptyAt > CONNECTED_CHECK_VALID && !isClosed()) {
            socketEmptyAt = now;
            boolean hasRead = readNow();
            if (hasRead && socketEmptyAt == now) {
                inputAge.onSocketEmpty();
                connectedAt = now;
            }
        }
        return !isClosed() && socketEmptyAt - connectedAt <= CONNECTED_ASSUMED_MAX;
    }

    void onReply(PendingAnswer entry, Exchange exchange, Reply reply) {
        entry.exchange = null;
        if (entry.isRead && reply.kind() == Reply.Kind.SERVED) {
            owner.onValue(reply.body().length);
        }
        free(entry);
        if (reply.flow() != null) {
            flows++;
            if (entry != pending.peekLast()) {
                collect(entry, exchange, reply.flow());
                return;
            }
            reply.flow().onChange(() -> onFlowChanged(entry));
        }
        setAnswer(entry, isDropped(reply) ? ReplyEncoder.line(ReplyEncoder.FAILED) : encode(exchange, reply));
    }

    /**
     * Collects a large value before its answer begins, because commands are pending behind it: if the value broke off
     * after its first bytes, the connection would have to be closed, and they would get no answer.
     */
    private void collect(PendingAnswer entry, Exchange exchange, ValueFlow flow) {
        WholeValue value = new WholeValue(
                flow, owner.wholeValueMemory(), owner::execute, () -> onCollected(entry, exchange.command()));
        entry.wholeValue = value;
        owner.executeAt(exchange.deadlineAt(), () -> runGuarded(value::giveUp));
        value.start();
        updateMemory();
    }

    private void onCollected(PendingAnswer entry, Command command) {
        if (isClosed()) {
            return;
        }
        flows--;
        WholeValue value = entry.wholeValue;
        setAnswer(
                entry,
                value.isWhole() ? ReplyEncoder.value(command, value.bytes()) : ReplyEncoder.line(ReplyEncoder.FAILED));
        if (!isClosed()) {
            // Commands that arrived behind the value may be taken now.
            digest();
            readOn();
        }
    }

    private static AnswerBytes encode(Exchange exchange, Reply reply) {
        return ReplyEncoder.encode(exchange.command(), reply);
    }

    /** Whether there is no memory for a value. */
    private boolean isDropped(Reply reply) {
        return reply.body().length >= DROPPABLE_VALUE && owner.dropsValue(answerBytes > 0 || !nothingQueued());
    }

    /** Handles new bytes or the end of a streamed value. */
    private void onFlowChanged(PendingAnswer entry) {
        if (isClosed()) {
            return;
        }
        if (!entry.answer.flow().isFailed()) {
            pump();
        } else if (entry.answer.isStarted()) {
            // Only a closed connection tells the client that the value is incomplete.
            valueBroken = true;
            close(CloseReason.VALUE_BROKEN);
        } else {
            flows--;
            answerBytes -= entry.answer.length();
            setAnswer(entry, ReplyEncoder.line(ReplyEncoder.FAILED));
        }
    }

    private void replyLine(String text) {
        PendingAnswer entry = new PendingAnswer(this);
        pending.add(entry);
        setAnswer(entry, ReplyEncoder.line(text));
    }

    private void setAnswer(PendingAnswer entry, AnswerBytes bytes) {
        entry.answer = bytes;
        answerBytes += bytes.length();
        updateMemory();
        pump();
    }

    @Override
    protected void fill() {
        moveAnswers();
        updateMemory();
    }

    private void moveAnswers() {
        for (PendingAnswer first = pending.peek(); first != null && first.answer != null; first = pending.peek()) {
            if (!first.answer.moveTo(sink)) {
                return;
            }
            answerBytes -= first.answer.length();
            flows -= first.answer.flow() == null ? 0 : 1;
            first.releaseValue();
            pending.remove();
        }
    }

    @Override
    protected void onWritten() {
        lastActiveAt = owner.now();
        updateMemory();
        if (closingReason != null) {
            closeWhenAnswered(closingReason);
        } else {
            // There is room for more commands; those already in the ring buffer come first.
            digest();
            readOn();
            if (rejecting || closesAfterAnswer && owner.closesIdleLinks()) {
                closeIfIdle(CloseReason.DRAINED);
            }
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        owner.onMalformed();
        closingReason = CloseReason.MALFORMED;
        inputClaim.release();
        replyLine("CLIENT_ERROR " + e.getMessage());
    }

    /** Whether the link is new and has not received any byte. */
    boolean isNew(double now) {
        return !hadCommand && unread() == 0 && now - openedAt < FIRST_COMMAND_GRACE;
    }

    /** Closes the link if no command is pending and no bytes have arrived; returns whether it did. */
    boolean closeIfIdleForDrain(double now) {
        return !isNew(now) && closeIfIdle(CloseReason.DRAINED);
    }

    /**
     * Closes right after an answer, unless more bytes have arrived by then. A client that sends its next request
     * immediately after each answer would never have an idle link at any single check.
     *
     * @return whether this call has changed the setting
     */
    boolean closeAfterAnswer(double now) {
        boolean first = !closesAfterAnswer && !isNew(now);
        closesAfterAnswer |= first;
        return first;
    }

    /** Reverts {@link #closeAfterAnswer} and {@link #rejectLaterCommands} when the drain is over. */
    void cancelDrain() {
        closesAfterAnswer = false;
        rejecting = false;
    }

    /**
     * Processes the bytes that have arrived before closing; bytes that arrive later are never read as a command, and
     * the client sees the end of the connection.
     */
    private boolean closeIfIdle(CloseReason reason) {
        if (isClosed() || !isIdle()) {
            return false;
        }
        readNow();
        if (!isIdle() || isClosed()) {
            return false;
        }
        close(reason);
        return true;
    }

    private boolean isIdle() {
        return nothingOwed() && unread() == 0 && !isQueued;
    }

    /**
     * Takes the commands that have arrived up to this moment and rejects later ones; the link closes as soon as no
     * command is pending. Requests that arrive while earlier ones are pending would otherwise lie unread when the link
     * closes.
     */
    void rejectLaterCommands() {
        if (!rejecting) {
            readNow();
            if (isQueued) {
                processQueued();
            }
            rejecting = true;
        }
        if (!closeIfIdle(CloseReason.DRAINED) && !isClosed() && behaviour() == Behaviour.PART) {
            giveUpSlot(Behaviour.PART);
        }
    }

    /**
     * Rejects what has arrived, and closes the link as soon as no answer is owed on it. Otherwise a client that sends
     * continuously would keep its link from ever being idle.
     */
    void closeUnlessOwed() {
        rejectLaterCommands();
        if (isQueued) {
            processQueued();
        }
        if (isClosed() || closingReason != null || isAnswerOwed()) {
            return;
        }
        if (unread() > 0) {
            closingReason = CloseReason.DRAIN_TIME_OVER;
            replyLine(COMMAND_TIMED_OUT);
        } else {
            closeWhenAnswered(CloseReason.DRAIN_TIME_OVER);
        }
    }

    /**
     * Whether it is held longer than a drain allows at its deadline: either no answer is owed on it, even if the client
     * is in the middle of a command, or the pending request was taken recently.
     */
    boolean isHeldPast(double idleCloseDeadline) {
        if (isClosed() || openedAt >= idleCloseDeadline - FIRST_COMMAND_GRACE) {
            return false;
        }
        return isAnswerOwed() ? lastRequestAt > idleCloseDeadline - RECENT_REQUEST : nothingOwed();
    }

    /** Whether an answer is still pending or being streamed. */
    private boolean isAnswerOwed() {
        return flows > 0 || pending.stream().anyMatch(entry -> entry.answer == null);
    }

    /** Takes no more commands, and closes as soon as every command taken has been answered. */
    private void closeWhenAnswered(CloseReason reason) {
        closingReason = reason;
        if (nothingOwed()) {
            close(reason);
        }
    }

    /**
     * Lingers only if all answers have been handed to the socket, so that the last one arrives completely, or if a value
     * has broken off, so that the answers before it arrive. Otherwise does not wait for a client that leaves its answers
     * unread.
     */
    @Override
    protected boolean lingers() {
        return nothingQueued() || valueBroken;
    }

    @Override
    protected void onClosed() {
        owner.invariants()
                .check(
                        Invariant.CLOSED_ONLY_WHEN_ANSWERED,
                        !closeReason().isOwnChoice() || pending.stream().allMatch(entry -> entry.exchange == null),
                        () -> "closed for " + closeReason());
        for (PendingAnswer entry : pending) {
            if (entry.exchange != null) {
                owner.host().clientGone(entry.exchange);
            } else if (entry.answer != null && entry.answer.flow() != null) {
                entry.answer.flow().abandon();
            }
            entry.releaseValue();
        }
        pending.clear();
        inputClaim.release();
        answerBytes = 0;
        requestBytes = 0;
        openReads = 0;
        flows = 0;
        updateMemory();
        owner.onClosed(this);
    }

    @Override
    protected void onGivenBack() {
        updateMemory();
        owner.onChannelClosed(this);
    }
}
