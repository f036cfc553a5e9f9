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
 * The link on which this router calls one member. A task of its own opens it, reads the replies, and opens it again after waits that
 * grow; whoever calls writes on its own task.
 */
final class PeerLink {
    private static final int CONNECT_MS = 500;
    private static final int FIRST_WAIT_MS = 25;
    private static final int MOST_WAIT_MS = 1_000;
    /** Bytes of calls without a reply; the socket's buffer takes them all, so that no write waits for a member that stands still. */
    private static final int ROOM = 4 * FleetRpc.MAX_MESSAGE_BYTES;

    private static final long STALE_NS = 3_000_000_000L;
    private static final Duration LOOK_AGAIN = Duration.ofMillis(10);
    private static final FrameCodec.Frame BROKEN = new FrameCodec.Frame(-1, null, null);

    private record Sent(long id, int bytes, long at) {}

    private final Tasks tasks;
    private final OpenSockets sockets;
    private final InetSocketAddress address;
    private final byte[] hello;
    private final Random random;
    private volatile Open open;
    /** Nobody listens there: a call need not wait for the link. */
    private volatile boolean refused;

    PeerLink(Tasks tasks, OpenSockets sockets, InetSocketAddress address, FrameCodec.Hello hello, long seed) {
        this.tasks = tasks;
        this.sockets = sockets;
        this.address = address;
        this.hello = FrameCodec.written(hello);
        random = new Random(seed);
    }

    boolean isOpen() {
        return open != null;
    }

    /** Until the tasks are stopped. */
    void keepOpen() throws InterruptedException {
        int wait = FIRST_WAIT_MS;
        for (; ; ) {
            boolean wentWell = openOnce();
            wait = wentWell ? FIRST_WAIT_MS : Math.min(MOST_WAIT_MS, 2 * wait);
            // Spread, so that all who lost the same member do not come back in step.
            tasks.sleep(Duration.ofMillis(wait / 2 + random.nextInt(wait / 2 + 1)));
        }
    }

    /** Opens it and reads replies until it breaks; says whether there was one. */
    private boolean openOnce() {
        Open now = null;
        Socket socket = new Socket();
        try {
            sockets.add(socket);
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(ROOM);
            socket.connect(address, CONNECT_MS);
            refused = false;
            OutputStream out = socket.getOutputStream();
            out.write(hello);
            now = new Open(socket, out);
            open = now;
            return now.readReplies(new FrameCodec(socket.getInputStream()));
        } catch (ConnectException e) {
            refused = true;
            return false;
        } catch (IOException e) {
            return now != null && now.heard;
        } finally {
            open = null;
            sockets.close(socket);
            if (now != null) {
                now.breakOff();
            }
        }
    }

    Message call(String member, Message message, Duration most) throws FleetRpc.NoReplyException, InterruptedException {
        long until = tasks.nanoTime() + most.toNanos();
        Open now = open;
        while (now == null) {
            long left = until - tasks.nanoTime();
            if (refused || left <= 0) {
                throw new FleetRpc.NoReplyException(member + " cannot be reached");
            }
            tasks.sleep(LOOK_AGAIN.toNanos() < left ? LOOK_AGAIN : Duration.ofNanos(left));
            now = open;
        }
        Mailbox<FrameCodec.Frame> reply = tasks.mailbox(1);
        long id = now.send(member, message, reply);
        try {
            FrameCodec.Frame said = reply.take(Duration.ofNanos(Math.max(0, until - tasks.nanoTime())));
            if (said == null || said.kind() == null) {
                throw new FleetRpc.NoReplyException(
                        member + (said == null ? " said nothing to " : " has no answer to ") + message.kind());
            }
            return new Message(said.kind(), said.body());
        } finally {
            now.pending.remove(id);
        }
    }

    /** The link from its opening until it breaks. */
    private final class Open {
        private final Socket socket;
        private final OutputStream out;
        private final Map<Long, Mailbox<FrameCodec.Frame>> pending = new ConcurrentHashMap<>();
        /** In the order of their numbers, which is that of their replies. Guarded by itself. */
        private final ArrayDeque<Sent> unanswered = new ArrayDeque<>();

        private int unansweredBytes;
        private long lastId;
        private volatile boolean heard;

        Open(Socket socket, OutputStream out) {
            this.socket = socket;
            this.out = out;
        }

        long send(String member, Message message, Mailbox<FrameCodec.Frame> reply) throws FleetRpc.NoReplyException {
            synchronized (unanswered) {
                long id = ++lastId;
                byte[] line = FrameCodec.written(new FrameCodec.Frame(id, message.kind(), message.body()));
                Sent oldest = unanswered.peek();
                if (oldest != null && tasks.nanoTime() - oldest.at() > STALE_NS) {
                    sockets.close(socket);
                    throw new FleetRpc.NoReplyException(member + " has been silent for long: its link is opened anew");
                }
                if (unansweredBytes + line.length > ROOM) {
                    throw new FleetRpc.NoReplyException(member + " has not answered what was said before");
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

        boolean readReplies(FrameCodec lines) throws IOException {
            try {
                for (; ; ) {
                    FrameCodec.Frame frame = lines.next(FrameCodec.Frame.class);
                    heard = true;
                    answered(frame.id());
                    Mailbox<FrameCodec.Frame> reply = pending.remove(frame.id());
                    if (reply != null) {
                        reply.put(frame);
                    }
                }
            } catch (Message.MalformedException e) {
                sockets.garbage(e.getMessage());
                return false;
            }
        }

        private void answered(long id) {
            synchronized (unanswered) {
                while (!unanswered.isEmpty() && unanswered.peek().id() <= id) {
                    unansweredBytes -= unanswered.poll().bytes();
                }
            }
        }

        /** After the socket was closed: whoever is put in after this cannot write any more. */
        void breakOff() {
            pending.values().forEach(reply -> reply.put(BROKEN));
        }
    }
}
