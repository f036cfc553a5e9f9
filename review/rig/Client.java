package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

/** A client's connection: sends commands, and reads the answers in the order of the commands. */
final class Client {
    /**
     * An answer, or the end of the connection in its place.
     *
     * @param line the first line; null if the connection ended before it was whole
     * @param length bytes of the value that came
     * @param whole whether all of the value came
     */
    record Answer(String line, int length, boolean whole, double at) {
        boolean isRefused() {
            return line != null && line.startsWith("SERVER_ERROR busy");
        }

        boolean isServed() {
            return line != null && whole && (line.startsWith("VA ") || line.startsWith("HD "));
        }
    }

    private final Socket socket = new Socket();
    private final BlockingQueue<CompletableFuture<Answer>> owed = new LinkedBlockingQueue<>();
    private volatile boolean over;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        Thread t = new Thread(this::read, "client");
        t.setDaemon(true);
        t.start();
    }

    static String get(String key, String id, String requestClass, int d) {
        return "mg " + key + " v O" + id + " Pc=" + requestClass + ",t=national-open,d=" + d + "\r\n";
    }

    static String set(String key, String id, String requestClass, int d, String value) {
        return "ms " + key + " " + value.length() + " O" + id + " Pc=" + requestClass + ",t=national-open,d=" + d
                + ",k=" + id + "\r\n" + value + "\r\n";
    }

    /** Sends one command. */
    CompletableFuture<Answer> send(String command) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        owed.add(answer);
        try {
            write(command);
        } catch (IOException e) {
            over = true;
        }
        if (over) {
            answer.complete(new Answer(null, 0, false, Rig.now()));
        }
        return answer;
    }

    /** Writes bytes for which this client awaits nothing. */
    void write(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    boolean isOver() {
        return over;
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void read() {
        CompletableFuture<Answer> current = null;
        String line = null;
        int length = 0;
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (true) {
                line = CacheServer.readLine(in);
                current = line == null ? null : owed.poll();
                if (current == null) {
                    break;
                }
                length = 0;
                boolean whole = true;
                if (line.startsWith("VA ")) {
                    int announced = Integer.parseInt(line.split(" ")[1]);
                    byte[] piece = new byte[1 << 16];
                    int total = announced + 2;
                    while (length < total) {
                        int n = in.read(piece, 0, Math.min(piece.length, total - length));
                        if (n < 0) {
                            break;
                        }
                        length += n;
                    }
                    whole = length == total;
                    length = Math.min(length, announced);
                }
                current.complete(new Answer(line, length, whole, Rig.now()));
                current = null;
            }
        } catch (IOException e) {
            // The connection was reset, or closed here.
        }
        over = true;
        if (current != null) {
            current.complete(new Answer(line, length, false, Rig.now()));
        }
        for (CompletableFuture<Answer> left = owed.poll(); left != null; left = owed.poll()) {
            left.complete(new Answer(null, 0, false, Rig.now()));
        }
    }
}
