package stagepier.client;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.function.ToIntFunction;
import stagepier.exchange.Exchange;
import stagepier.exchange.Reply;
import stagepier.exchange.ReplyListener;
import stagepier.invariants.Invariant;
import stagepier.link.CloseReason;
import stagepier.link.Link;
import stagepier.memcache.Command;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;
import stagepier.overload.ConnectionSlots;
import stagepier.overload.ConnectionSlots.Behaviour;

/**
 * A client's connection: commands in, answers out in the order of the commands.
 *
 * <p>The end of the client's stream means that it has gone, as the protocol page says of a client that closes its connection: a
 * FIN does not tell whether only the sending was ended, so what is open for it is given up. The link reads on for that end
 * while it may take no more commands, up to a small bound. When the link itself ends in order it lingers, so that the last
 * answer arrives whole.
 */
final class ClientLink extends Link {
    /** Commands without a written answer from which no more are read. */
    private static final int PIPELINED_MOST = 128;
    /** Bytes of answers that wait for the client to read from which no more commands are read. */
    private static final int ANSWERS_MOST = 2 * Protocol.LARGEST_VALUE;
    /** Who sends a command in pieces sends the next one within so many seconds. */
    private static final double PIECES_WITHIN = 0.8;
    /** A link on which nothing was said yet is not sent away before this, in seconds: its first request is on the way. */
    private static final double FIRST_WORD_MOST = 0.4;
    /** A request that came within so many seconds before the end of a drain's time may not be open at that time. */
    private static final double ASKED_LATELY = 2;
    /** Bytes of a command that a link may always hold; for more there must be memory. */
    private static final int ALWAYS_HELD = 4096;
    /** Who was seen to be there within so many seconds is there. */
    private static final double LOOKED_LATELY = 0.02;

    private static final String NOT_FINISHED = "CLIENT_ERROR command not finished in time";
    /** To whom is turned away because this process ends: another router serves at once, this one never. */
    private static final String TURNED_AWAY = "SERVER_ERROR busy 1";

    private final AnswerBytes.Sink sink = new AnswerBytes.Sink() {
        @Override
        public int put(byte[] bytes, int from) {
            return queue(bytes, from);
        }

        @Override
        public int put(ToIntFunction<RingBuffer> giver) {
            return queue(giver);
        }
    };

    /** The place of one answer in the order. */
    private final class Slot implements ReplyListener {
        private Exchange exchange;
        private AnswerBytes answer;

        @Override
        public void answered(Exchange x, Reply reply) {
            settle(this, x, reply);
        }

        @Override
        public boolean isConnected() {
            return lookIfThere();
        }
    }

    private final ClientListener owner;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private final double openedAt;
    /** When the last thing happened that shows a client at work: a command taken or bytes of an answer read. */
    private double activeAt;
    /** When the command that has come in part began; NaN where there is none. */
    private double partSince = Double.NaN;
    /** When bytes came last. */
    private double bytesAt;
    /** When its socket was read last and nothing was there; before that, or with more behind what was read, never. */
    private double emptyAt = Double.NEGATIVE_INFINITY;

    private boolean asked;
    /** When a request was taken last; before that, never. */
    private double askedAt = Double.NEGATIVE_INFINITY;
    /** Requests that went to the module. */
    private int requests;
    /** When it can have connected at the earliest: it may have waited in the backlog. */
    private final double connectedAt;
    /** When the first bytes came that have not been taken yet, less the time that they lay unread; NaN for none. */
    private double cameAt = Double.NaN;
    /** It has bytes for which the listener will give it its turn. */
    private boolean isWaiting;
    /** Memory of which the listener knows. */
    private int counted;

    /** Why it takes no more commands and closes once all that was taken has been answered; null while it does not. */
    private CloseReason leavesFor;
    /** What comes from now on is turned away. */
    private boolean ending;
    /** Closes as soon as an answer is written and nothing else is open on it. */
    private boolean leavesWhenIdle;

    private int answerBytes;
    /** Slots whose value comes by and by. */
    private int flows;

