package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send many commands at once, most of them reads of values of nearly 64 KiB, and read the answers slowly but
 * steadily. Usual clients, which send one request at a time and read at once, are served by the same router meanwhile.
 * Without the disruption the same clients send the same commands, and read the answers as fast as they come.
 */
final class SlowReaders {
    private static final int SERVERS = 12;
    private static final int SLOW_CLIENTS = 75;
    private static final int COMMANDS_AT_ONCE = 120;
    /** Every how many commands of a burst one is a write. */
    private static final int WRITE_EACH = 10;

    /** Seconds from one of these clients to the next: 1,200 requests a second for 7.5 s. */
    private static final double CLIENT_EVERY = 0.1;

    private static final int BYTES_PER_SECOND = 300_000;
    private static final int LARGE = 64_000;
    private static final int LARGE_KEYS = 400;
    private static final int USUAL_CLIENTS = 10;
    private static final int USUAL_KEYS = 100;
    private static final double USUAL_EVERY = 0.05;
    /** What every second usual client writes. */
    private static final String VALUE = "v".repeat(60_000);

    private static final int WAIT_MS = 1500;
    /** Seconds after which a request without an answer is lost: its time, half a second, and the slack of all limits. */
    private static final double LOST_AFTER = WAIT_MS / 1e3 + 0.5 + 0.05;

    /** Seconds for which the usual clients go on after the last of the others has come. */
    private static final double SECONDS = 25;

    private static final double ALIVE_WITHIN = 5;

    private final Rig rig;
    private final Set<String> forwarded = ConcurrentHashMap.newKeySet();
    private final List<String> breaks = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger answeredSlow = new AtomicInteger();
    private final AtomicInteger closedSlow = new AtomicInteger();
    private final AtomicInteger answeredUsual = new AtomicInteger();
    private volatile boolean over;

