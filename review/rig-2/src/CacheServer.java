import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A cache server on a loopback address. A request starts when its last byte has arrived; the answers of a connection come
 * in the order of its requests. What a request is answered is the case's matter.
 */
final class CacheServer {
    /** A request as it arrived. */
    record Request(CacheServer server, Connection connection, boolean write, String key, String id, int waitMs,
            double arrivedAt) {
        String text() {
            return (write ? "ms " : "mg ") + key + " id=" + id + " d=" + waitMs;
        }
    }

    /** Writes the answer to one request, or nothing. */
    interface Answer {
        /** @return false if the connection is over */
        boolean writeTo(Connection connection) throws IOException;
    }

    /** What a server does with its requests; called by the connection's thread, must not wait. */
    interface Model {
        CompletableFuture<Answer> onRequest(Request request);
    }

    static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(4, work -> {
        Thread thread = new Thread(work, "timers");
        thread.setDaemon(true);
        return thread;
    });

    final Rig rig;
    final String name;
    final int port;
    private final Model model;
    private final ServerSocket listening = new ServerSocket();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    CacheServer(Rig rig, String name, Model model) throws IOException {
        this.rig = rig;
        this.name = name;
        this.model = model;
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress("127.0.0.1", 0), 512);
        port = listening.getLocalPort();
        daemon(this::accept, name + "-accept");
    }

    static void daemon(Runnable body, String name) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                new Connection(socket);
            }
        } catch (IOException e) {
            // The server has died.
        }
    }

    /** Dies as a process does: its connections are reset and new ones are refused. */
    void die() throws IOException {
        listening.close();
        for (Connection connection : connections) {
            connection.reset();
        }
        rig.log("server " + name + " died: its connections are reset");
    }

    static Answer bytes(byte[] answer) {
        return connection -> {
            connection.write(answer);
            return true;
        };
    }

    static Answer line(String text) {
        return bytes(Rig.bytes(text + "\r\n"));
    }

    static Answer served(Request request) {
        return request.write()
                ? line("HD O" + request.id() + " cok")
                : line("VA 5 O" + request.id() + " h1\r\nvalue");
    }

    /** Answers a request after a time. */
    static CompletableFuture<Answer> after(double seconds, Answer answer) {
        CompletableFuture<Answer> later = new CompletableFuture<>();
        TIMERS.schedule(() -> later.complete(answer), (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
        return later;
    }

    /** One accepted connection. */
    final class Connection {
        private final Socket socket;
        private final LinkedBlockingQueue<CompletableFuture<Answer>> answers = new LinkedBlockingQueue<>();

        Connection(Socket socket) {
            this.socket = socket;
            connections.add(this);
            daemon(this::read, name + "-read");
            daemon(this::write, name + "-write");
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void write(byte[] bytes, int from, int length) throws IOException {
            socket.getOutputStream().write(bytes, from, length);
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
            connections.remove(this);
        }

        private void write() {
            try {
                while (answers.take().join().writeTo(this)) {
                    // The next answer in the order of the requests.
                }
            } catch (IOException | InterruptedException e) {
                // The peer has ended the connection.
            }
            connections.remove(this);
        }

        private void read() {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    String[] words = line.split(" ");
                    if (words[0].equals("mn")) {
                        answers.add(CompletableFuture.completedFuture(line("MN")));
                    } else if (words[0].equals("mg") || words[0].equals("ms")) {
                        if (words[0].equals("ms")) {
                            in.readNBytes(Integer.parseInt(words[2]) + 2);
                        }
                        answers.add(model.onRequest(request(words)));
                    } else {
                        rig.log("server " + name + " got " + line);
                        answers.add(CompletableFuture.completedFuture(line("CLIENT_ERROR")));
                    }
                }
            } catch (IOException e) {
                // The peer has ended the connection.
            }
            answers.add(CompletableFuture.completedFuture(connection -> {
                socket.close();
                return false;
            }));
        }

        private Request request(String[] words) {
            String id = "";
            int waitMs = -1;
            for (String word : words) {
                if (word.startsWith("O")) {
                    id = word.substring(1);
                } else if (word.startsWith("P")) {
                    for (String entry : word.substring(1).split(",")) {
                        waitMs = entry.startsWith("d=") ? Integer.parseInt(entry.substring(2)) : waitMs;
                    }
                }
            }
            return new Request(CacheServer.this, this, words[0].equals("ms"), words[1], id, waitMs, rig.now());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.substring(0, line.length() - 1);
            }
            line.append((char) c);
        }
        return null;
    }
}