    ClientLink(ClientListener owner, Channel channel, double connectedAt) {
        this.owner = owner;
        this.connectedAt = connectedAt;
        openedAt = owner.now();
        activeAt = openedAt;
        attach(channel);
    }

    @Override
    protected void onUp() {
        owner.opened(this);
    }

    @Override
    protected boolean wantsInput() {
        return unread() < ALWAYS_HELD || mayTake() && owner.hasMemory();
    }

    /** Behind commands that may not be taken yet no more is read than a link may always hold. */
    @Override
    protected int readMost() {
        return mayTake() ? super.readMost() : ALWAYS_HELD - unread();
    }

    private boolean mayTake() {
        // Behind a value that comes by and by nothing is taken: if it breaks off, the connection has to be closed.
        return flows == 0 && slots.size() < PIPELINED_MOST && answerBytes < ANSWERS_MOST && leavesFor == null;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        while (mayTake() && !isClosed()) {
            Command command = CommandParser.next(bytes);
            if (command == null) {
                break;
            }
            asked = true;
            activeAt = owner.now();
            partSince = Double.NaN;
            take(command);
        }
        if (mayTake()) {
            // What is left is part of a command, whose time begins with its last byte.
            cameAt = Double.NaN;
        }
        if (unread() == 0) {
            partSince = Double.NaN;
        } else if (mayTake() && Double.isNaN(partSince)) {
            partSince = owner.now();
        }
    }

    /** What it does, for {@link ConnectionSlots} to judge. */
    Behaviour behaviour() {
        if (isWaiting) {
            return Behaviour.OWED;
        }
        if (!slots.isEmpty() || !nothingQueued()) {
            return flows > 0 && nothingQueued() || !slots.stream().allMatch(s -> s.answer != null)
                    ? Behaviour.OWED
                    : flows > 0 ? Behaviour.READING : Behaviour.UNREAD;
        }
        if (!Double.isNaN(partSince)) {
            return owner.now() - bytesAt < PIECES_WITHIN ? Behaviour.SLOW : Behaviour.PART;
        }
        return !asked
                ? Behaviour.SILENT
                : requests == 0 ? Behaviour.PROBE : requests == 1 ? Behaviour.ONCE : Behaviour.REGULAR;
    }

    /** Since when it has done so. */
    double since(Behaviour behaviour) {
        return switch (behaviour) {
            case PART, SLOW -> partSince;
            case SILENT -> openedAt;
            default -> activeAt;
        };
    }

    /** Gives up its place, unless it has just asked. Who is in the middle of a command is told so. Returns whether it did. */
    boolean giveUp(Behaviour behaviour) {
        if (isClosed()) {
            return false;
        }
        if (behaviour != Behaviour.PART && behaviour != Behaviour.SLOW) {
            if (isIdle()) {
                return closeIfIdle(CloseReason.SLOT_GIVEN_UP);
            }
            // It does not read what it was given.
            abort(CloseReason.SLOT_GIVEN_UP);
        } else if (leavesFor == null) {
            owner.malformed();
            leavesFor = CloseReason.SLOT_GIVEN_UP;
            say(NOT_FINISHED);
        }
        return true;
    }

    /** Ends its lingering. */
    void cutShort() {
        abort(CloseReason.SLOT_GIVEN_UP);
    }

    /** A fault of this program has shown on it: nothing that is done with it can be relied on. */
    void fail() {
        abort(CloseReason.FAULT);
    }

    /** Reads on if it had stopped for want of memory. */
    void resume() {
        readOn();
    }

    /** Its commands are taken when all links have been read: answers of cache servers go first. */
    @Override
    protected void onBytes() {
        double now = owner.now();
        bytesAt = now;
        emptyAt = Double.NEGATIVE_INFINITY;
        double came = owner.cameAt(now);
        if (Double.isNaN(cameAt) && mayTake()) {
            cameAt = asked ? came : Math.min(came, connectedAt);
        }
        if (!isWaiting) {
            isWaiting = true;
            owner.arrived(this);
        }
    }

