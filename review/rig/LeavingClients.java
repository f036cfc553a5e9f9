package rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Clients send many commands at once and leave. Connections to one cache server are reset under requests that have
 * begun, with the disruption and without it.
 */
final class LeavingClients {
    private static final int SERVERS = 6;
    /** The server that resets connections under requests, and after how many seconds. */
    private static final String RESETTING = "s-00000001";

    private static final double RESET_AFTER = 0.4;
    private static final double WORK = 0.08;
    private static final int CLIENTS = 8;
    private static final int COMMANDS = 300;
    private static final String VALUE = "x".repeat(2000);
    /** Seconds from a close to the last moment at which an attempt may begin, with the slack of all time limits. */
    private static final double BOUND = 0.1 + 0.05;

    private record Attempt(String id, String server, double at) {}

    private final Rig rig;
    private final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, String> ownerOfKey = new ConcurrentHashMap<>();
    private volatile boolean resets;

    private LeavingClients(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new LeavingClients(rig).play());
    }

    private void onRequest(CacheServer.Request request) {
        attempts.add(new Attempt(request.id, request.server.id, request.at));
        ownerOfKey.putIfAbsent(request.key, request.server.id);
        if (resets) {
            rig.note(request.server.id, "runs " + request.line);
        }
        if (resets && request.server.id.equals(RESETTING)) {
            rig.after(RESET_AFTER, request::reset);
        } else {
            rig.after(WORK, request::serve);
        }
    }

    private List<String> play() throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= SERVERS; i++) {
            discovery.put(new CacheServer("s-0000000" + i, this::onRequest), "up");
        }
        String settings = Rig.settings(
                Rig.requestClass("squad-view", "idempotent", 0.75, 1.5, 5, 5) + ","
                        + Rig.requestClass("transfer", "deduplicated", 1.2, 2.5, 12, 10),
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
        // Ordinary traffic shows which server owns which key.
        Client usual = new Client(port);
        for (int i = 0; i < 60; i++) {
            usual.send(Client.get(key(i), "%016x".formatted(0x100 + i), "squad-view", 1500))
                    .get(5, TimeUnit.SECONDS);
        }
        int slowKey = 0;
        while (!RESETTING.equals(ownerOfKey.get(key(slowKey)))) {
            slowKey++;
        }
        resets = true;
        Map<String, Integer> clientOf = new HashMap<>();
        Map<Integer, Double> closedAt = new HashMap<>();
        for (int c = 0; c < CLIENTS; c++) {
            attempts.clear();
            Client client = new Client(port);
            StringBuilder all = new StringBuilder();
            List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < COMMANDS; i++) {
                String id = "%08x%08x".formatted(c + 1, i);
                clientOf.put(id, c);
                all.append(Client.set(key(i == 0 ? slowKey : i), id, "transfer", 2500, VALUE));
            }
            if (rig.trouble) {
                client.write(all.toString());
                Rig.sleep(0.02);
                client.close();
                closedAt.put(c, Rig.now());
                rig.note("client " + c, "sent " + COMMANDS + " commands, " + all.length() + " bytes, and closed its connection");
            } else {
                String[] commands = all.toString().split("(?<=" + VALUE + "\r\n)");
                for (String command : commands) {
                    answers.add(client.send(command));
                }
                rig.note("client " + c, "sent " + COMMANDS + " commands, " + all.length() + " bytes, and reads the answers");
                int served = 0;
                for (CompletableFuture<Client.Answer> answer : answers) {
                    served += answer.get(10, TimeUnit.SECONDS).isServed() ? 1 : 0;
                }
                rig.note("client " + c, served + " served");
                client.close();
            }
            Rig.sleep(2.5);
            judge(c, closedAt.get(c));
        }
        rig.noteCounters(router, "requests", "requests_client_gone", "answers_served", "answers_failed", "answers_throttle",
                "executions_reset", "violations_sent_only_while_wanted");
        return breaks;
    }

    private final List<String> breaks = new ArrayList<>();

    private void judge(int client, Double closed) {
        int early = 0;
        for (Attempt attempt : List.copyOf(attempts)) {
            if (closed == null || attempt.at() <= closed + BOUND) {
                early++;
            } else {
                breaks.add("client " + client + " closed at %.4f; an attempt for id=%s began at %s at %.4f, %.3f s later"
                        .formatted(closed, attempt.id(), attempt.server(), attempt.at(), attempt.at() - closed));
            }
        }
        rig.note("sum", "client " + client + ": attempts=" + attempts.size() + ", in time=" + early);
    }

    private static String key(int i) {
        return "%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L);
    }
}
