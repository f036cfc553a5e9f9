package rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The agent of discovery on the router's machine: answers at once with what it has, and holds watches. */
final class Discovery {
    private static final Pattern REQUEST = Pattern.compile("GET /discovery/hosts(?:\\?from=(\\d+)&hold_ms=(\\d+))? .*");

    private final Rig rig;
    private final ServerSocket socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** The version of the last change of each entry. */
    private final Map<String, Long> changedAt = new TreeMap<>();

    private long generation = 41;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        Thread t = new Thread(this::accept, "discovery");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    static String entry(CacheServer server, String lifecycle) {
        return """
                {"instanceId":"%s","hostPort":"127.0.0.1:%d","zone":"giza-west","machineType":"std-3","cell":%d,"lifecycle":"%s","weight":1.0,"startedAtMs":0}"""
                .formatted(server.id, server.port(), server.port() % 7, lifecycle);
    }

    /** Adds or changes an entry; watches are told at once. */
    synchronized void put(CacheServer server, String lifecycle) {
        entries.put(server.id, entry(server, lifecycle));
        changedAt.put(server.id, ++generation);
        notifyAll();
    }

    synchronized String list() {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", entries.values())
                + "]}";
    }

    private synchronized String changes(long from, long holdMs) throws InterruptedException {
        long until = System.nanoTime() + holdMs * 1_000_000;
        for (long left = holdMs; generation <= from && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
        StringBuilder changed = new StringBuilder();
        changedAt.forEach((id, at) -> {
            if (at > from) {
                changed.append(changed.isEmpty() ? "" : ",").append(entries.get(id));
            }
        });
        return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + changed + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket client = socket.accept();
                Thread t = new Thread(() -> serve(client), "discovery call");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            client.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = client.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                for (String header = in.readLine(); header != null && !header.isEmpty(); ) {
                    header = in.readLine();
                }
                Matcher m = REQUEST.matcher(line);
                if (!m.matches()) {
                    return;
                }
                String body = m.group(1) == null
                        ? list()
                        : changes(Long.parseLong(m.group(1)), Long.parseLong(m.group(2)));
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
                if (body.contains("instanceId")) {
                    rig.note("discovery", "told " + body);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The router has closed the connection.
        }
    }
}
