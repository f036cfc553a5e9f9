package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A cache server: starts a command when its last byte has come, and answers on each connection in the order of the
 * commands. What it answers, and when, is up to its handler.
 */
final class CacheServer {
    /** Called for each command when its last byte has come; gives the answer through the request. */
    interface Handler {
        void onRequest(Request request);
    }

    /** Writes an answer. */
    interface Answer {
        void writeTo(OutputStream out) throws IOException, InterruptedException;
    }

    /** A command that has come whole. */
    static final class Request {
        final CacheServer server;
        final String line;
        final String command;
        final String key;
        final String id;
        final Map<String, String> attributes = new LinkedHashMap<>();
        final byte[] value;
        /** When its last byte had come. */
        final double at = Rig.now();

        private final Connection connection;
        private final CompletableFuture<Answer> answer = new CompletableFuture<>();

        Request(CacheServer server, Connection connection, String line, byte[] value) {
            this.server = server;
            this.connection = connection;
            this.line = line;
            this.value = value;
            String[] words = line.split(" ");
            command = words[0];
            key = words.length > 1 ? words[1] : "";
            String found = "";
            for (int i = 2; i < words.length; i++) {
                if (words[i].startsWith("O")) {
                    found = words[i].substring(1);
                } else if (words[i].startsWith("P")) {
                    for (String pair : words[i].substring(1).split(",")) {
                        int equals = pair.indexOf('=');
                        if (equals > 0) {
                            attributes.put(pair.substring(0, equals), pair.substring(equals + 1));
                        }
                    }
                }
            }
            id = found;
        }

        boolean isWrite() {
            return command.equals("ms");
        }

        void answer(Answer how) {
            answer.complete(how);
        }

        void answer(String text) {
            answer(out -> out.write(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        /** The answer of a command that has run: the value, or the receipt. */
        void serve() {
            answer(isWrite() ? "HD O" + id + " crcpt" + id + "\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n");
        }

        void busy() {
            answer("SERVER_ERROR busy\r\n");
        }

        void failed() {
            answer("SERVER_ERROR failed\r\n");
        }

        /** The answer gets lost: nothing is written for this command. */
        void lose() {
            answer(out -> {});
        }

        /** Resets the connection. */
        void reset() {
            connection.reset();
        }

        int connectionNumber() {
            return connection.number;
        }
    }

    private static final class Connection {
        private final Socket socket;
        private final int number;
        private final BlockingQueue<Request> inOrder = new LinkedBlockingQueue<>();

        Connection(Socket socket, int number) {
            this.socket = socket;
            this.number = number;
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    final String id;
    private final Handler handler;
    private final ServerSocket socket = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    private int connections;

    CacheServer(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        background(this::accept, id);
    }

    int port() {
        return socket.getLocalPort();
    }

    private static void background(Runnable task, String name) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                Connection connection = new Connection(accepted, ++connections);
                background(() -> read(connection), id + " reads");
                background(() -> write(connection), id + " writes");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void read(Connection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.socket.getInputStream(), 1 << 16);
            for (String line = readLine(in); line != null; line = readLine(in)) {
                byte[] value = {};
                String[] words = line.split(" ");
                if (words[0].equals("ms")) {
                    value = in.readNBytes(Integer.parseInt(words[2]));
                    if (readLine(in) == null) {
                        return;
                    }
                } else if (words[0].equals("mn")) {
                    Request probe = new Request(this, connection, line, value);
                    connection.inOrder.add(probe);
                    probe.answer("MN\r\n");
                    continue;
                }
                Request request = new Request(this, connection, line, value);
                connection.inOrder.add(request);
                handler.onRequest(request);
            }
        } catch (IOException e) {
            // The router has closed the connection, or it was reset here.
        }
    }

    private static void write(Connection connection) {
        try {
            OutputStream out = connection.socket.getOutputStream();
            while (true) {
                connection.inOrder.take().answer.get().writeTo(out);
            }
        } catch (IOException | InterruptedException | ExecutionException e) {
            // The router has closed the connection, or it was reset here.
        }
    }

    /** Reads a line that ends in CRLF; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }
}
