import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Large values come in small pieces from slow cache servers, two of six of which stand still for 0.2 s every few
 * seconds. A value that its server still gives must not be cut off.
 */
final class StandStill {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 24;
    private static final int LARGE = 4 << 20;
    private static final int PIECES = 100;
    private static final double PIECE_INTERVAL = 0.05;
    private static final double STAND_STILL = 0.2;
    private static final double STAND_STILL_EVERY = 4;
    private static final int WAIT_MS = 2000;
    private static final double RUN_FOR = 32;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(0x4000);
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private double startedAt;

    private StandStill(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new StandStill(rig).run());
    }

    private int run() throws Exception {
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"regina", "saskatoon"},
                new String[] {"standard", "older"},
                1024,
                Settings.regina(),
                i -> request -> onRequest(request, i));
        deployment.router.start();
        startedAt = rig.now();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(
                    () -> {
                        try {
                            ask(deployment.router.port, number);
                        } catch (Exception e) {
                            rig.log("client " + number + ": " + e);
                        } finally {
                            done.countDown();
                        }
                    },
                    "client");
        }
        done.await();
        deployment.router.logCounters("answers_", "executions_", "server_flows", "client_links_closed", "violations");
        rig.log("values that came whole: " + whole + ", cut off by the router: " + cut + ", failed or refused: " + failed);
        if (whole.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request, int server) {
        rig.log("server " + request.server().name + " got " + request.text());
        boolean stands = rig.trouble && server < 2;
        return CacheServer.after(0.04, connection -> writeLarge(connection, request, stands, server * 2));
    }

    private boolean writeLarge(CacheServer.Connection to, CacheServer.Request request, boolean stands, double phase)
            throws IOException {
        to.write(Rig.bytes("VA " + LARGE + " O" + request.id() + " h1\r\n"));
        byte[] value = new byte[LARGE];
        java.util.Arrays.fill(value, (byte) 'x');
        int piece = LARGE / PIECES + 1;
        double last = rig.now();
        double longest = 0;
        try {
            for (int sent = 0; sent < LARGE; sent += piece) {
                double gap = rig.now() - last;
                longest = Math.max(longest, gap);
                last = rig.now();
                to.write(value, sent, Math.min(piece, LARGE - sent));
                sleep(PIECE_INTERVAL);
                // The whole machine stands still: nothing is written until the end of that time.
                double into = (rig.now() - startedAt + phase) % STAND_STILL_EVERY;
                if (stands && into < STAND_STILL) {
                    sleep(STAND_STILL - into);
                }
            }
            to.write(Rig.bytes("\r\n"));
        } catch (IOException e) {
            rig.log("server " + request.server().name + " could not go on with " + request.id() + ": "
                    + e.getMessage() + "; last piece %.3f s ago, longest rest before %.3f s"
                            .formatted(rig.now() - last, longest));
            throw e;
        }
        rig.log("server " + request.server().name + " gave " + request.id() + " whole; longest rest %.3f s"
                .formatted(longest));
        return true;
    }

    private static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(int port, int number) throws Exception {
        Thread.sleep(number * 130L);
        while (rig.now() < startedAt + RUN_FOR) {
            try (Client link = new Client("client " + number, port)) {
                String id = "%016x".formatted(ids.incrementAndGet());
                link.send(Client.read("%016x".formatted(ids.get()), id, "lot-view", WAIT_MS));
                double sentAt = rig.now();
                String answer = link.readAnswer(20);
                rig.log("client " + number + " answer to " + id + " after %.3f s: ".formatted(rig.now() - sentAt) + answer);
                if (answer.startsWith("VA ")) {
                    (answer.contains("(") ? cut : whole).incrementAndGet();
                } else {
                    failed.incrementAndGet();
                    Thread.sleep(300);
                }
            }
        }
    }
}
