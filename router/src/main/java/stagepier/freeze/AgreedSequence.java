package stagepier.freeze;

import java.time.Duration;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.History;
import stagepier.fleet.Message;
import stagepier.tasks.Tasks;

/**
 * A second sequence of texts that the fleet agrees on, by the same ballots as the calendar, under a name of its own: calls and
 * events of the register are renamed on their way. Where a majority forgets at once, what was agreed is forgotten, too, or unknown
 * until it is proposed again; what this process learnt it keeps.
 */
public final class AgreedSequence {
    /** What the fleet begins with: nothing agreed. */
    private static final String NOTHING = "";

    private static final Duration LOOK = Duration.ofMillis(50);

    /**
     * The last text that this router has learnt.
     *
     * @param version grows with each
     */
    public record Last(long version, String text) {}

    private final Tasks tasks;
    private final Register register;
    private volatile Last last;

    /**
     * @param topic name of the sequence, and the part of the calls that it is
     * @param seed  as that of the calendar, another one
     */
    public AgreedSequence(String topic, Tasks tasks, FleetRpc calls, FleetConfig config, History history, long seed) {
        this.tasks = tasks;
        History renamed = (event, values) -> history.write(rename(event, RegisterRequest.PART, topic), values);
        Acceptor acceptor = new Acceptor(
                config.self(),
                Incarnations.first(tasks.wall(), seed),
                () -> tasks.wall().millis(),
                renamed);
        register = new Register(
                tasks,
                new Renamed(calls, topic),
                config,
                renamed,
                acceptor,
                new Register.Listener() {
                    @Override
                    public void confirmed(Entry accepted, long startNano, long startWallMs, Clocks.Offset offset) {
                        if (accepted.text() != null && !accepted.text().equals(NOTHING)) {
                            last = new Last(accepted.version().packed(), accepted.text());
                        }
                    }

                    @Override
                    public void unconfirmed(String why) {
                        // What was learnt stays: a text is agreed for good.
                    }
                },
                NOTHING,
                seed);
    }

    /** Before the calls start. */
    public void start() {
        register.start();
    }

    /** Null where none is known. */
    public Last last() {
        return last;
    }

    /** @return whether it was accepted within that time, as far as is known; where not, it may still be */
    public boolean propose(String text, Duration most) throws InterruptedException {
        register.propose(text);
        for (long until = tasks.nanoTime() + most.toNanos(); tasks.nanoTime() - until < 0; ) {
            tasks.sleep(LOOK);
            Last now = last;
            if (now != null && now.text().equals(text)) {
                return true;
            }
        }
        return false;
    }

    private static String rename(String kind, String from, String to) {
        return kind.startsWith(from + ".") ? to + kind.substring(from.length()) : kind;
    }

    /** The calendar's calls under another name. */
    private record Renamed(FleetRpc calls, String topic) implements FleetRpc {
        @Override
        public void answer(String part, Handler answerer) {
            calls.answer(topic, (from, call) -> out(answerer.answer(from, in(call))));
        }

        @Override
        public void start() {
            // Whoever owns the calls does.
        }

        @Override
        public Message call(String member, Message message, Duration most)
                throws NoReplyException, InterruptedException {
            return in(calls.call(member, out(message), most));
        }

        private Message out(Message message) {
            return new Message(rename(message.kind(), RegisterRequest.PART, topic), message.body());
        }

        private Message in(Message message) {
            return new Message(rename(message.kind(), topic, RegisterRequest.PART), message.body());
        }
    }
}
