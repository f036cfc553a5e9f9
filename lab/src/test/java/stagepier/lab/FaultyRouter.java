package stagepier.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A deliberately wrong little router: it breaks one rule, as its argument says. For tests of the ledger only. */
public final class FaultyRouter {
    private final String wrong;
    private final JsonArray nodes;
    private final AtomicInteger turn = new AtomicInteger();
    private final AtomicReference<String> lastBody = new AtomicReference<>("x");

    private FaultyRouter(String wrong, JsonArray nodes) {
        this.wrong = wrong;
        this.nodes = nodes;
    }

    public static void main(String[] args) throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of(System.getenv("GW_CONFIG"))))
                .getAsJsonObject();
        int port = Integer.parseInt(config.get("listen").getAsString().split(":")[1]);
        FaultyRouter router =
                new FaultyRouter(args[0], config.getAsJsonObject("known").getAsJsonArray("instances"));
        watch(config.get("discovery").getAsString());
        if (System.getenv("GW_FLEET") != null) {
            FaultyMember.start(config.get("name").getAsString(), args[0].equals("faithless"));
        }
        try (ServerSocket listening = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"))) {
            while (true) {
                Socket client = listening.accept();
                new Thread(() -> router.serve(client)).start();
            }
        }
    }

    /** Hears what discovery says, and heeds nothing of it. */
    private static void watch(String address) {
        Thread thread = new Thread(() -> {
            for (int from = 0; from < 1000; from++) {
                try (Socket s = new Socket("127.0.0.1", Integer.parseInt(address.split(":")[1]))) {
                    write(s, "GET /discovery/hosts?from=" + from + "&hold_ms=3000 HTTP/1.1\r\nhost: a\r\n\r\n");
                    reader(s).readLine();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket client) {
        try (client) {
            BufferedReader in = reader(client);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.equals("mn") || line.equals("stats")) {
                    write(client, line.equals("mn") ? "MN\r\n" : "END\r\n");
                    continue;
                }
                String data = line.startsWith("ms ") ? in.readLine() + "\r\n" : "";
                handle(client, line + "\r\n" + data);
            }
        } catch (IOException e) {
            // This client is gone.
        }
    }

    private void handle(Socket client, String command) throws IOException {
        int n = turn.incrementAndGet();
        boolean now = n % 10 == 0;
        if (wrong.equals("mute") && now) {
            return;
        }
        if (wrong.equals("close") && now) {
            ask(n, command);
            client.close();
            return;
        }
        for (int i = 0; wrong.equals("storm") && i < 12; i++) {
            ask(0, command);
        }
        String answer = ask(n, command);
        if (wrong.equals("again") && command.contains("c=once")) {
            ask(n + 1, command);
        }
        if (wrong.equals("swap") && answer.startsWith("VA ") && now) {
            String body = lastBody.get();
            write(client, answer.split("\r\n")[0] + "\r\n" + body + "\r\n");
            return;
        }
        if (answer.startsWith("VA ")) {
            lastBody.set(answer.split("\r\n")[1]);
        }
        write(client, answer);
        if (wrong.equals("double") && now) {
            write(client, answer);
        }
    }

    private String ask(int n, String command) {
        String[] at = nodes.get(n % nodes.size())
                .getAsJsonObject()
                .get("hostPort")
                .getAsString()
                .split(":");
        try (Socket node = new Socket(at[0], Integer.parseInt(at[1]))) {
            node.setSoTimeout(1000);
            write(node, command);
            BufferedReader in = reader(node);
            String line = in.readLine();
            if (line == null) {
                return "SERVER_ERROR failed\r\n";
            }
            return line.startsWith("VA ")
                    ? line.replaceAll(" h[01].*", "") + "\r\n" + in.readLine() + "\r\n"
                    : line + "\r\n";
        } catch (IOException e) {
            return "SERVER_ERROR failed\r\n";
        }
    }

    private static BufferedReader reader(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
