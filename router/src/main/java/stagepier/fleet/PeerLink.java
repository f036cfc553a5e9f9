package stagepier.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import stagepier.tasks.Mailbox;
import stagepier.tasks.Tasks;

/**
 * The link on which this router calls one member. A dedicated task opens the link, reads the replies, and reopens it
 * with exponential back-off; callers write on their own tasks.
 */
final class PeerLink {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MIN_BACKOFF_MS = 25;
    private static final int MAX_BACKOFF_MS = 1_000;
    /**
     * Maximum bytes of calls without a reply. The send buffer of the socket holds them all, so that no write blocks
     * when the member has stopped reading.
     */
    private static final int MAX_UNANSWERED_BYTES = 4 * FleetRpc.MAX_MESSAGE_BYTES;

    /** Age of the oldest unanswered call from which the link is closed and reopened. */
    private static final long STALE_NS = 3_000_000_000L;

    private static final Duration OPEN_POLL_INTERVAL = Duration.ofMillis(10);
    private static final FrameCodec.Frame BROKEN = new FrameCodec.Frame(-1, null, null);

    private record Sent(long id, int bytes, long at) {}

    private final Tasks tasks;
    private final OpenSockets sockets;
    private final InetSocketAddress address;
    private final byte[] hello;
    private final Random random;
    private volatile Connection connection;
    /** The last connection attempt was refused, so that calls fail at once instead of waiting for the link. */
    private volatile boolean refused;

    PeerLink(Tasks tasks, OpenSockets sockets, InetSocketAddress address, FrameCodec.Hello hello, long seed) {
        this.tasks = tasks;
        this.sockets = sockets;
        this.address = address;
        this.hello = FrameCodec.encode(hello);
        random = new Random(seed);
    }

    boolean isOpen() {
        return connection != null;
    }

    /** Keeps the link open until the tasks are stopped. */
    void keepOpen() throws InterruptedException {
        int backoff = MIN_BACKOFF_MS;
        for (; ; ) {
            boolean hadReply = openOnce();
            backoff = hadReply ? MIN_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * backoff);
            // Jitter, so that routers that lost the same member do not reconnect at the same time.
            tasks.sleep(Duration.ofMillis(backoff / 2 + random.nextInt(backoff / 2 + 1)));
        }
    }

    /** Opens the link and reads replies until it breaks; returns whether any reply arrived. */
    private boolean openOnce() {
        Connection current = null;
        Socket socket = new Socket();
        try {
            sockets.add(socket);
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(MAX_UNANSWERED_BYTES);
            socket.connect(address, CONNECT_TIMEOUT_MS);
            refused = false;
            OutputStream out = socket.getOutputStream();
            out.write(hello);
            current = new Connection(socket, out);
            connection = current;
            return current.readReplies(new FrameCodec(socket.getInputStream()));
        } catch (ConnectException e) {
            refused = true;
            return false;
        } catch (IOException e) {
            return current != null && current.replied;
        } finally {
            connection = null;
            sockets.close(socket);
            if (current != null) {
                current.failPending();
            }
        }
    }

    Message call(String member, Message message, Duration timeout)
            throws FleetRpc.NoReplyException, InterruptedException {
        long deadline = tasks.nanoTime() + timeout.toNanos();
        Connection current = connection;
        while (current == null) {
            long left = deadline - tasks.nanoTime();
            if (refused || left <= 0) {
                throw new FleetRpc.NoReplyException("no open link to " + member);
            }
            tasks.sleep(OPEN_POLL_INTERVAL.toNanos() < left ? OPEN_POLL_INTERVAL : Duration.ofNanos(left));
            current = connection;
        }
        Mailbox<FrameCodec.Frame> reply = tasks.mailbox(1);
        long id = current.send(member, message, reply);
        try {
            FrameCodec.Frame frame = reply.take(Duration.ofNanos(Math.max(0, deadline - tasks.nanoTime())));
            if (frame == null || frame.kind() == null) {
                throw new FleetRpc.NoReplyException(
                        member + (frame == null ? " did not answer " : " has no handler for ") + message.kind());
            }
            return new Message(frame.kind(), frame.body());
        } finally {
            current.pending.remove(id);
        }
    }

    /** One connection of the link, from its opening until it breaks. */
    private final class Connection {
        private final Socket socket;
        private final OutputStream out;
        private final Map<Long, Mailbox<FrameCodec.Frame>> pending = new ConcurrentHashMap<>();
        /** Unanswered calls, ordered by number; replies arrive in the same order. Guarded by itself. */
        private final ArrayDeque<Sent> unanswered = new ArrayDeque<>();

        private int unansweredBytes;
        private long lastId;
        private volatile boolean replied;

        Connection(Socket socket, OutputStream out) {
            this.socket = socket;
            this.out = out;
        }

        long send(String member, Message message, Mailbox<FrameCodec.Frame> reply) throws FleetRpc.NoReplyException {
            synchronized (unanswered) {
                long id = ++lastId;
                byte[] line = FrameCodec.encode(new FrameCodec.Frame(id, message.kind(), message.body()));
                Sent oldest = unanswered.peek();
                if (oldest != null && tasks.nanoTime() - oldest.at() > STALE_NS) {
                    sockets.close(socket);
                    throw new FleetRpc.NoReplyException(
                            member + " has left a call unanswered for more than 3 s; reopening the link");
                }
                if (unansweredBytes + line.length > MAX_UNANSWERED_BYTES) {
                    throw new FleetRpc.NoReplyException(
                            "too many bytes of unanswered calls to " + member + "; call not sent");
                }
                pending.put(id, reply);
                unanswered.add(new Sent(id, line.length, tasks.nanoTime()));
                unansweredBytes += line.length;
                try {
                    out.write(line);
                } catch (IOException e) {
                    pending.remove(id);
                    sockets.close(socket);
                    throw new FleetRpc.NoReplyException("the link to " + member + " broke");
                }
                return id;
            }
        }

        boolean readReplies(FrameCodec codec) throws IOException {
            try {
                for (; ; ) {
                    FrameCodec.Frame frame = codec.next(FrameCodec.Frame.class);
                    replied = true;
                    removeAnswered(frame.id());
                    Mailbox<FrameCodec.Frame> reply = pending.remove(frame.id());
                    if (reply != null) {
                        reply.put(frame);
                    }
                }
            } catch (Message.MalformedException e) {
                sockets.recordMalformed(e.getMessage());
                return false;
            }
        }

        private void removeAnswered(long id) {
            synchronized (unanswered) {
                while (!unanswered.isEmpty() && unanswered.peek().id() <= id) {
                    unansweredBytes -= unanswered.poll().bytes();
                }
            }
        }

        /** Fails all pending calls. Runs after the socket has been closed, so that calls added later fail to write. */
        void failPending() {
            pending.values().forEach(reply -> reply.put(BROKEN));
        }
    }
}
