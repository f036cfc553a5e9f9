import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many reads at once and close. Two of twelve cache servers hang each time. No attempt for a client may begin
 * more than 0.1 s, and the 50 ms of real sockets, after its close; without the trouble the clients stay for their answers.
 */
final class LeavingClient {
    private static final int SERVERS = 12;
    private static final double RUN_FOR = 44;
    private static final int COMMANDS = 400;
    private static final int BURST = 100;
    private static final double HIT_TIME = 0.03;
    private static final double MISS_TIME = 0.2;
    private static final double MISS_SHARE = 0.15;
    /** 0.1 s of the rule and 50 ms by which every limit is longer on sockets. */
    private static final double LATEST_AFTER_CLOSE = 0.15;

    private final Rig rig;
    private final Random random = new Random(7);
    private final AtomicInteger ids = new AtomicInteger(0x3000);
    private final Map<String, Double> closedAt = new ConcurrentHashMap<>();
    private final Map<String, CacheServer> lastServer = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger attempts = new AtomicInteger();
    private volatile double worst;
    /** The servers that take requests and answer none. */
    private volatile List<CacheServer> hung = List.of();
    /** What they answer once they go on. */
    private final ConcurrentLinkedQueue<Runnable> afterHang = new ConcurrentLinkedQueue<>();

    private LeavingClient(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new LeavingClient(rig).run());
    }

    private int run() throws Exception {
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"cairo-nasr", "giza-west", "alex-east", "assiut"},
                new String[] {"std-3"},
                1024,
                Settings.cairo("deduplicated"),
                i -> this::onRequest);
        deployment.router.start();
        double until = rig.now() + RUN_FOR;
        for (int i = 0; i < 8; i++) {
            int number = i;
            CacheServer.daemon(() -> readUsually(deployment.router.port, number, until), "client");
        }
        Thread.sleep(4000);
        int bursts = 0;
        for (int phase = 0; rig.now() < until - 8; phase++) {
            int first = 2 * phase % SERVERS;
            hung = deployment.servers.subList(first, first + 2);
            rig.log("two of twelve servers hang: " + hung.get(0).name + " " + hung.get(1).name);
            sendAndLeave(deployment.router.port, bursts++, keyOf(hung.get(0)));
            Thread.sleep(5300);
            hung = List.of();
            for (Runnable answer = afterHang.poll(); answer != null; answer = afterHang.poll()) {
                answer.run();
            }
            Thread.sleep(2500);
        }
        Thread.sleep(3000);
        deployment.router.logCounters("answers_", "executions_", "requests", "client_links_closed", "violations");
        rig.log("clients that left: " + bursts + ", attempts for them: " + attempts + ", begun over "
                + LATEST_AFTER_CLOSE + " s after the close: " + late + ", the latest " + worst + " s after it");
        if (bursts == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns a key that this server was asked for last. */
    private String keyOf(CacheServer server) {
        return lastServer.entrySet().stream()
                .filter(e -> e.getValue() == server)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request) {
        Double closed = closedAt.get(request.id());
        if (closed != null || request.id().startsWith("b")) {
            attempts.incrementAndGet();
            double after = closed == null ? 0 : request.arrivedAt() - closed;
            rig.log("server " + request.server().name + " got " + request.text() + ", %.3f s after the close".formatted(after));
            if (after > LATEST_AFTER_CLOSE) {
                late.incrementAndGet();
                worst = Math.max(worst, after);
            }
        }
        if (hung.contains(request.server())) {
            CompletableFuture<CacheServer.Answer> held = new CompletableFuture<>();
            afterHang.add(() -> held.complete(CacheServer.served(request)));
            return held;
        }
        lastServer.put(request.key(), request.server());
        boolean miss = draw() < MISS_SHARE;
        return CacheServer.after(
                miss ? MISS_TIME : HIT_TIME,
                CacheServer.line("VA 5 O" + request.id() + (miss ? " h0" : " h1") + "\r\nvalue"));
    }

    private void readUsually(int port, int number, double until) {
        try (Client link = new Client("client " + number, port)) {
            while (rig.now() < until) {
                String id = "a%015x".formatted(ids.incrementAndGet());
                link.send(Client.read("%016x".formatted(0x100 + (int) (draw() * 300)), id, "squad-view", 1500));
                link.readAnswer(4);
                Thread.sleep((long) (draw() * 60));
            }
        } catch (Exception e) {
            rig.log("client " + number + ": " + e);
        }
    }

    private void sendAndLeave(int port, int number, String firstKey) throws Exception {
        Client link = new Client("leaver " + number, port);
        StringBuilder commands = new StringBuilder();
        List<String> sent = new java.util.ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            String id = "b%015x".formatted(ids.incrementAndGet());
            sent.add(id);
            String key = i == 0 ? firstKey : "%016x".formatted(0x100 + (int) (draw() * 300));
            commands.append(Client.read(key, id, "squad-view", 1500));
            if (i % BURST == BURST - 1) {
                link.send(commands.toString());
                commands.setLength(0);
                Thread.sleep(10);
            }
        }
        if (!rig.trouble) {
            int answers = 0;
            while (answers < COMMANDS && !link.readAnswer(5).startsWith("(")) {
                answers++;
            }
            rig.log("leaver " + number + " stayed and got " + answers + " answers");
        }
        double now = rig.now();
        link.close();
        sent.forEach(id -> closedAt.put(id, now));
        rig.log("leaver " + number + " sent " + COMMANDS + " reads and closed: " + sent.get(0) + " to "
                + sent.get(COMMANDS - 1));
    }
}
