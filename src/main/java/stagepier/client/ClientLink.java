package stagepier.client;

import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import stagepier.exchange.Exchange;
import stagepier.exchange.Reply;
import stagepier.link.Link;
import stagepier.memcache.Command;
import stagepier.memcache.CommandParser;
import stagepier.memcache.MalformedException;
import stagepier.memcache.Protocol;
import stagepier.memcache.RingBuffer;

/** A client's connection: commands in, answers out in the order of the commands. */
final class ClientLink extends Link {
    /** Commands without a written answer from which no more are read. */
    private static final int PIPELINED_MOST = 128;
    /** Bytes of answers that wait for the client to read from which no more commands are read. */
    private static final int ANSWERS_MOST = 2 * Protocol.LARGEST_VALUE;
    /** Seconds for which a client may leave answers unread. */
    private static final double UNREAD_MOST = 4;

    /** The place of one answer in the order. */
    private static final class Slot {
        private Exchange exchange;
        private byte[] answer;
    }

    private final ClientListener owner;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private final double openedAt;
    /** When the last thing happened that shows a client at work: a command taken or bytes of an answer read. */
    private double activeAt;
    /** When the command that has come in part began; NaN where there is none. */
    private double partSince = Double.NaN;
    private boolean asked;
    private boolean leaving;
    private int answerBytes;

    ClientLink(ClientListener owner, Channel channel) {
        this.owner = owner;
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
        return slots.size() < PIPELINED_MOST && answerBytes < ANSWERS_MOST && !leaving;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        while (wantsInput() && !isClosed()) {
            Command command = CommandParser.next(bytes);
            if (command == null) {
                break;
            }
            asked = true;
            activeAt = owner.now();
            partSince = Double.NaN;
            take(command);
        }
        if (unread() == 0) {
            partSince = Double.NaN;
        } else if (Double.isNaN(partSince)) {
            partSince = owner.now();
        }
    }

    /**
     * Closes what holds a place and does nothing with it. Guards against clients that connect and say nothing, stop in
     * the middle of a command, leave their answers unread, or keep a link for good: descriptors are few.
     *
     * @param patience seconds within which a first command must come, and any command whole once it has begun
     * @param idleMost seconds for which a link may be idle that has asked before
     */
    void check(double now, double patience, double idleMost) {
        if (isClosed()) {
            return;
        }
        if (!slots.isEmpty() || !nothingQueued()) {
            // Only what the client leaves unread: as long as an answer is owed the link stays.
            if (now - activeAt > UNREAD_MOST && slots.stream().allMatch(s -> s.answer != null)) {
                close();
            }
        } else if (!asked && Double.isNaN(partSince) && now - openedAt > patience) {
            close();
        } else if (now - partSince > patience) {
            owner.malformed();
            leaving = true;
            say("CLIENT_ERROR command not finished in time");
        } else if (asked && Double.isNaN(partSince) && now - activeAt > idleMost) {
            close();
        }
    }

    private void take(Command command) {
        switch (command.kind()) {
            case GET, SET -> {
                String objection = owner.host().objection(command);
                if (objection == null) {
                    ask(command);
                } else {
                    say("CLIENT_ERROR " + objection);
                }
            }
            case ALIVE -> say("MN");
            case STATS -> say(owner.stats());
            case QUIT -> leave();
            case BAD -> say("CLIENT_ERROR " + command.words().get(0));
            case UNKNOWN -> say("ERROR");
        }
    }

    private void ask(Command command) {
        Slot slot = new Slot();
        slots.add(slot);
        // The module may answer at once, before take returns.
        Exchange exchange = owner.host().take((x, reply) -> settle(slot, x, reply), command);
        if (slot.answer == null) {
            slot.exchange = exchange;
        }
    }

    private void settle(Slot slot, Exchange exchange, Reply reply) {
        slot.exchange = null;
        answer(slot, words(exchange.command(), reply));
    }

    private static byte[] words(Command command, Reply reply) {
        return switch (reply.kind()) {
            case SERVED -> command.isWrite()
                    ? Protocol.line("HD O" + command.id() + " c" + new String(reply.body(), StandardCharsets.ISO_8859_1))
                    : Protocol.withValue("VA " + reply.body().length + " O" + command.id(), reply.body());
            case THROTTLE -> Protocol.line("SERVER_ERROR busy"
                    + (reply.retryAfterMs() > 0 ? " " + reply.retryAfterMs() : ""));
            case FAILED -> Protocol.line("SERVER_ERROR failed");
        };
    }

    private void say(String line) {
        Slot slot = new Slot();
        slots.add(slot);
        answer(slot, Protocol.line(line));
    }

    private void answer(Slot slot, byte[] bytes) {
        slot.answer = bytes;
        answerBytes += bytes.length;
        pump();
    }

    @Override
    protected void fill() {
        for (Slot first = slots.peek(); first != null && first.answer != null && fits(first.answer.length);
                first = slots.peek()) {
            queue(first.answer);
            answerBytes -= first.answer.length;
            slots.remove();
        }
    }

    @Override
    protected void onWritten() {
        activeAt = owner.now();
        if (leaving) {
            leave();
        } else {
            // Room for more commands: those that wait in the ring first.
            digest();
            readOn();
        }
    }

    @Override
    protected void onMalformed(MalformedException e) {
        owner.malformed();
        leaving = true;
        say("CLIENT_ERROR " + e.getMessage());
    }

    /** Takes no more commands; closes as soon as all that was taken has been answered. */
    void leave() {
        leaving = true;
        if (slots.isEmpty() && nothingQueued()) {
            close();
        }
    }

    @Override
    protected void onClosed() {
        for (Slot slot : slots) {
            if (slot.exchange != null) {
                owner.host().clientGone(slot.exchange);
            }
        }
        slots.clear();
        owner.closed(this);
    }
}
