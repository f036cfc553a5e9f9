package stagepier.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.tasks.Tasks;

/**
 * Implements fleet calls over TCP, with one link in each direction between two routers; the side that opened a link
 * sends calls on it. One task listens, one task serves each accepted link, one task maintains the link to each member,
 * and one task waits for the stop and then closes the sockets on which the others block.
 */
public final class TcpFleetRpc implements FleetRpc {
    private static final Logger LOG = LoggerFactory.getLogger(TcpFleetRpc.class);
    private static final int HELLO_TIMEOUT_MS = 2_000;
    /** Idle time after which an accepted link is closed; the view sends calls continuously on a link in use. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private static final Duration BIND_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration ACCEPT_RETRY_DELAY = Duration.ofMillis(5);
    /** Maximum number of accepted links whose first frame has not arrived yet. */
    private static final int MAX_UNIDENTIFIED = 32;
    /** Maximum number of accepted links per member: two, so that a process and its successor may overlap. */
    private static final int MAX_LINKS_PER_MEMBER = 2;

    private final Tasks tasks;
    private final FleetConfig config;
    private final OpenSockets sockets = new OpenSockets();
    private final Map<String, PeerLink> links = new TreeMap<>();
    private final Map<String, Handler> handlers = new HashMap<>();
    private final AtomicInteger unidentified = new AtomicInteger();
    /** Accepted links by member, oldest first. Each queue is guarded by itself. */
    private final Map<String, ArrayDeque<Socket>> accepted = new ConcurrentHashMap<>();

    /** Last reported configuration hash of each member whose hash differs from this router's. */
    private final Map<String, String> differingConfigurations = new ConcurrentHashMap<>();

    /** @param seed seed of the jitter of the back-off before links are reopened */
    public TcpFleetRpc(Tasks tasks, FleetConfig config, long seed) {
        this.tasks = tasks;
        this.config = config;
        Random random = new Random(seed);
        config.members().forEach((name, address) -> {
            accepted.put(name, new ArrayDeque<>());
            if (!name.equals(config.self())) {
                links.put(
                        name,
                        new PeerLink(
                                tasks,
                                sockets,
                                address,
                                new FrameCodec.Hello(config.self(), name, config.hash()),
                                random.nextLong()));
            }
        });
    }

    @Override
    public void answer(String part, Handler handler) {
        handlers.put(part, handler);
    }

    @Override
    public void start() {
        tasks.start("fleet-closer", () -> {
            try {
                for (; ; ) {
                    tasks.sleep(Duration.ofHours(1));
                }
            } finally {
                sockets.closeAll();
            }
        });
        tasks.start("fleet-listener", this::listen);
        links.forEach((name, link) -> tasks.start("fleet-to-" + name, link::keepOpen));
    }

    @Override
    public Message call(String member, Message message, Duration timeout)
            throws NoReplyException, InterruptedException {
        PeerLink link = links.get(member);
        if (link == null) {
            throw new IllegalArgumentException(member + " is not another member of the fleet");
        }
        return link.call(member, message, timeout);
    }

    /** Returns the line for {@code STATUS}. */
    public String status() {
        return "fleet_links open="
                + links.values().stream().filter(PeerLink::isOpen).count() + " of=" + links.size() + " strangers="
                + sockets.rejected() + " garbage=" + sockets.malformed();
    }

    long rejected() {
        return sockets.rejected();
    }

    long malformed() {
        return sockets.malformed();
    }

    int openSockets() {
        return sockets.size();
    }

    /** Listens for links. Retries while the address is in use, as the previous process may still hold it. */
    private void listen() throws InterruptedException {
        boolean warned = false;
        while (!sockets.isClosed()) {
            try (ServerSocket server = new ServerSocket()) {
                sockets.add(server);
                server.setReuseAddress(true);
                server.bind(config.listen(), 64);
                LOG.info("listening for fleet calls on {}", format(config.listen()));
                accept(server);
            } catch (IOException e) {
                if (!warned && !sockets.isClosed()) {
                    LOG.warn(
                            "cannot listen for fleet calls on {}, retrying: {}",
                            format(config.listen()),
                            e.getMessage());
                    warned = true;
                }
            }
            tasks.sleep(BIND_RETRY_DELAY);
        }
    }

