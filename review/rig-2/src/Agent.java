import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent on the router's machine: answers at once with what it has, and holds watches. */
final class Agent {
    /** One cache server in the list, with the version of its last change. */
    private record Entry(String json, int changedIn) {}

    final int port;
    private final Rig rig;
    private final ServerSocket listening = new ServerSocket();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private int generation = 41;

    Agent(Rig rig) throws IOException {
        this.rig = rig;
        listening.bind(new InetSocketAddress("127.0.0.1", 0), 64);
        port = listening.getLocalPort();
        CacheServer.daemon(this::accept, "agent-accept");
    }

    /** Lists a server or changes its entry, and tells the watches. */
    synchronized void list(String id, int serverPort, String zone, String kind, int cell, String lifecycle) {
        generation++;
        entries.put(
                id,
                new Entry(
                        """
                        {"instanceId":"%s","hostPort":"127.0.0.1:%d","zone":"%s","machineType":"%s","cell":%d,\
                        "lifecycle":"%s","weight":1.0,"startedAtMs":0}"""
                                .formatted(id, serverPort, zone, kind, cell, lifecycle),
                        generation));
        rig.log("list " + generation + ": " + id + " " + lifecycle);
        notifyAll();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                CacheServer.daemon(() -> serve(socket), "agent");
            }
        } catch (IOException e) {
            rig.log("the agent ended: " + e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                    // Headers carry nothing here.
                }
                String body = answer(line.split(" ")[1]);
                socket.getOutputStream()
                        .write(Rig.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
            }
        } catch (IOException e) {
            // The router has ended the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String answer(String path) throws InterruptedException {
        int from = parameter(path, "from", -1);
        long until = System.nanoTime() + parameter(path, "hold_ms", 0) * 1_000_000L;
        while (from >= generation && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        List<String> told = new ArrayList<>();
        entries.values().stream().filter(e -> from < 0 || e.changedIn() > from).forEach(e -> told.add(e.json()));
        return "{\"generation\":" + generation + ",\"reset\":" + (from < 0) + ",\"instances\":["
                + String.join(",", told) + "]}";
    }

    private static int parameter(String path, String name, int absent) {
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Integer.parseInt(pair.substring(name.length() + 1));
            }
        }
        return absent;
    }
}
