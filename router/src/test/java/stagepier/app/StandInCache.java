package stagepier.app;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A cache server that has all, on loopback. A connection of it can be made to fall silent. */
final class StandInCache implements Closeable {
    /** One connection. */
    private static final class Connection {
        private final Socket socket;
        private volatile boolean silent;
        private volatile long answered;

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    private final ServerSocket listening;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();

    StandInCache() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Connection c = new Connection(listening.accept());
                connections.add(c);
                daemon(() -> serve(c));
            }
        });
    }

    int port() {
        return listening.getLocalPort();
    }

    long answered() {
        return connections.stream().mapToLong(c -> c.answered).sum();
    }

    int connections() {
        return connections.size();
    }

    /** The one that has answered most takes requests from now on and answers none. */
    void silenceBusiest() {
        connections.stream().max(java.util.Comparator.comparingLong(c -> c.answered)).orElseThrow().silent = true;
    }

    private static void serve(Connection c) throws IOException {
        c.socket.setTcpNoDelay(true);
        BufferedReader in = new BufferedReader(
                new InputStreamReader(c.socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String id = line.substring(line.indexOf(" O"), line.indexOf(" P"));
            if (!c.silent) {
                c.socket.getOutputStream().write(("VA 2" + id + " h1\r\nhi\r\n").getBytes(StandardCharsets.ISO_8859_1));
                c.answered++;
            }
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void daemon(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // The other side has closed, or the test is over.
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Connection c : connections) {
            c.socket.close();
        }
    }
}
