package stagepier.freeze;

import java.time.Duration;
import stagepier.fleet.FleetConfig;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.History;
import stagepier.fleet.Message;
import stagepier.tasks.Tasks;

/**
 * A second sequence of texts that the fleet agrees on with the protocol of the calendar, under a topic of its own: the
 * kinds of calls and the names of history events are rewritten from the calendar's to the topic's. If a majority loses
 * its state at the same time, the agreed text is lost as well, or unknown until it is proposed again; a process keeps
 * the text it has learned.
 */
public final class AgreedSequence {
    /** The text that a newly founded fleet starts with; it stands for no agreed text. */
    private static final String INITIAL_TEXT = "";

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * The last text that this router has learned.
     *
     * @param version grows with each accepted text
     */
    public record Last(long version, String text) {}

    private final Tasks tasks;
    private final Register register;
    private volatile Last last;

    /**
     * @param topic name of the sequence, and the part under which its calls are sent
     * @param seed  for random waits and the incarnation; different from that of the calendar
     */
    public AgreedSequence(String topic, Tasks tasks, FleetRpc calls, FleetConfig config, History history, long seed) {
        this.tasks = tasks;
        History renamedHistory = (event, values) -> history.write(rename(event, RegisterRequest.PART, topic), values);
        Acceptor acceptor = new Acceptor(
                config.self(),
                Incarnations.first(tasks.wall(), seed),
                () -> tasks.wall().millis(),
                renamedHistory);
        register = new Register(
                tasks,
                new RenamingRpc(calls, topic),
                config,
                renamedHistory,
                acceptor,
                new Register.Listener() {
                    @Override
                    public void confirmed(
                            Entry accepted, long startNano, long startWallMs, ClockComparison.Offset offset) {
                        if (accepted.text() != null && !accepted.text().equals(INITIAL_TEXT)) {
                            last = new Last(accepted.version().packed(), accepted.text());
                        }
                    }

                    @Override
                    public void unconfirmed(String reason) {
                        // An agreed text stays valid without a lease.
                    }
                },
                INITIAL_TEXT,
                seed);
    }

    /** Starts the register. To be called before the RPC layer starts. */
    public void start() {
        register.start();
    }

    /** Returns the last learned text, or null if there is none. */
    public Last last() {
        return last;
    }

    /** @return whether the text is known to be accepted within the timeout; if not, it may still be accepted later */
    public boolean propose(String text, Duration timeout) throws InterruptedException {
        register.propose(text);
        for (long deadline = tasks.nanoTime() + timeout.toNanos(); tasks.nanoTime() - deadline < 0; ) {
            tasks.sleep(POLL_INTERVAL);
            Last current = last;
            if (current != null && current.text().equals(text)) {
                return true;
            }
        }
        return false;
    }

    private static String rename(String kind, String from, String to) {
        return kind.startsWith(from + ".") ? to + kind.substring(from.length()) : kind;
    }

    /** Rewrites the kinds of calls between the calendar's and the topic's. */
    private record RenamingRpc(FleetRpc calls, String topic) implements FleetRpc {
        @Override
        public void answer(String part, Handler handler) {
            calls.answer(topic, (from, call) -> out(handler.answer(from, in(call))));
        }

        @Override
        public void start() {
            // The owner of the wrapped RPC layer starts it.
        }

        @Override
        public Message call(String member, Message message, Duration timeout)
                throws NoReplyException, InterruptedException {
            return in(calls.call(member, out(message), timeout));
        }

        private Message out(Message message) {
            return new Message(rename(message.kind(), RegisterRequest.PART, topic), message.body());
        }

        private Message in(Message message) {
            return new Message(rename(message.kind(), topic, RegisterRequest.PART), message.body());
        }
    }
}
