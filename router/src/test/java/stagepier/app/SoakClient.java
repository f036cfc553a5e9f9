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
 * A client of one router in a soak: asks in a manner drawn by its seed, keeps its connection until the router ends it or it leaves by
 * itself, and holds every answer against what the protocol owes it.
 */
final class SoakClient implements Runnable {
    /** How it sends its commands. */
    enum Manner {
        /** One at a time, each after the answer to the one before. */
        ONE_BY_ONE,
        /** Several at once. */
        PIPELINED,
        /** In pieces that end one command and begin the next. */
        ACROSS,
        /** Closes its connection right after a request now and then. */
        LEAVING,
        /** Begins a command now and then and does not go on. */
        STOPPING
    }

    private static final int DEADLINE_MS = 1900;
    /** An answer that comes later than this after its time is a lost one. */
    private static final int LATE_MOST_MS = 500;
    /** Who sends within so many milliseconds before it sees the end may have crossed it. */
    private static final int CROSSING_MS = 500;

    private static final int POLL_MS = 10;
    private static final int PIPELINED_MOST = 4;
    /** A client that stops in the middle is owed an end after 3 s. */
    private static final int STOPPED_MOST_MS = 3000;

    /** A request that has no answer yet. */
    private record Asked(String id, boolean write, long atNanos) {}

    private final String name;
    private final Manner manner;
    private final SoakRouter router;
    private final SoakLedger ledger;
    private final Random random;
    private final BooleanSupplier isOver;
    private final Deque<Asked> open = new ArrayDeque<>();
    private final StringBuilder read = new StringBuilder();
    private int asked;
    private volatile SoakConnection connection;
    /** What it has written of a command that is not whole. */
    private String begun = "";

    SoakClient(String name, Manner manner, SoakRouter router, SoakLedger ledger, long seed, BooleanSupplier isOver) {
        this.name = name;
        this.manner = manner;
        this.router = router;
        this.ledger = ledger;
        this.isOver = isOver;
        random = new Random(seed);
    }

    /** The connection that it holds, or null. */
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
                    step();
                }
            } catch (IOException e) {
                ended();
            } catch (InterruptedException e) {
                return;
            }
        }
        drop();
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

    private void step() throws IOException, InterruptedException {
        if (open.isEmpty()) {
            send();
        }
        if (connection != null) {
            poll();
        }
    }

    private void send() throws IOException, InterruptedException {
        switch (manner) {
            case ONE_BY_ONE -> write(command() + "\r\n");
            case PIPELINED -> {
                StringBuilder all = new StringBuilder();
                for (int n = 1 + random.nextInt(PIPELINED_MOST); n > 0; n--) {
                    all.append(command()).append("\r\n");
                }
                write(all.toString());
            }
            case ACROSS -> {
                String rest = "hello\r\n".substring(begun.length());
                begun = "hel";
                write(rest + command() + "\r\n" + begun);
                connection.expectsErrors();
            }
            case LEAVING -> {
                write(command() + "\r\n");
                if (random.nextInt(4) == 0) {
                    open.forEach(one -> ledger.left(one.id()));
                    drop();
                }
            }
            case STOPPING -> {
                if (random.nextInt(10) == 0) {
                    write("mg half");
                    awaitEnd();
                } else {
                    write(command() + "\r\n");
                }
            }
        }
        if (random.nextInt(3) == 0) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
        }
    }

    private void awaitEnd() throws IOException {
        long from = System.nanoTime();
        connection.expectsErrors();
        while (!isOver.getAsBoolean()) {
            poll();
            if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) > STOPPED_MOST_MS + LATE_MOST_MS) {
                ledger.broken(name + " stopped in a command and was held, " + connection);
                drop();
                return;
            }
        }
    }

    /** A command without its line end, which is asked once it is written. */
    private String command() {
        String id = name + "x" + asked++;
        int kind = random.nextInt(4);
        boolean write = kind == 0;
        String head = (write ? "ms k" + id + " 2 O" : "mg k" + asked % 50 + " v O") + id;
        ledger.sent(id, head);
        open.add(new Asked(id, write, System.nanoTime()));
        String attributes = write
                ? " Pc=put,t=x,d=%d,k=%s\r\nab".formatted(DEADLINE_MS, id)
                : " Pc=%s,t=x,d=%d".formatted(kind == 1 ? "once" : "read", DEADLINE_MS);
        return head + attributes;
    }

    private void write(String text) throws IOException {
        connection.asked(!open.isEmpty());
        Rehearsal.write(connection.socket(), text);
    }

    /** Reads for a moment and takes the answers that are whole. */
    private void poll() throws IOException {
        byte[] bytes = new byte[4096];
        try {
            int count = connection.socket().getInputStream().read(bytes);
            if (count < 0) {
                throw new IOException("the end");
            }
            read.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
            takeAnswers();
        } catch (SocketTimeoutException e) {
            checkLate();
        }
    }

    private void takeAnswers() {
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
            answered(line);
        }
        connection.asked(!open.isEmpty());
    }

    private void answered(String line) {
        if (connection.isExpectedError(line)) {
            return;
        }
        Asked first = open.poll();
        boolean fits = first != null
                && (line.equals("VA 2 O" + first.id() + "|hi") && !first.write()
                        || line.equals("HD O" + first.id() + " cab") && first.write()
                        || line.startsWith("SERVER_ERROR "));
        if (!fits) {
            ledger.broken(name + " got '" + line + "' for " + first + ", " + connection);
        } else if (millisSince(first.atNanos()) > DEADLINE_MS + LATE_MOST_MS) {
            ledger.broken(
                    "lost: " + first + " was answered after " + millisSince(first.atNanos()) + " ms, " + connection);
        }
    }

    private void checkLate() throws IOException {
        Asked first = open.peek();
        if (first != null && millisSince(first.atNanos()) > DEADLINE_MS + LATE_MOST_MS) {
            if (!connection.incarnation().wasKilled()) {
                ledger.broken("lost: " + first + " has no answer, " + connection);
            }
            drop();
        }
    }

    /** The router has ended the connection, or it broke. */
    private void ended() {
        for (Asked one : open) {
            if (millisSince(one.atNanos()) > CROSSING_MS
                    && !connection.incarnation().wasKilled()) {
                ledger.broken("lost: " + one + " met the end of its connection, " + connection);
            }
        }
        drop();
    }

    private void drop() {
        SoakConnection old = connection;
        connection = null;
        open.clear();
        read.setLength(0);
        begun = "";
        if (old != null) {
            old.close();
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
