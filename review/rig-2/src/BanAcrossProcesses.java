import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache server is taken out, put back, and taken out again at once, each call answered with OK. With the trouble a new
 * version of the router has come up beside the old one by then, the last call goes to it, and the old one is told to end;
 * without, there is one process.
 */
final class BanAcrossProcesses {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 16;
    private static final int SOCKETS = 1024;
    /** The grace of the settings and 50 ms. */
    private static final double GRACE = 1.05;

    private static final double WATCHED_FOR = 6;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(0x6000);
    private final AtomicInteger sentToBanned = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile CacheServer banned;
    private volatile double bannedSince = Double.POSITIVE_INFINITY;
    private volatile boolean over;

    private BanAcrossProcesses(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new BanAcrossProcesses(rig).run());
    }

    private int run() throws Exception {
        int port = Integer.parseInt(System.getenv("HELD_PORT"));
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"cairo-nasr", "giza-west", "alex-east"},
                new String[] {"std-3"},
                SOCKETS,
                Settings.cairo("deduplicated"),
                i -> this::onRequest);
        Rig.Router old = router(deployment, port);
        old.start();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(
                    () -> {
                        readUntilEnd(port, number);
                        done.countDown();
                    },
                    "client");
        }
        Thread.sleep(2000);
        String id = deployment.servers.get(0).name;
        boolean allSaidYes = says(old, "SUSPEND " + id);
        Thread.sleep(1500);
        Rig.Router last = old;
        if (rig.trouble) {
            last = router(deployment, port);
            last.start();
        }
        allSaidYes &= says(old, "RESTORE " + id);
        allSaidYes &= says(last, "SUSPEND " + id);
        banned = deployment.servers.get(0);
        bannedSince = rig.now();
        if (rig.trouble) {
            Thread.sleep(200);
            rig.log("SIGTERM to the old process");
            old.process().destroy();
        }
        Thread.sleep((long) (WATCHED_FOR * 1000));
        over = true;
        done.await();
        rig.log("requests answered: " + answered + "; sent to " + id + " later than " + GRACE
                + " s after its last call out was answered with OK: " + sentToBanned);
        if (!allSaidYes || answered.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return sentToBanned.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private Rig.Router router(Deployment deployment, int port) throws Exception {
        return rig.new Router(
                "n1", port, Rig.freePort(), true, deployment.agent.port, SOCKETS, Settings.cairo("deduplicated"));
    }

    private static boolean says(Rig.Router router, String call) {
        return String.valueOf(router.call(call)).startsWith("OK");
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request) {
        double since = request.arrivedAt() - bannedSince;
        if (request.server() == banned && since > GRACE) {
            sentToBanned.incrementAndGet();
            rig.log("server " + request.server().name + " got " + request.text()
                    + ", %.3f s after the call out".formatted(since));
        }
        return CacheServer.after(0.03, CacheServer.served(request));
    }

    /** Opens a connection now and then, so that each process gets some. */
    private void readUntilEnd(int port, int number) {
        while (!over) {
            try (Client link = new Client("client " + number, port)) {
                for (int i = 0; i < 10 && !over; i++) {
                    String id = "%016x".formatted(ids.incrementAndGet());
                    link.send(Client.read("%016x".formatted(ids.get() % 400 + 1), id, "squad-view", 1500));
                    if (!link.readAnswer(4).startsWith("VA ")) {
                        break;
                    }
                    answered.incrementAndGet();
                    Thread.sleep(40);
                }
            } catch (Exception e) {
                rig.log("client " + number + ": " + e);
            }
        }
    }
}