    /**
     * Accepts the next connection. A failed accept is retried, so that it does not close the listening socket and drop
     * all connections in its backlog.
     */
    private Socket acceptNext(ServerSocket server) throws IOException, InterruptedException {
        for (; ; ) {
            try {
                return server.accept();
            } catch (IOException e) {
                if (server.isClosed()) {
                    throw e;
                }
                LOG.debug("could not accept a fleet link, retrying: {}", e.getMessage());
                tasks.sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }

    private void accept(ServerSocket server) throws IOException, InterruptedException {
        for (; ; ) {
            Socket socket = acceptNext(server);
            sockets.add(socket);
            if (unidentified.incrementAndGet() > MAX_UNIDENTIFIED) {
                unidentified.decrementAndGet();
                sockets.close(socket);
                sockets.recordRejected("more than " + MAX_UNIDENTIFIED + " links without a first frame");
                continue;
            }
            tasks.start("fleet-from-" + socket.getPort(), () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws InterruptedException {
        String from = null;
        try {
            FrameCodec codec = new FrameCodec(socket.getInputStream());
            try {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(HELLO_TIMEOUT_MS);
                from = identify(codec.next(FrameCodec.Hello.class));
            } finally {
                unidentified.decrementAndGet();
            }
            if (from != null) {
                register(from, socket);
                socket.setSoTimeout(IDLE_TIMEOUT_MS);
                serveCalls(from, codec, socket.getOutputStream());
            }
        } catch (Message.MalformedException e) {
            sockets.recordMalformed(e.getMessage() + " from "
                    + (from == null ? format((InetSocketAddress) socket.getRemoteSocketAddress()) : from));
        } catch (IOException e) {
            LOG.debug("link from {} closed: {}", from, e.getMessage());
        } finally {
            if (from != null) {
                ArrayDeque<Socket> memberLinks = accepted.get(from);
                synchronized (memberLinks) {
                    memberLinks.remove(socket);
                }
            }
            sockets.close(socket);
        }
    }

    /** @return the name of the calling member, or null if the link is rejected */
    private String identify(FrameCodec.Hello hello) {
        if (hello.name() == null || !links.containsKey(hello.name())) {
            sockets.recordRejected("the sender is not another member of the fleet");
            return null;
        }
        if (!config.self().equals(hello.target())) {
            sockets.recordRejected(hello.name() + " expected a different router at this address");
            return null;
        }
        if (!config.hash().equals(hello.configuration())
                && !String.valueOf(hello.configuration())
                        .equals(differingConfigurations.put(hello.name(), String.valueOf(hello.configuration())))) {
            LOG.warn("member {} uses a different fleet.toml than this router", hello.name());
        }
        return hello.name();
    }

    private void register(String from, Socket socket) {
        ArrayDeque<Socket> memberLinks = accepted.get(from);
        synchronized (memberLinks) {
            memberLinks.add(socket);
            if (memberLinks.size() > MAX_LINKS_PER_MEMBER) {
                sockets.close(memberLinks.poll());
            }
        }
    }

    private void serveCalls(String from, FrameCodec codec, OutputStream out)
            throws IOException, Message.MalformedException, InterruptedException {
        for (; ; ) {
            FrameCodec.Frame call = codec.next(FrameCodec.Frame.class);
            if (call.kind() == null) {
                throw new Message.MalformedException("call without a kind");
            }
            Message message = new Message(call.kind(), call.body());
            Handler handler = handlers.get(message.part());
            Message reply = handler == null ? new Message(null, null) : handler.answer(from, message);
            FrameCodec.write(out, new FrameCodec.Frame(call.id(), reply.kind(), reply.body()));
        }
    }

    private static String format(InetSocketAddress address) {
        return address == null ? "nobody" : address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
