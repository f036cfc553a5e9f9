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
 * Calls between processes of a {@link VirtualWorld}, with random delay and loss from the world's seed and with cuts in
 * one direction or both. Each message is encoded and decoded. As on a stream, messages from one process to another
 * arrive in order.
 */
public final class SimulatedNetwork {
    private static final Gson GSON = new Gson();

    private final VirtualWorld world;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Double> lastArrival = new HashMap<>();
    private final Map<String, Long> delivered = new HashMap<>();
    private double minDelay = 0.001;
    private double maxDelay = 0.014;
    private double loss;

    public SimulatedNetwork(VirtualWorld world) {
        this.world = world;
    }

    /** Sets the range of the delay of later messages, in seconds. */
    public void delay(double min, double max) {
        minDelay = min;
        maxDelay = max;
    }

    /** Sets the fraction of messages, both calls and replies, that is lost. */
    public void loss(double fraction) {
        loss = fraction;
    }

    /** Cuts or restores the direction from one process to another, for calls and replies. */
    public void cut(String from, String to, boolean cut) {
        if (cut) {
            cuts.add(from + ">" + to);
        } else {
            cuts.remove(from + ">" + to);
        }
    }

    /** Cuts or restores all links between two sides in both directions. */
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

    /** Returns the number of messages delivered to a process, by its name. */
    public long delivered(String name) {
        return delivered.getOrDefault(name, 0L);
    }

    /** Returns the calls of a process that starts now; messages in flight to an earlier one of that name are lost. */
    public FleetRpc calls(VirtualWorld.Node node) {
        return new Endpoint(node);
    }

    private boolean deliver(String from, VirtualWorld.Node to, Runnable action) {
        if (cuts.contains(from + ">" + to.name()) || world.random().nextDouble() < loss) {
            return false;
        }
        delivered.merge(to.name(), 1L, Long::sum);
        double arrival = world.seconds() + minDelay + world.random().nextDouble() * (maxDelay - minDelay);
        arrival = Math.max(arrival, lastArrival.getOrDefault(from + ">" + to.name(), 0.0));
        lastArrival.put(from + ">" + to.name(), arrival);
        world.deliver(Duration.ofNanos((long) ((arrival - world.seconds()) * 1e9)), to, () -> {
            // A cut that starts while the message is in flight drops it.
            if (!cuts.contains(from + ">" + to.name())) {
                action.run();
            }
        });
        return true;
    }

    private static String encode(Message message) {
        String text = GSON.toJson(message);
        if (text.getBytes(StandardCharsets.UTF_8).length > FleetRpc.MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("a message of " + text.length() + " characters: " + message.kind());
        }
        return text;
    }

    private final class Endpoint implements FleetRpc {
        private final VirtualWorld.Node node;
        private final Map<String, Handler> handlers = new HashMap<>();

        Endpoint(VirtualWorld.Node node) {
            this.node = node;
        }

        @Override
        public void answer(String part, Handler handler) {
            handlers.put(part, handler);
        }

        @Override
        public void start() {
            endpoints.put(node.name(), this);
        }

        @Override
        public Message call(String member, Message message, Duration timeout)
                throws NoReplyException, InterruptedException {
            String text = encode(message);
            Mailbox<String> reply = node.mailbox(1);
            Endpoint endpoint = endpoints.get(member);
            if (endpoint != null && !node.isDead()) {
                deliver(node.name(), endpoint.node, () -> endpoint.receive(this, text, reply));
            }
            String encodedReply = reply.take(timeout);
            if (encodedReply == null) {
                throw new NoReplyException(member + " did not answer " + message.kind());
            }
            return GSON.fromJson(encodedReply, Message.class);
        }

        private void receive(Endpoint caller, String text, Mailbox<String> reply) {
            Message call = GSON.fromJson(text, Message.class);
            Handler handler = handlers.get(call.part());
            try {
                if (handler != null) {
                    String encodedReply = encode(handler.answer(caller.node.name(), call));
                    deliver(node.name(), caller.node, () -> reply.put(encodedReply));
                }
            } catch (Message.MalformedException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                // The process is being stopped: no reply is sent.
                return;
            }
        }
    }
}