    /** Takes what has come. Called by the listener in its turn. */
    void workOff() {
        isWaiting = false;
        digest();
        readOn();
    }

    /** Change of the memory that its ring takes since this was asked last. */
    int grown() {
        int held = isGivenBack() ? 0 : heldBytes();
        int grown = held - counted;
        counted = held;
        return grown;
    }

    private void take(Command command) {
        owner.took(command.kind());
        switch (command.kind()) {
            case GET, SET -> {
                String rejection = owner.host().rejection(command);
                if (rejection != null) {
                    say("CLIENT_ERROR " + rejection);
                } else if (ending || owner.rejectsRequests()) {
                    owner.turnedAway(command);
                    say(TURNED_AWAY);
                } else {
                    ask(command);
                }
            }
            case ALIVE -> say(owner.alive());
            case STATS -> say(owner.stats());
            case QUIT -> leave(CloseReason.DONE);
            case BAD -> say("CLIENT_ERROR " + command.words().get(0));
            case UNKNOWN -> say("ERROR");
        }
    }

    private void ask(Command command) {
        owner.invariants().check(Invariant.SERVED_ONLY_AFTER_START, owner.hasStarted(), () -> "id=" + command.id());
        askedAt = owner.now();
        Slot slot = new Slot();
        slots.add(slot);
        requests++;
        // The module may answer at once, before take returns.
        Exchange exchange = owner.host().take(slot, command, Double.isNaN(cameAt) ? owner.now() : cameAt);
        if (slot.answer == null) {
            slot.exchange = exchange;
        }
    }

    /**
     * Whether the client is there, by what has come by this moment. A connection that it has ended for its own sending counts as
     * ended: that is what a client's close looks like from here. Guards against a request that lay unread while its client went:
     * the end of the stream lies right behind it, and an attempt would begin before that is read.
     */
    private boolean lookIfThere() {
        double now = owner.now();
        while (now - emptyAt > LOOKED_LATELY && !isClosed()) {
            emptyAt = now;
            readNow();
        }
        return !isClosed();
    }

    private void settle(Slot slot, Exchange exchange, Reply reply) {
        slot.exchange = null;
        if (reply.flow() != null) {
            flows++;
            reply.flow().onChange(() -> flowed(slot));
        }
        answer(slot, ReplyEncoder.encode(exchange.command(), reply));
    }

    /** There is more of a value, or it has ended. */
    private void flowed(Slot slot) {
        if (isClosed()) {
            return;
        }
        if (!slot.answer.flow().isFailed()) {
            pump();
        } else if (slot.answer.isBegun()) {
            // Only so can the client see that it is not whole.
            close(CloseReason.VALUE_BROKEN);
        } else {
            flows--;
            answerBytes -= slot.answer.length();
            answer(slot, ReplyEncoder.line(ReplyEncoder.FAILED));
        }
    }

    private void say(String text) {
        Slot slot = new Slot();
        slots.add(slot);
        answer(slot, ReplyEncoder.line(text));
    }

    private void answer(Slot slot, AnswerBytes bytes) {
        slot.answer = bytes;
        answerBytes += bytes.length();
        pump();
    }

    @Override
    protected void fill() {
        for (Slot first = slots.peek(); first != null && first.answer != null; first = slots.peek()) {
            if (!first.answer.moveTo(sink)) {
                return;
            }
            answerBytes -= first.answer.length();
            flows -= first.answer.flow() == null ? 0 : 1;
            slots.remove();
        }
    }

    @Override
    public int heldBytes() {
        return super.heldBytes() + answerBytes;
    }

