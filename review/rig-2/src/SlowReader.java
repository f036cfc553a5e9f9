import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many reads at once and read the answers slowly, but steadily; without the trouble they read as fast as they
 * can. Every request is owed its answer.
 */
final class SlowReader {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 8;
    private static final int COMMANDS = 100;
    private static final int VALUE = 60_000;
    private static final int BYTES_PER_SECOND = 200_000;
    private static final int STEP_MS = 20;
    private static final int WAIT_MS = 2500;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(0x7000);
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final String value = "v".repeat(VALUE);

    private SlowReader(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new SlowReader(rig).run());
    }

    private int run() throws Exception {
        Deployment deployment = new Deployment(
                rig,
                SERVERS,
                new String[] {"cairo-nasr", "giza-west", "alex-east"},
                new String[] {"std-3"},
                1024,
                Settings.cairo("deduplicated"),
                i -> request -> CacheServer.after(
                        0.04, CacheServer.line("VA " + VALUE + " O" + request.id() + " h1\r\n" + value)));
        deployment.router.start();
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
            Thread.sleep(400);
        }
        done.await();
        deployment.router.logCounters("answers_", "client_links", "violations");
        rig.log("answers that came whole: " + whole + ", requests never answered: " + cut);
        if (whole.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void ask(int port, int number) throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS; i++) {
                String id = "%016x".formatted(ids.incrementAndGet());
                commands.append(Client.read(id, id, "player-stats", WAIT_MS));
            }
            socket.getOutputStream().write(Rig.bytes(commands.toString()));
            rig.log("client " + number + " sent " + COMMANDS + " reads");
            int answers = readSlowly(socket, number);
            whole.addAndGet(answers);
            cut.addAndGet(COMMANDS - answers);
            rig.log("client " + number + " got " + answers + " of " + COMMANDS + " answers");
        }
    }

    /** Returns the number of whole answers. */
    private int readSlowly(Socket socket, int number) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        socket.setSoTimeout(10_000);
        int answers = 0;
        int valueLeft = 0;
        StringBuilder line = new StringBuilder();
        byte[] step = new byte[BYTES_PER_SECOND * STEP_MS / 1000];
        try {
            while (answers < COMMANDS) {
                int n = in.read(step);
                if (n < 0) {
                    return answers;
                }
                for (int i = 0; i < n; i++) {
                    if (valueLeft > 0) {
                        answers += --valueLeft == 0 ? 1 : 0;
                    } else if (step[i] == '\n') {
                        boolean served = line.indexOf("VA ") == 0;
                        valueLeft = served ? VALUE + 2 : 0;
                        answers += served ? 0 : 1;
                        line.setLength(0);
                    } else {
                        line.append((char) step[i]);
                    }
                }
                if (rig.trouble) {
                    Thread.sleep((long) Math.max(1, STEP_MS * (double) n / step.length));
                }
            }
        } catch (IOException e) {
            rig.log("client " + number + ": " + e.getMessage());
        }
        return answers;
    }
}