    private SlowReaders(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new SlowReaders(rig).play());
    }

    private static String key(int i) {
        return "%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L);
    }

    /** Large values have ids that begin with 1, small ones others. */
    private void onRequest(CacheServer.Request request) {
        forwarded.add(request.id);
        if (request.isWrite()) {
            rig.after(0.01, request::serve);
            return;
        }
        int size = request.id.startsWith("1") ? LARGE : 100;
        rig.after(0.01, () -> request.answer(out -> {
            byte[] head = ("VA " + size + " O" + request.id + " h1\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[head.length + size + 2];
            System.arraycopy(head, 0, all, 0, head.length);
            all[all.length - 2] = '\r';
            all[all.length - 1] = '\n';
            out.write(all);
        }));
    }

    private void slowClient(int n, int port) {
        int got = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
                String id = "1%07x%08x".formatted(n, i);
                String key = key((n * COMMANDS_AT_ONCE + i) % LARGE_KEYS);
                commands.append(
                        i % WRITE_EACH == WRITE_EACH - 1
                                ? Client.set(key, id, "transfer", WAIT_MS, VALUE)
                                : Client.get(key, id, "squad-view", WAIT_MS));
            }
            socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.ISO_8859_1));
            rig.note("reader " + n, "sent " + COMMANDS_AT_ONCE + " commands at once, ids 1%07x........".formatted(n));
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8192);
            byte[] piece = new byte[8192];
            double begin = Rig.now();
            long bytes = 0;
            while (got < COMMANDS_AT_ONCE) {
                String line = CacheServer.readLine(in);
                if (line == null) {
                    break;
                }
                int left = line.startsWith("VA ") ? LARGE + 2 : 0;
                while (left > 0) {
                    int k = in.read(piece, 0, Math.min(left, piece.length));
                    if (k < 0) {
                        break;
                    }
                    left -= k;
                    bytes += k;
                    if (rig.trouble) {
                        Rig.sleep(begin + (double) bytes / BYTES_PER_SECOND - Rig.now());
                    }
                }
                if (left > 0) {
                    break;
                }
                got++;
                answeredSlow.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            rig.note("reader " + n, e.toString());
        }
        if (got < COMMANDS_AT_ONCE && !over) {
            closedSlow.incrementAndGet();
        }
        rig.note("reader " + n, "got " + got + " answers of " + COMMANDS_AT_ONCE);
    }

    private void usualClient(int n, int port) {
        Random random = new Random(n);
        Client client = null;
        for (int i = 0; !over; i++) {
            String id = "2%07x%08x".formatted(n, i);
            try {
                if (client == null || client.isOver()) {
                    client = new Client(port);
                }
                double at = Rig.now();
                String key = key(LARGE_KEYS + random.nextInt(USUAL_KEYS));
                CompletableFuture<Client.Answer> waiting = client.send(
                        n % 2 == 0
                                ? Client.get(key, id, "squad-view", WAIT_MS)
                                : Client.set(key, id, "transfer", WAIT_MS, VALUE));
                try {
                    Client.Answer answer = waiting.get((long) (LOST_AFTER * 1e3), TimeUnit.MILLISECONDS);
                    rig.note("usual " + n, "id=" + id + " " + (answer.line() == null ? "closed" : answer.line())
                            + " after %.3f s".formatted(answer.at() - at));
                    if (answer.line() != null) {
                        answeredUsual.incrementAndGet();
                    } else if (forwarded.contains(id)) {
                        broken("id=" + id + " was forwarded, and its connection was closed with no answer");
                    }
                } catch (TimeoutException e) {
                    broken("id=" + id + " has no answer %.2f s after it was sent, with %.1f s to wait; forwarded=%s"
                            .formatted(Rig.now() - at, WAIT_MS / 1e3, forwarded.contains(id)));
                    client.close();
                }
                Rig.sleep(USUAL_EVERY);
            } catch (IOException e) {
                rig.note("usual " + n, "no connection: " + e.getMessage());
                client = null;
            } catch (Exception e) {
                rig.note("usual " + n, e.toString());
                return;
            }
        }
    }

    private void broken(String what) {
        rig.note("usual", what);
        breaks.add("a usual client's request is lost: " + what);
    }

    private static Thread background(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private List<String> play() throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= SERVERS; i++) {
            discovery.put(new CacheServer("s-%08x".formatted(i), this::onRequest), "up");
        }
        String settings = Rig.settings(
                Rig.requestClass("squad-view", "idempotent", 0.75, 1.5, 5, 5) + ","
                        + Rig.requestClass("transfer", "deduplicated", 1.2, 2.5, 12, 10),
                "");
        int port = Rig.freePort();
        Rig.Router router = rig.start(
                "n1",
                rig.config("n1", port, discovery.port(), 256, discovery.list(), settings),
                port,
                0,
                Path.of(rig.temp.toString(), "n1"),
                false);
        rig.awaitReady(router);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int n = i;
            background(() -> usualClient(n, port));
        }
        // The router learns which keys are hits, as on any day.
        Client warm = new Client(port);
        for (int i = 0; i < LARGE_KEYS; i++) {
            warm.send(Client.get(key(i), "3%015x".formatted(i), "squad-view", WAIT_MS)).get(5, TimeUnit.SECONDS);
        }
        warm.close();
        rig.noteCounters(router, "heap_used_bytes");
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int n = i;
            background(() -> slowClient(n, port));
            Rig.sleep(CLIENT_EVERY);
        }
        Rig.sleep(SECONDS);
        over = true;
        Rig.sleep(0.5);
        String alive;
        try {
            alive = String.valueOf(
                    new Client(port).send("mn\r\n").get((long) (ALIVE_WITHIN * 1e3), TimeUnit.MILLISECONDS).line());
        } catch (TimeoutException e) {
            alive = "no answer within " + ALIVE_WITHIN + " s";
        } catch (IOException e) {
            alive = "no connection: " + e.getMessage();
        }
        rig.note("platform", "mn: " + alive + "; the process runs: " + router.process().isAlive());
        if (!alive.startsWith("MN")) {
            breaks.add("the router serves nobody any more %.1f s after the last burst; mn: %s".formatted(SECONDS, alive));
        }
        rig.note("sum", "usual answered=" + answeredUsual + "; readers: answers=" + answeredSlow + " of "
                + SLOW_CLIENTS * COMMANDS_AT_ONCE + ", closed by the router before the last answer=" + closedSlow);
        rig.noteCounters(router, "heap_used_bytes", "requests", "requests_unanswered", "client_links",
                "client_links_given_up_unread", "client_links_closed_fault");
        rig.noteLog(router, "OutOfMemoryError", 3);
        rig.noteLog(router, "A task raised", 3);
        if (answeredUsual.get() == 0) {
            throw new Rig.CannotRun("no usual request was answered at all");
        }
        return breaks;
    }
}