    @Override
    protected void onWritten() {
        activeAt = owner.now();
        if (leavesFor != null) {
            leave(leavesFor);
        } else {
            // Room for more commands: those that wait in the ring first.
            digest();
            readOn();
            if (ending || leavesWhenIdle && owner.sendsLinksAway()) {
                closeIfIdle(CloseReason.DRAINED);
            }
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        owner.malformed();
        leavesFor = CloseReason.MALFORMED;
        say("CLIENT_ERROR " + e.getMessage());
    }

    /** Whether it is new and has said nothing yet. */
    boolean isFresh(double now) {
        return !asked && unread() == 0 && now - openedAt < FIRST_WORD_MOST;
    }

    /** Closes if nothing is open on it and nothing has come; returns whether it did. */
    boolean leaveIfIdle(double now) {
        return !isFresh(now) && closeIfIdle(CloseReason.DRAINED);
    }

    /**
     * Closes right after an answer, unless more has come by then. Guards against a client that asks again so soon after each answer
     * that a look at one moment or another never finds its link idle.
     *
     * @return whether it is to do so from now on, and was not before
     */
    boolean leaveWhenIdle(double now) {
        boolean first = !leavesWhenIdle && !isFresh(now);
        leavesWhenIdle |= first;
        return first;
    }

    /** The drain is over: goes on as before {@link #leaveWhenIdle} and {@link #finish}. */
    void stay() {
        leavesWhenIdle = false;
        ending = false;
    }

    /** What has come by now is taken first; what comes later is never read as a command, and the client sees the end. */
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
        return slots.isEmpty() && nothingQueued() && unread() == 0 && !isWaiting;
    }

    /**
     * Takes what has come by this moment; what comes after it is turned away, and the link closes as soon as nothing is open
     * on it. Guards against requests that come while earlier ones are open, and would be closed upon unread.
     */
    void finish() {
        if (!ending) {
            readNow();
            if (isWaiting) {
                workOff();
            }
            ending = true;
        }
        if (!closeIfIdle(CloseReason.DRAINED) && !isClosed() && behaviour() == Behaviour.PART) {
            giveUp(Behaviour.PART);
        }
    }

    /**
     * Turns away what is there, and ends the link as soon as nothing is owed on it. Guards against a client that goes on sending, so
     * that its link is never idle.
     */
    void endTaking() {
        finish();
        if (isWaiting) {
            workOff();
        }
        if (isClosed() || leavesFor != null || isOwed()) {
            return;
        }
        if (unread() > 0) {
            leavesFor = CloseReason.DRAIN_TIME_OVER;
            say(NOT_FINISHED);
        } else {
            leave(CloseReason.DRAIN_TIME_OVER);
        }
    }

    /**
     * Whether it is held as no link may be at the end of a drain's time: with nothing owed, though its client may be in the middle of a
     * command, or with a request that was taken lately.
     */
    boolean isHeldPast(double idleCloseDeadline) {
        if (isClosed() || openedAt >= idleCloseDeadline - FIRST_WORD_MOST) {
            return false;
        }
        return isOwed() ? askedAt > idleCloseDeadline - ASKED_LATELY : slots.isEmpty() && nothingQueued();
    }

    /** Whether an answer is still to come, or to be passed on. */
    private boolean isOwed() {
        return flows > 0 || slots.stream().anyMatch(slot -> slot.answer == null);
    }

    /** Takes no more commands; closes as soon as all that was taken has been answered. */
    private void leave(CloseReason reason) {
        leavesFor = reason;
        if (slots.isEmpty() && nothingQueued()) {
            close(reason);
        }
    }

    /** What it does not read is not waited for; what it was given last has to arrive whole. */
    @Override
    protected boolean lingers() {
        return nothingQueued();
    }

    @Override
    protected void onClosed() {
        owner.invariants()
                .check(
                        Invariant.CLOSED_ONLY_WHEN_ANSWERED,
                        !closeReason().isOwnChoice() || slots.stream().allMatch(slot -> slot.exchange == null),
                        () -> "closed for " + closeReason());
        for (Slot slot : slots) {
            if (slot.exchange != null) {
                owner.host().clientGone(slot.exchange);
            } else if (slot.answer != null && slot.answer.flow() != null) {
                slot.answer.flow().abandon();
            }
        }
        slots.clear();
        answerBytes = 0;
        flows = 0;
        owner.closed(this);
    }

    @Override
    protected void onGivenBack() {
        owner.givenBack(this);
    }
}
