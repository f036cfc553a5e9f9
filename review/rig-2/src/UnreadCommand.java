import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send writes whose length is wrong, and the same again as soon as they are turned away. The usual clients
 * send a write and a read at once. Every request that was written whole is owed an answer.
 */
final class UnreadCommand {
    private static final int SERVERS = 6;
    private static final int BAD_CLIENTS = 160;
    private static final int USUAL_CLIENTS = 30;
    /** The largest value of the protocol. */
    private static final int VALUE = 64 * 1024;
    private static final double RUN_FOR = 20;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(0x5000);
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger errors = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final String value = "z".repeat(VALUE);
    private int port;
    private double until;

    private UnreadCommand(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new UnreadCommand(rig).run());
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
        port = deployment.router.port;
        until = rig.now() + RUN_FOR;
        CountDownLatch done = new CountDownLatch(USUAL_CLIENTS);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(
                    () -> {
                        askUntilEnd(number);
                        done.countDown();
                    },
                    "client");
        }
        Thread.sleep(3000);
        for (int i = 0; rig.trouble && i < BAD_CLIENTS; i++) {
            int number = i;
            CacheServer.daemon(() -> sendWrongLengths(number), "bad");
            Thread.sleep(5);
        }
        done.await();
        // The bad clients end with their last call.
        Thread.sleep(9000);
        deployment.router.logCounters("answers_", "client_", "violations");
        rig.log("usual requests answered: " + answered + ", with CLIENT_ERROR: " + errors
                + ", whole and never answered: " + lost + "; bad clients turned away: " + turnedAway);
        if (answered.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private CompletableFuture<CacheServer.Answer> onRequest(CacheServer.Request request) {
        return CacheServer.after(0.05, CacheServer.served(request));
    }

    private void sendWrongLengths(int number) {
        while (rig.now() < until) {
            try (Client link = new Client("bad " + number, port)) {
                link.send("ms %016x %d O%016x Pc=transfer,t=national-open,d=2500,k=1\r\n"
                                .formatted(ids.incrementAndGet(), VALUE, ids.incrementAndGet())
                        + value.substring(500));
                String answer = link.readLineOrReason(8);
                rig.log("bad client " + number + " got " + answer);
                turnedAway.incrementAndGet();
                link.readLineOrReason(1);
            } catch (Exception e) {
                rig.log("bad client " + number + ": " + e);
            }
        }
    }

    private void askUntilEnd(int number) {
        while (rig.now() < until) {
            try (Client link = new Client("client " + number, port)) {
                while (rig.now() < until && ask(link)) {
                    Thread.sleep(500);
                }
            } catch (Exception e) {
                rig.log("client " + number + ": " + e);
            }
        }
    }

    /** Returns whether the connection is still good. */
    private boolean ask(Client link) throws Exception {
        String write = "%016x".formatted(ids.incrementAndGet());
        String read = "%016x".formatted(ids.incrementAndGet());
        link.send("ms %s %d O%s Pc=transfer,t=national-open,d=2500,k=%s\r\n".formatted(write, VALUE, write, write) + value
                + "\r\n" + Client.read(read, read, "player-stats", 2500));
        rig.log(link.name() + " sent whole: write " + write + ", read " + read);
        String first = link.readAnswer(8);
        String second = link.readAnswer(8);
        rig.log(link.name() + " answer to " + write + ": " + first + ", to " + read + ": " + second);
        count(first);
        count(second);
        return !second.startsWith("(");
    }

    private void count(String answer) {
        if (answer.startsWith("(")) {
            lost.incrementAndGet();
        } else {
            answered.incrementAndGet();
            errors.addAndGet(answer.startsWith("CLIENT_ERROR") ? 1 : 0);
        }
    }
}
