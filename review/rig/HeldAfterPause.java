package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Entry of issue 44: what is held after PAUSE. Clients have a write open when the call comes, to cache servers that answer
 * nothing, and send further requests behind it on the same connection, the last of them 2.5 s after the call.
 */
final class HeldAfterPause {
    private static final int CLIENTS = 10;

    private final Rig rig;

    private HeldAfterPause(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new HeldAfterPause(rig).play());
    }

    private List<String> play() throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= 6; i++) {
            discovery.put(
                    new CacheServer("s-0000000" + i, request -> {
                        rig.note(request.server.id, "runs " + request.line);
                        if (!rig.trouble) {
                            rig.after(0.05, request::serve);
                        }
                    }),
                    "up");
        }
        String settings = Rig.settings(
                Rig.requestClass("squad-view", "idempotent", 0.75, 1.5, 5, 5) + ","
                        + Rig.requestClass("transfer", "deduplicated", 1.2, 5.0, 12, 10),
                "");
        int port = Rig.freePort();
        Rig.Router router = rig.start(
                "n1",
                rig.config("n1", port, discovery.port(), 256, discovery.list(), settings),
                port,
                Rig.freePort(),
                Path.of(rig.temp.toString(), "n1"),
                false);
        rig.awaitReady(router);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(port));
        }
        double called = Rig.now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", router.consolePort()), 1000);
            socket.getOutputStream().write("PAUSE\n".getBytes(StandardCharsets.ISO_8859_1));
            rig.note("staff", "PAUSE: " + CacheServer.readLine(socket.getInputStream()));
        }
        List<CompletableFuture<Client.Answer>> second = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Client client = clients.get(i);
            client.send(Client.set("%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L), "a%015x".formatted(i), "transfer", 5000, "squad"))
                    .thenAccept(answer -> rig.note("client " + n, "first: " + answer.line()));
        }
        Rig.sleep(called + 1.8 - Rig.now());
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            if (clients.get(i).isOver()) {
                rig.note("client " + n, "closed before 1.8 s");
                continue;
            }
            clients.get(i)
                    .send(Client.set("%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L), "b%015x".formatted(i), "transfer", 5000, "squad"))
                    .thenAccept(answer -> rig.note("client " + n, "at 1.8 s: " + answer.line()));
        }
        Rig.sleep(called + 2.5 - Rig.now());
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            CompletableFuture<Client.Answer> answer = clients.get(i).isOver()
                    ? CompletableFuture.completedFuture(new Client.Answer(null, 0, false, Rig.now()))
                    : clients.get(i).send(Client.get("%016x".formatted((i + 1) * 0x9e3779b97f4a7c15L), "c%015x".formatted(i), "squad-view", 1500));
            answer.thenAccept(a -> rig.note("client " + n, "at 2.5 s: " + a.line()));
            second.add(answer);
        }
        Rig.sleep(called + 4.05 - Rig.now());
        List<String> breaks = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            if (!clients.get(i).isOver() && !second.get(i).isDone()) {
                breaks.add("client " + i + " is held 4.05 s after PAUSE with a request that it sent 1.55 s ago");
            }
        }
        Rig.sleep(2);
        return breaks;
    }
}
