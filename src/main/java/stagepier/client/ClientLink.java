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

    /** The place of one answer in the order. */
    private static final class Slot {
        private Exchange exchange;
        private byte[] answer;
    }

    private final ClientListener owner;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private boolean leaving;

    ClientLink(ClientListener owner, Channel channel) {
        this.owner = owner;
        attach(channel);
    }

    @Override
    protected void onUp() {
        owner.opened(this);
    }

    @Override
    protected boolean wantsInput() {
        return slots.size() < PIPELINED_MOST && !leaving;
    }

    @Override
    protected void onInput(RingBuffer bytes) throws MalformedException {
        while (wantsInput() && !isClosed()) {
            Command command = CommandParser.next(bytes);
            if (command == null) {
                return;
            }
            take(command);
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
        slot.answer = words(exchange.command(), reply);
        pump();
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
        slot.answer = Protocol.line(line);
        slots.add(slot);
        pump();
    }

    @Override
    protected void fill() {
        for (Slot first = slots.peek(); first != null && first.answer != null && fits(first.answer.length);
                first = slots.peek()) {
            queue(first.answer);
            slots.remove();
        }
    }

    @Override
    protected void onWritten() {
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
