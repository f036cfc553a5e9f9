package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A new version under load: both processes serve. Staff put cache servers back at the old process's door and at once take
 * them out again at the new one's.
 */
final class BanAcrossProcesses {
    private static final int SERVERS = 6;
    /** The servers that staff take out, one after another. */
    private static final List<String> OUT = List.of("s-00000002", "s-00000003", "s-00000004");
    /** Drain grace of the settings, with the slack of all time limits. */
    private static final double GRACE = 1.0 + 0.05;

    private record Run(String server, double at, String line) {}

    private final Rig rig;
    private final List<Run> runs = Collections.synchronizedList(new ArrayList<>());

    private BanAcrossProcesses(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new BanAcrossProcesses(rig).play());
    }

    private String call(Rig.Router router, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", router.consolePort()), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            String answer = CacheServer.readLine(socket.getInputStream());
            rig.note("staff", line + " at " + router.name() + ": " + answer);
            return String.valueOf(answer);
        }
    }

    private void awaitStatus(Rig.Router router) throws Exception {
        for (double until = Rig.now() + 10; Rig.now() < until; Rig.sleep(0.1)) {
            try {
                if (call(router, "STATUS").startsWith("OK")) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
        }
        throw new Rig.CannotRun(router.name() + " did not say OK");
    }

    private List<String> play() throws Exception {
        int port = Integer.parseInt(System.getenv("HELD_PORT"));
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= SERVERS; i++) {
            discovery.put(
                    new CacheServer("s-0000000" + i, request -> {
                        if (OUT.contains(request.server.id)) {
                            runs.add(new Run(request.server.id, request.at, request.line));
                            rig.note(request.server.id, "runs " + request.line);
                        }
                        rig.after(0.02, request::serve);
                    }),
                    "up");
        }
        String settings = Rig.settings(
                Rig.requestClass("squad-view", "idempotent", 0.75, 1.5, 5, 5) + ","
                        + Rig.requestClass("transfer", "deduplicated", 1.2, 2.5, 12, 10),
                "");
        Path shared = rig.temp.resolve("shared");
        String config = rig.config("n1", port, discovery.port(), 256, discovery.list(), settings);
        Rig.Router old = rig.start("old", config, port, Rig.freePort(), shared, true);
        awaitStatus(old);
        AtomicBoolean over = new AtomicBoolean();
        Thread load = new Thread(() -> load(port, over), "load");
        load.setDaemon(true);
        load.start();
        Rig.sleep(2);
        List<String> breaks = new ArrayList<>();
        for (String server : OUT) {
            if (!call(old, "SUSPEND " + server).startsWith("OK")) {
                throw new Rig.CannotRun("SUSPEND was refused");
            }
        }
        Rig.sleep(3);
        Rig.Router fresh = rig.start("new", config, port, Rig.freePort(), shared, true);
        awaitStatus(fresh);
        Rig.sleep(1);
        Map<String, Double> bound = new HashMap<>();
        for (String server : OUT) {
            if (rig.trouble) {
                call(old, "RESTORE " + server);
            }
            double asked = Rig.now();
            boolean yes = call(fresh, "SUSPEND " + server).startsWith("OK");
            bound.put(server, yes ? Rig.now() + GRACE : asked + 1 + GRACE);
            Rig.sleep(0.73);
        }
        Rig.sleep(3);
        rig.note("platform", "SIGTERM to old");
        old.process().destroy();
        Rig.sleep(6);
        over.set(true);
        load.join(3000);
        int allowed = 0;
        for (Run run : List.copyOf(runs)) {
            double late = run.at() - bound.get(run.server());
            if (late > 0) {
                breaks.add("%s is out by SUSPEND and was sent, %.3f s after the grace had ended: %s"
                        .formatted(run.server(), late, run.line()));
            } else {
                allowed++;
            }
        }
        rig.note("sum", "sent to " + OUT + ": " + runs.size() + ", of these before the end of the grace: " + allowed);
        call(fresh, "STATUS");
        rig.noteCounters(fresh, "requests", "servers_out", "console_calls");
        return breaks;
    }

    /** Ordinary clients: a request every 5 ms, on new connections now and then. */
    private void load(int port, AtomicBoolean over) {
        Random random = new Random(1);
        try {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; !over.get(); i++) {
                if (clients.size() < 20) {
                    clients.add(new Client(port));
                }
                int k = i % clients.size();
                if (clients.get(k).isOver() || random.nextInt(50) == 0) {
                    clients.get(k).close();
                    clients.set(k, new Client(port));
                }
                String key = "%016x".formatted((1 + random.nextInt(3000)) * 0x9e3779b97f4a7c15L);
                clients.get(k).send(Client.get(key, "%016x".formatted(random.nextLong()), "squad-view", 1500));
                Rig.sleep(0.005);
            }
        } catch (IOException | InterruptedException e) {
            rig.note("load", e.toString());
        }
    }
}
