package rig;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of cache servers to writes get lost. The writes are of a class that may not be repeated once it may have
 * run. Cache servers turn requests away while their queues are full, with the disruption and without it.
 */
final class LostAnswers {
    private static final int SERVERS = 6;
    private static final int QUEUE_MAX = 6;
    private static final double SECONDS = 50;
    private static final double PER_SECOND = 220;
    private static final double WRITES = 0.25;
    private static final double LOST = 0.1;
    private static final long SEED = 1;

    /** One start of a command at a cache server. */
    private record Run(String server, int connection, double at, boolean lost) {}

    private final Rig rig;
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();

    private LostAnswers(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new LostAnswers(rig).play());
    }

    private CacheServer server(int number) throws Exception {
        Random random = new Random(SEED * 1000 + number);
        AtomicInteger inHand = new AtomicInteger();
        return new CacheServer("s-0000000" + number, request -> {
            double work;
            boolean loses;
            synchronized (random) {
                work = 0.06 + 0.14 * random.nextDouble();
                loses = rig.trouble && request.isWrite() && random.nextDouble() < LOST;
            }
            String what = (request.isWrite() ? "write" : "read") + " id=" + request.id + " connection="
                    + request.connectionNumber();
            if (inHand.incrementAndGet() > QUEUE_MAX) {
                inHand.decrementAndGet();
                turnedAway.incrementAndGet();
                rig.note(request.server.id, "turns away " + what);
                request.busy();
                return;
            }
            rig.note(request.server.id, "runs " + what);
            if (request.isWrite()) {
                runs.computeIfAbsent(request.id, id -> Collections.synchronizedList(new ArrayList<>()))
                        .add(new Run(request.server.id, request.connectionNumber(), request.at, loses));
            }
            rig.after(work, () -> {
                inHand.decrementAndGet();
                if (loses) {
                    lost.incrementAndGet();
                    rig.note(request.server.id, "its answer gets lost: " + what);
                    request.lose();
                } else {
                    request.serve();
                }
            });
        });
    }

    private List<String> play() throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= SERVERS; i++) {
            discovery.put(server(i), "up");
        }
        String settings = Rig.settings(
                Rig.requestClass("squad-view", "idempotent", 0.75, 1.5, 5, 5) + ","
                        + Rig.requestClass("transfer", "at_most_once", 1.2, 2.5, 0, 10),
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
        Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
        Random random = new Random(SEED);
        Deque<Client> idle = new ArrayDeque<>();
        AtomicInteger open = new AtomicInteger();
        int sent = 0;
        double begin = Rig.now();
        for (double at = 0; at < SECONDS; at += -Math.log(1 - random.nextDouble()) / PER_SECOND) {
            Rig.sleep(begin + at - Rig.now());
            boolean write = random.nextDouble() < WRITES;
            String id = "%016x".formatted(random.nextLong());
            String key = "%016x".formatted(1 + random.nextInt(2000) * 0x9e3779b97f4a7c15L);
            double deadline = write ? 2.5 : 1.5;
            int d = (int) (1000 * deadline * (0.5 + 0.5 * random.nextDouble()));
            Client client;
            synchronized (idle) {
                client = idle.pollLast();
            }
            if (client == null || client.isOver()) {
                client = new Client(port);
            }
            Client used = client;
            open.incrementAndGet();
            sent++;
            rig.note("client", (write ? "writes" : "reads") + " id=" + id + " d=" + d);
            used.send(write ? Client.set(key, id, "transfer", d, "squad") : Client.get(key, id, "squad-view", d))
                    .thenAccept(answer -> {
                        open.decrementAndGet();
                        rig.note("client", "gets id=" + id + " " + answer.line());
                        if (write) {
                            answers.put(id, answer);
                        }
                        synchronized (idle) {
                            idle.addLast(used);
                        }
                    });
        }
        Rig.sleep(3.5);
        rig.note("sum", "requests=" + sent + " open=" + open + " turned away=" + turnedAway + " answers lost=" + lost);
        rig.noteCounters(router, "requests", "answers_served", "answers_throttle", "answers_failed", "executions_full",
                "executions_error", "executions_timeout", "executions_cancelled", "violations_repeated_only_as_class_allows");
        List<String> breaks = new ArrayList<>();
        runs.forEach((id, all) -> {
            if (all.size() > 1) {
                breaks.add("id=" + id + " may run once and ran " + all.size() + " times: " + all);
            }
            Client.Answer answer = answers.get(id);
            if (all.size() == 1 && answer != null && answer.isRefused()) {
                breaks.add("id=" + id + " has run and was refused as if it had not, " + answer.line() + ": " + all);
            }
        });
        if (rig.trouble && lost.get() == 0 || turnedAway.get() == 0) {
            throw new Rig.CannotRun("no answer got lost, or no request was turned away");
        }
        return breaks;
    }
}
