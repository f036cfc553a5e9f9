package stagepier.fleet;

import com.google.gson.Gson;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import stagepier.tasks.Mailbox;

/**
 * Calls between processes of a {@link VirtualWorld}: late, lost, cut one way or both, at random from the world's seed. Each message
 * goes through its written form. Like a stream, what one says to another arrives in order.
 */
public final class SimulatedNetwork {
    private static final Gson GSON = new Gson();

    private final VirtualWorld world;
    private final Map<String, Door> doors = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Double> lastArrival = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private double leastDelay = 0.001;
    private double mostDelay = 0.014;
    private double loss;

    public SimulatedNetwork(VirtualWorld world) {
        this.world = world;
    }

    /** From here on messages take between these; in seconds. */
    public void delay(double least, double most) {
        leastDelay = least;
        mostDelay = most;
    }

    /** The part of messages, calls and replies alike, that is lost; whoever called waits in vain. */
    public void loss(double part) {
        loss = part;
    }

    /** From here on {@code to} hears nothing of {@code from}: neither its calls nor its replies. */
    public void cut(String from, String to, boolean cut) {
        if (cut) {
            cuts.add(from + ">" + to);
        } else {
            cuts.remove(from + ">" + to);
        }
    }

    /** Cuts or joins all between two sides, both ways. */
    public void partition(Iterable<String> a, Iterable<String> b, boolean cut) {
        for (String x : a) {
            for (String y : b) {
                cut(x, y, cut);
                cut(y, x, cut);
            }
        }
    }

    public void heal() {
        cuts.clear();
        loss = 0;
    }

    /** Messages that a process was sent, by its name: what the traffic costs. */
    public long heard(String name) {
        return heard.getOrDefault(name, 0L);
    }

    /** The calls of a process that starts now; whatever was on its way to an earlier one of that name is lost. */
    public FleetRpc calls(VirtualWorld.Node node) {
        return new Door(node);
    }

    private boolean carry(String from, VirtualWorld.Node to, Runnable what) {
        if (cuts.contains(from + ">" + to.name()) || world.random().nextDouble() < loss) {
            return false;
        }
        heard.merge(to.name(), 1L, Long::sum);
        double at = world.seconds() + leastDelay + world.random().nextDouble() * (mostDelay - leastDelay);
        at = Math.max(at, lastArrival.getOrDefault(from + ">" + to.name(), 0.0));
        lastArrival.put(from + ">" + to.name(), at);
        world.reach(Duration.ofNanos((long) ((at - world.seconds()) * 1e9)), to, () -> {
            // A cut that came while it was on its way takes it along.
            if (!cuts.contains(from + ">" + to.name())) {
                what.run();
            }
        });
        return true;
    }

    private static String written(Message message) {
        String text = GSON.toJson(message);
        if (text.getBytes(StandardCharsets.UTF_8).length > FleetRpc.MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("a message of " + text.length() + " characters: " + message.kind());
        }
        return text;
    }

    private final class Door implements FleetRpc {
        private final VirtualWorld.Node node;
        private final Map<String, Handler> answerers = new HashMap<>();

        Door(VirtualWorld.Node node) {
            this.node = node;
        }

        @Override
        public void answer(String part, Handler answerer) {
            answerers.put(part, answerer);
        }

        @Override
        public void start() {
            doors.put(node.name(), this);
        }

        @Override
        public Message call(String member, Message message, Duration most)
                throws NoReplyException, InterruptedException {
            String text = written(message);
            Mailbox<String> reply = node.mailbox(1);
            Door door = doors.get(member);
            if (door != null && !node.isDead()) {
                carry(node.name(), door.node, () -> door.heard(this, text, reply));
            }
            String said = reply.take(most);
            if (said == null) {
                throw new NoReplyException(member + " said nothing to " + message.kind());
            }
            return GSON.fromJson(said, Message.class);
        }

        private void heard(Door caller, String text, Mailbox<String> reply) {
            Message call = GSON.fromJson(text, Message.class);
            Handler answerer = answerers.get(call.part());
            try {
                if (answerer != null) {
                    String said = written(answerer.answer(caller.node.name(), call));
                    carry(node.name(), caller.node, () -> reply.put(said));
                }
            } catch (Message.MalformedException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                // It is being stopped: nothing is answered.
                return;
            }
        }
    }
}
