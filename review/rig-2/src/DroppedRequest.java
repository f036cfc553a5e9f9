import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The origin stops twice: writes that the cache servers carried out end as failed meanwhile, and some reads find a full
 * queue. Some reads have very little time left when they come, and the servers drop these without a word; without the
 * trouble they turn them away as over. A write may run once.
 */
final class DroppedRequest {
    /** One link a server: a busy day's fleet on the descriptors of a small router. */
    private static final int SERVERS = 40;
    private static final int SOCKETS = 256;

    private static final int CLIENTS = 24;
    private static final String FIRST_RARE_KEY = "0000000000001000";
    private static final double RUN_FOR = 36;
    /** The origin stops twice, for this long. */
    private static final double ORIGIN_STOP = 8;

    private static final double[] ORIGIN_STOPS_AT = {4, 24};
    private static final double WRITE_TIME = 0.11;
    private static final double READ_TIME = 0.05;
    private static final double FULL_QUEUE_SHARE = 0.4;
    /** A request that cannot be answered in the time that it came with is not begun. */
    private static final double LITTLE_TIME = 0.05;

    private final Rig rig;
    private final Random random = new Random(6);
    private final AtomicInteger ids = new AtomicInteger(0x2000);
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final AtomicInteger dropped = new AtomicInteger();
    private final AtomicInteger writes = new AtomicInteger();
    private volatile boolean warm;
    private volatile boolean originDown;

    private DroppedRequest(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new DroppedRequest(rig).run());
    }

    private int run() throws Exception {
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"cairo-nasr", "giza-west", "alex-east", "assiut"},
                new String[] {"std-3"},
                SOCKETS,
                Settings.cairo("at_most_once"),
                i -> this::onRequest);
        deployment.router.start();
        try (Client link = new Client("warm-up", deployment.router.port)) {
            for (int i = 0; i < 300; i++) {
                link.send(Client.read("%016x".formatted(0x100 + i), nextId(), "squad-view", 1500));
                link.readAnswer(2);
            }
        }
        warm = true;
        CountDownLatch done = new CountDownLatch(CLIENTS);
        double until = rig.now() + RUN_FOR;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(
                    () -> {
                        try {
                            if (number % 4 == 0) {
                                ask(deployment.router.port, number, until);
                            } else {
                                readOthers(deployment.router.port, number, until);
                            }
                        } catch (Exception e) {
                            rig.log("client " + number + ": " + e);
                        } finally {
                            done.countDown();
                        }
                    },
                    "client");
        }
        double from = until - RUN_FOR;
        for (double at : ORIGIN_STOPS_AT) {
            stopOrigin(from + at, true);
            stopOrigin(from + at + ORIGIN_STOP, false);
        }
        done.await();
        deployment.router.logCounters("answers_", "executions_", "server_links", "server_input", "violations");
        long twice = runs.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .peek(e -> rig.log("write " + e.getKey() + " was carried out more than once: " + e.getValue()))
                .count();
        rig.log("writes sent: " + writes + ", carried out: " + runs.size() + ", carried out more than once: " + twice
                + ", reads dropped without a word: " + dropped);
        if (runs.isEmpty()) {
            return Rig.COULD_NOT_RUN;
        }
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void stopOrigin(double at, boolean down) throws InterruptedException {
        Thread.sleep((long) (Math.max(0, at - rig.now()) * 1000));
        originDown = down;
        rig.log(down ? "the origin has stopped" : "the origin goes on");
    }

    private String nextId() {
        return "%016x".formatted(ids.incrementAndGet());
    }

    /** Whether the key is one of those that are kept; reads of the others wait for the origin. */
    private static boolean isUsual(CacheServer.Request request) {
        return request.key().compareTo(FIRST_RARE_KEY) < 0;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request) {
        if (!warm) {
            return CacheServer.after(0.005, CacheServer.served(request));
        }
        String got = "server " + request.server().name + " got " + request.text();
        if (!request.write() && request.waitMs() < LITTLE_TIME * 1000) {
            rig.log(got + (rig.trouble ? ": dropped" : ": over, busy"));
            dropped.incrementAndGet();
            return CompletableFuture.completedFuture(
                    rig.trouble ? connection -> true : CacheServer.line("SERVER_ERROR busy"));
        }
        if (request.write()) {
            boolean fails = originDown;
            rig.log(got + ": carried out, " + (fails ? "failed" : "served"));
            runs.computeIfAbsent(request.id(), id -> java.util.Collections.synchronizedList(new java.util.ArrayList<>()))
                    .add(request.server().name + " at %.3f".formatted(request.arrivedAt()));
            return CacheServer.after(
                    WRITE_TIME, fails ? CacheServer.line("SERVER_ERROR failed") : CacheServer.served(request));
        }
        if (originDown && draw() < FULL_QUEUE_SHARE && !isUsual(request)) {
            rig.log(got + ": queue full, busy");
            return CompletableFuture.completedFuture(CacheServer.line("SERVER_ERROR busy"));
        }
        rig.log(got + ": served");
        return CacheServer.after(READ_TIME, CacheServer.served(request));
    }

    /** Reads of any key, which are served: the usual traffic. */
    private void readOthers(int port, int number, double until) throws Exception {
        try (Client link = new Client("reader " + number, port)) {
            while (rig.now() < until) {
                String id = nextId();
                link.send(Client.read("%016x".formatted(0x100 + (int) (draw() * 300)), id, "squad-view", 1500));
                rig.log("reader " + number + " answer to " + id + ": " + link.readAnswer(4));
                Thread.sleep((long) (20 + draw() * 160));
            }
        }
    }

    /** One manager's requests: a read with little time left, a transfer, and a read some time later. */
    private void ask(int port, int number, double until) throws Exception {
        try (Client impatient = new Client("app " + number, port);
                Client link = new Client("client " + number, port)) {
            while (rig.now() < until) {
                String key = "%016x".formatted(0x1000 + (int) (draw() * 100_000));
                exchange(impatient, Client.read(key, nextId(), "squad-view", 25 + (int) (draw() * 30)), false);
                exchange(link, Client.write(key, nextId(), "transfer", 2500), false);
                writes.incrementAndGet();
                Thread.sleep(200 + (long) (draw() * 50));
                Client other = new Client("other " + number, port);
                exchange(other, Client.read(key, nextId(), "squad-view", 1500), true);
                other.close();
                rig.log(impatient.name() + " answer: " + impatient.readAnswer(4));
                rig.log(link.name() + " answer: " + link.readAnswer(4));
                Thread.sleep((long) (300 + draw() * 600));
            }
        }
    }

    private void exchange(Client link, String command, boolean awaitsAnswer) throws Exception {
        rig.log(link.name() + " sends " + command.replace("\r\n", " "));
        link.send(command);
        if (awaitsAnswer) {
            rig.log(link.name() + " answer: " + link.readAnswer(4));
        }
    }
}
