package stagepier.app;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A client of one router in a soak test. Sends requests with a given behaviour and timing drawn from a seed, keeps its
 * connection until the router or the client closes it, and checks every answer against the protocol.
 */
final class SoakClient implements Runnable {
    /** The way in which a client sends its commands. */
    enum Behaviour {
        /** One at a time, each after the previous answer. */
        ONE_BY_ONE,
        /** Several in one write. */
        PIPELINED,
        /** In writes that end one command and start the next. */
        ACROSS,
        /** Sometimes closes its connection directly after a request. */
        LEAVING,
        /** Sometimes sends a partial command and stops. */
        STOPPING
    }

    private static final int DEADLINE_MS = 1900;
    /** An answer that arrives later than this after its deadline counts as lost. */
    private static final int MAX_LATE_MS = 500;
    /** A request sent within this time before the client detects the close may have crossed the close. */
    private static final int CROSSING_MS = 500;

    private static final int POLL_MS = 10;
    private static final int MAX_PIPELINED = 4;
    /** The router must close the link of a client with a partial command after 3 s. */
    private static final int PARTIAL_COMMAND_LIMIT_MS = 3000;

    /** A request without an answer. */
    private record OpenRequest(String id, boolean write, long atNanos) {}

    private final String name;
    private final Behaviour behaviour;
    private final SoakRouter router;
    private final SoakLedger ledger;
    private final Random random;
    private final BooleanSupplier isOver;
    private final Deque<OpenRequest> open = new ArrayDeque<>();
    private final StringBuilder read = new StringBuilder();
    private int asked;
    private volatile SoakConnection connection;
    /** The part of an incomplete command that has been written. */
    private String partial = "";

    SoakClient(
            String name, Behaviour behaviour, SoakRouter router, SoakLedger ledger, long seed, BooleanSupplier isOver) {
        this.name = name;
        this.behaviour = behaviour;
        this.router = router;
        this.ledger = ledger;
        this.isOver = isOver;
        random = new Random(seed);
    }

    /** Returns the open connection, or null. */
    SoakConnection connection() {
        return connection;
    }

    @Override
    public void run() {
        while (!isOver.getAsBoolean()) {
            try {
                if (connection == null) {
                    connect();
                } else {
                    sendOrPoll();
                }
            } catch (IOException e) {
                handleClose();
            } catch (InterruptedException e) {
                return;
            }
        }
        disconnect();
    }

    private void connect() throws InterruptedException {
        SoakRouter.Incarnation incarnation = router.current();
        try {
            Socket socket = new Socket("127.0.0.1", incarnation.port());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(POLL_MS);
            connection = new SoakConnection(socket, incarnation);
        } catch (IOException e) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private void sendOrPoll() throws IOException, InterruptedException {
        if (open.isEmpty()) {
            send();
        }
        if (connection != null) {
            poll();
        }
    }

    private void send() throws IOException, InterruptedException {
        switch (behaviour) {
            case ONE_BY_ONE -> write(command() + "\r\n");
            case PIPELINED -> {
                StringBuilder all = new StringBuilder();
                for (int n = 1 + random.nextInt(MAX_PIPELINED); n > 0; n--) {
                    all.append(command()).append("\r\n");
                }
                write(all.toString());
            }
            case ACROSS -> {
                String rest = "hello\r\n".substring(partial.length());
                partial = "hel";
                write(rest + command() + "\r\n" + partial);
                connection.expectErrors();
            }
            case LEAVING -> {
                write(command() + "\r\n");
                if (random.nextInt(4) == 0) {
                    open.forEach(one -> ledger.recordDisconnect(one.id()));
                    disconnect();
                }
            }
            case STOPPING -> {
                if (random.nextInt(10) == 0) {
                    write("mg half");
                    awaitClose();
                } else {
                    write(command() + "\r\n");
                }
            }
        }
        if (random.nextInt(3) == 0) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
        }
    }

    private void awaitClose() throws IOException {
        long from = System.nanoTime();
        connection.expectErrors();
        while (!isOver.getAsBoolean()) {
            poll();
            if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) > PARTIAL_COMMAND_LIMIT_MS + MAX_LATE_MS) {
                ledger.violation(name + " sent a partial command and was not disconnected, " + connection);
                disconnect();
                return;
            }
        }
    }

    /** Returns a new command without its line end and records it as open. */
    private String command() {
        String id = name + "x" + asked++;
        int kind = random.nextInt(4);
        boolean write = kind == 0;
        String head = (write ? "ms k" + id + " 2 O" : "mg k" + asked % 50 + " v O") + id;
        ledger.recordSent(id, head);
        open.add(new OpenRequest(id, write, System.nanoTime()));
        String attributes = write
                ? " Pc=put,t=x,d=%d,k=%s\r\nab".formatted(DEADLINE_MS, id)
                : " Pc=%s,t=x,d=%d".formatted(kind == 1 ? "once" : "read", DEADLINE_MS);
        return head + attributes;
    }

    private void write(String text) throws IOException {
        connection.setRequestOpen(!open.isEmpty());
        Rehearsal.write(connection.socket(), text);
    }

    /** Reads until a short time-out and processes the complete answers. */
    private void poll() throws IOException {
        byte[] bytes = new byte[4096];
        try {
            int count = connection.socket().getInputStream().read(bytes);
            if (count < 0) {
                throw new IOException("connection closed");
            }
            read.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
            processAnswers();
        } catch (SocketTimeoutException e) {
            checkLate();
        }
    }

    private void processAnswers() {
        for (int end = read.indexOf("\r\n"); end >= 0; end = read.indexOf("\r\n")) {
            String line = read.substring(0, end);
            int length = end + 2;
            if (line.startsWith("VA ")) {
                int value = read.indexOf("\r\n", length);
                if (value < 0) {
                    return;
                }
                line += "|" + read.substring(length, value);
                length = value + 2;
            }
            read.delete(0, length);
            processAnswer(line);
        }
        connection.setRequestOpen(!open.isEmpty());
    }

    private void processAnswer(String line) {
        if (connection.isExpectedError(line)) {
            return;
        }
        OpenRequest first = open.poll();
        boolean valid = first != null
                && (line.equals("VA 2 O" + first.id() + "|hi") && !first.write()
                        || line.equals("HD O" + first.id() + " cab") && first.write()
                        || line.startsWith("SERVER_ERROR "));
        if (!valid) {
            ledger.violation(name + " got '" + line + "' for " + first + ", " + connection);
        } else if (millisSince(first.atNanos()) > DEADLINE_MS + MAX_LATE_MS) {
            ledger.violation(
                    "lost: " + first + " was answered after " + millisSince(first.atNanos()) + " ms, " + connection);
        }
    }

    private void checkLate() throws IOException {
        OpenRequest first = open.peek();
        if (first != null && millisSince(first.atNanos()) > DEADLINE_MS + MAX_LATE_MS) {
            if (!connection.incarnation().wasKilled()) {
                ledger.violation("lost: " + first + " has no answer, " + connection);
            }
            disconnect();
        }
    }

    /** Handles a connection that the router closed or that failed. */
    private void handleClose() {
        for (OpenRequest one : open) {
            if (millisSince(one.atNanos()) > CROSSING_MS
                    && !connection.incarnation().wasKilled()) {
                ledger.violation("lost: " + one + " was open when its connection closed, " + connection);
            }
        }
        disconnect();
    }

    private void disconnect() {
        SoakConnection old = connection;
        connection = null;
        open.clear();
        read.setLength(0);
        partial = "";
        if (old != null) {
            old.close();
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
