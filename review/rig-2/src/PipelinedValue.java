import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send three reads at once: one of a large value, two of small ones. One of six cache servers dies while large
 * values are on their way.
 */
final class PipelinedValue {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 30;
    private static final int LARGE = 1 << 20;
    private static final int PIECE = 16 * 1024;
    private static final double PIECE_INTERVAL = 0.02;
    private static final double SMALL_TIME = 0.04;
    private static final int WAIT_MS = 2500;
    private static final double DEATH_AT = 4;
    private static final double RUN_FOR = 8;

    private final Rig rig;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger brokenValues = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger(0x1000);

    private PipelinedValue(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new PipelinedValue(rig).run());
    }

    private int run() throws Exception {
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"cairo-nasr", "giza-west", "alex-east"},
                new String[] {"std-3"},
                1024,
                Settings.cairo("deduplicated"),
                i -> this::onRequest);
        deployment.router.start();
        double from = rig.now();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(
                    () -> {
                        try {
                            while (rig.now() < from + RUN_FOR) {
                                ask(deployment.router.port, number);
                            }
                        } catch (Exception e) {
                            rig.log("client " + number + ": " + e);
                        } finally {
                            done.countDown();
                        }
                    },
                    "client");
        }
        Thread.sleep((long) (DEATH_AT * 1000));
        if (rig.trouble) {
            deployment.servers.get(0).die();
        }
        done.await();
        deployment.router.logCounters("answers_", "executions_", "server_flows", "client_links_closed", "violations");
        rig.log("rounds answered whole: " + whole + ", large values that were not whole: " + brokenValues
                + ", requests read and never answered: " + lost);
        if (whole.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request) {
        rig.log("server " + request.server().name + " got " + request.text());
        return request.key().startsWith("1a")
                ? CacheServer.after(SMALL_TIME, connection -> writeLarge(connection, request))
                : CacheServer.after(SMALL_TIME, CacheServer.served(request));
    }

    private static boolean writeLarge(CacheServer.Connection to, CacheServer.Request request)
            throws java.io.IOException {
        to.write(Rig.bytes("VA " + LARGE + " O" + request.id() + " h1\r\n"));
        byte[] piece = new byte[PIECE];
        java.util.Arrays.fill(piece, (byte) 'x');
        for (int sent = 0; sent < LARGE; sent += PIECE) {
            to.write(piece);
            pause(PIECE_INTERVAL);
        }
        to.write(Rig.bytes("\r\n"));
        return true;
    }

    private static void pause(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(int port, int client) throws Exception {
        try (Client link = new Client("client " + client, port)) {
            for (boolean goesOn = true; goesOn && rig.now() < 60; ) {
                List<String> sent = new ArrayList<>();
                StringBuilder commands = new StringBuilder();
                for (String prefix : List.of("1a", "2b", "3c")) {
                    String id = "%016x".formatted(ids.incrementAndGet());
                    sent.add(id);
                    commands.append(Client.read(prefix + "%014x".formatted(ids.get() % 500), id, "player-stats", WAIT_MS));
                }
                rig.log("client " + client + " sends at once: " + sent);
                link.send(commands.toString());
                goesOn = readAnswers(link, client, sent) && rig.now() < RUN_FOR + 3;
                if (!goesOn) {
                    return;
                }
            }
        }
    }

    /** Returns whether the connection is still good. */
    private boolean readAnswers(Client link, int client, List<String> sent) {
        boolean ended = false;
        boolean allWhole = true;
        for (int i = 0; i < sent.size(); i++) {
            String answer = ended ? Client.CLOSED : link.readAnswer(10);
            rig.log("client " + client + " answer to " + sent.get(i) + ": " + answer);
            boolean isWhole = !answer.contains(Client.CLOSED) && !answer.contains(Client.NO_ANSWER_IN_TIME);
            allWhole &= isWhole;
            if (!isWhole && answer.startsWith("VA ")) {
                // The server could not finish it, and the client can see that it is not whole.
                brokenValues.incrementAndGet();
            } else if (!isWhole) {
                lost.incrementAndGet();
            }
            ended |= !isWhole;
        }
        whole.addAndGet(allWhole ? 1 : 0);
        return !ended;
    }
}
