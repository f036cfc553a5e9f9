package stagepier.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Starts a router, sends it a few requests over loopback sockets and stops it. The build runs this once to record the
 * classes that a router loads in a class data sharing archive: on a fraction of a core, loading them from the jar takes
 * most of the start-up time.
 */
final class Rehearsal {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int ROUNDS = 300;
    private static final int WAIT_MS = 10_000;
    private static final String CONFIG = """
            {"listen":"127.0.0.1:%1$d","console":"127.0.0.1:%5$d","discovery":"127.0.0.1:%2$d","seed":"1","limits":{"sockets":256},
            "peer_listen":"127.0.0.1:%4$d","peers":["127.0.0.1:%1$d","127.0.0.1:%4$d"],"peers_all":"127.0.0.1:%4$d",
            "settings":{"Siblings":2,"SlotNo":0,
            "Classes":[{"Name":"read","Deadline":5,"GoalTime":5,"Repeat":"idempotent"},
            {"Name":"put","Deadline":5,"GoalTime":5,"Repeat":"deduplicated","Group":"all","DedupWindow":9}],
            "Realms":[{"Name":"t","Portion":1,"QuotaPerS":9}],"Areas":["a"],"Flavors":["m"],"WeightKind":"nominal",
            "Limits":{"MaxAttempts":3,"MayDuplicate":true,"Cancel":true,"Peers":true}},"known":%3$s}""";
    private static final String LIST = """
            {"generation":%d,"reset":%b,"instances":[{"instanceId":"s-00000001","hostPort":"127.0.0.1:%d","zone":"a",
            "machineType":"m","cell":0,"lifecycle":"up","weight":3.0,"startedAtMs":0}]}""";

    /** Answers one line that a connection of a stand-in server receives. */
    private interface LineHandler {
        String answer(String line, BufferedReader in) throws IOException;
    }

    private Rehearsal() {}

    /** Returns the number of requests that were served. */
    static int run() throws Exception {
        try (ServerSocket cache = listen();
                ServerSocket discovery = listen()) {
            int port = freePort();
            int console = freePort();
            String list = LIST.formatted(2, false, cache.getLocalPort());
            serve(cache, Rehearsal::cacheAnswer);
            serve(
                    discovery,
                    (line, in) -> line.isEmpty()
                            ? "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list
                            : "");
            Router router = new Router(Config.parse(CONFIG.formatted(
                    port,
                    discovery.getLocalPort(),
                    LIST.formatted(1, true, cache.getLocalPort()),
                    freePort(),
                    console)));
            router.start().get();
            int served = ask(port);
            call(console, "STATUS");
            call(console, "SUSPEND nobody");
            router.stop().get();
            router.counters().get();
            return served;
        }
    }

    private static int ask(int port) throws IOException {
        int served = 0;
        try (Socket client = new Socket(LOOPBACK, port)) {
            client.setSoTimeout(WAIT_MS);
            BufferedReader answers = reader(client);
            for (int i = 0; i < ROUNDS; i++) {
                write(
                        client,
                        "mn\r\nmg %016x v O%016x Pc=read,t=t,d=4000\r\nms %016x 2 O%016xw Pc=put,t=t,d=4000,k=%x\r\nhi\r\nx\r\n"
                                .formatted(i + 1, i, i + 1, i, i));
                answers.readLine();
                if (answers.readLine().startsWith("VA 2 ") && answers.readLine().equals("hi")) {
                    served++;
                }
                if (answers.readLine().startsWith("HD ")) {
                    served++;
                }
                answers.readLine();
            }
        }
        return served;
    }

    /**
     * Records the console's classes, so that the first console command to a busy router does not wait for class
     * loading.
     */
    private static void call(int console, String line) throws IOException {
        try (Socket caller = new Socket(LOOPBACK, console)) {
            caller.setSoTimeout(WAIT_MS);
            write(caller, line + "\n");
            reader(caller).readLine();
        }
    }

    private static String cacheAnswer(String line, BufferedReader in) throws IOException {
        String id = line.substring(line.indexOf('O'), line.indexOf('P') - 1);
        if (line.startsWith("mg ")) {
            return "VA 2 " + id + " h1\r\nhi\r\n";
        }
        in.readLine();
        return "HD " + id + " cab\r\n";
    }

    private static void serve(ServerSocket on, LineHandler handler) {
        daemon(() -> {
            while (true) {
                Socket one = on.accept();
                daemon(() -> {
                    try (one) {
                        one.setTcpNoDelay(true);
                        BufferedReader in = reader(one);
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            write(one, handler.answer(line, in));
                        }
                    }
                });
            }
        });
    }

    /** A task of a stand-in server; it ends when its socket is closed. */
    interface Step {
        void run() throws IOException;
    }

    static void daemon(Step step) {
        Thread thread = new Thread(
                () -> {
                    try {
                        step.run();
                    } catch (IOException e) {
                        // The peer has closed the connection, or the rehearsal is over.
                    }
                },
                "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, LOOPBACK);
    }

    /** Returns a port that is free at the time of the call. */
    static int freePort() throws IOException {
        try (ServerSocket free = listen()) {
            return free.getLocalPort();
        }
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
