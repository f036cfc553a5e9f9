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
 * Calls over TCP: a link each way between two routers, on which the one that opened it calls. One task listens, one answers on each
 * link that was accepted, one keeps up the link to each member; and one waits for the stop, to close what the others wait on.
 */
public final class TcpFleetRpc implements FleetRpc {
    private static final Logger LOG = LoggerFactory.getLogger(TcpFleetRpc.class);
    private static final int HELLO_MS = 2_000;
    /** A link on which nobody calls any more: the view calls all the time. */
    private static final int IDLE_MS = 60_000;

    private static final Duration BIND_AGAIN = Duration.ofMillis(200);
    private static final Duration ACCEPT_AGAIN = Duration.ofMillis(5);
    /** Those that have not named themselves yet. */
    private static final int MOST_NAMELESS = 32;
    /** Of one name: a process that goes and the one that comes after it. */
    private static final int MOST_OF_A_NAME = 2;

    private final Tasks tasks;
    private final FleetConfig config;
    private final OpenSockets sockets = new OpenSockets();
    private final Map<String, PeerLink> links = new TreeMap<>();
    private final Map<String, Handler> answerers = new HashMap<>();
    private final AtomicInteger nameless = new AtomicInteger();
    /** Accepted links by who called up, oldest first. Each queue is guarded by itself. */
    private final Map<String, ArrayDeque<Socket>> accepted = new ConcurrentHashMap<>();

    private final Map<String, String> otherFleets = new ConcurrentHashMap<>();

    /** @param seed for the waits before a link is opened again */
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
    public void answer(String part, Handler answerer) {
        answerers.put(part, answerer);
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
    public Message call(String member, Message message, Duration most) throws NoReplyException, InterruptedException {
        PeerLink link = links.get(member);
        if (link == null) {
            throw new IllegalArgumentException(member + " is no other member");
        }
        return link.call(member, message, most);
    }

    /** One line for {@code STATUS}. */
    public String status() {
        return "fleet_links open="
                + links.values().stream().filter(PeerLink::isOpen).count() + " of=" + links.size() + " strangers="
                + sockets.strangers() + " garbage=" + sockets.garbage();
    }

    long strangers() {
        return sockets.strangers();
    }

    long garbage() {
        return sockets.garbage();
    }

    int openSockets() {
        return sockets.size();
    }

    /** Tries again where the address is taken: the process that this one comes after may still hold it. */
    private void listen() throws InterruptedException {
        boolean told = false;
        while (!sockets.isClosed()) {
            try (ServerSocket server = new ServerSocket()) {
                sockets.add(server);
                server.setReuseAddress(true);
                server.bind(config.listen(), 64);
                LOG.info("listening for the fleet on {}", text(config.listen()));
                accept(server);
            } catch (IOException e) {
                if (!told && !sockets.isClosed()) {
                    LOG.warn("cannot listen for the fleet on {} yet: {}", text(config.listen()), e.getMessage());
                    told = true;
                }
            }
            tasks.sleep(BIND_AGAIN);
        }
    }

    /** The next connection. Guards against a listening socket, and all who wait in its backlog, given up because one accept failed. */
    private Socket next(ServerSocket server) throws IOException, InterruptedException {
        for (; ; ) {
            try {
                return server.accept();
            } catch (IOException e) {
                if (server.isClosed()) {
                    throw e;
                }
                LOG.debug("a call was not accepted: {}", e.getMessage());
                tasks.sleep(ACCEPT_AGAIN);
            }
        }
    }

    private void accept(ServerSocket server) throws IOException, InterruptedException {
        for (; ; ) {
            Socket socket = next(server);
            sockets.add(socket);
            if (nameless.incrementAndGet() > MOST_NAMELESS) {
                nameless.decrementAndGet();
                sockets.close(socket);
                sockets.stranger("too many that did not name themselves");
                continue;
            }
            tasks.start("fleet-from-" + socket.getPort(), () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws InterruptedException {
        String from = null;
        try {
            FrameCodec lines = new FrameCodec(socket.getInputStream());
            try {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(HELLO_MS);
                from = welcome(lines.next(FrameCodec.Hello.class));
            } finally {
                nameless.decrementAndGet();
            }
            if (from != null) {
                keep(from, socket);
                socket.setSoTimeout(IDLE_MS);
                answerAll(from, lines, socket.getOutputStream());
            }
        } catch (Message.MalformedException e) {
            sockets.garbage(e.getMessage() + " from "
                    + (from == null ? text((InetSocketAddress) socket.getRemoteSocketAddress()) : from));
        } catch (IOException e) {
            LOG.debug("the link from {} ended: {}", from, e.getMessage());
        } finally {
            if (from != null) {
                ArrayDeque<Socket> all = accepted.get(from);
                synchronized (all) {
                    all.remove(socket);
                }
            }
            sockets.close(socket);
        }
    }

    /** @return who it is, or null for a stranger */
    private String welcome(FrameCodec.Hello hello) {
        if (hello.name() == null || !links.containsKey(hello.name())) {
            sockets.stranger("it is no other member");
            return null;
        }
        if (!config.self().equals(hello.target())) {
            sockets.stranger(hello.name() + " takes this router for another one");
            return null;
        }
        if (!config.hash().equals(hello.configuration())
                && !String.valueOf(hello.configuration())
                        .equals(otherFleets.put(hello.name(), String.valueOf(hello.configuration())))) {
            LOG.warn("{} has another fleet.toml than this router", hello.name());
        }
        return hello.name();
    }

    private void keep(String from, Socket socket) {
        ArrayDeque<Socket> all = accepted.get(from);
        synchronized (all) {
            all.add(socket);
            if (all.size() > MOST_OF_A_NAME) {
                sockets.close(all.poll());
            }
        }
    }

    private void answerAll(String from, FrameCodec lines, OutputStream out)
            throws IOException, Message.MalformedException, InterruptedException {
        for (; ; ) {
            FrameCodec.Frame call = lines.next(FrameCodec.Frame.class);
            if (call.kind() == null) {
                throw new Message.MalformedException("a call of no kind");
            }
            Message message = new Message(call.kind(), call.body());
            Handler answerer = answerers.get(message.part());
            Message reply = answerer == null ? new Message(null, null) : answerer.answer(from, message);
            FrameCodec.write(out, new FrameCodec.Frame(call.id(), reply.kind(), reply.body()));
        }
    }

    private static String text(InetSocketAddress address) {
        return address == null ? "nobody" : address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
