package stagepier.app;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

/** A stand-in for the discovery agent on loopback. Implements its protocol; can be made to stop answering. */
final class StandInAgent implements Closeable {
    private static final long WAIT_MS = 5000;
    private static final String ENTRY = "{\"instanceId\":\"s-0000000%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"a\","
            + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0}";

    private final ServerSocket listening = Rehearsal.listen();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final List<String> calls = new CopyOnWriteArrayList<>();
    /** The entries of each generation from the second on. */
    private final List<String> published = new ArrayList<>();

    private boolean completeListPending;
    private boolean silent;
    private int delayMs;
    private int pendingCalls;

    StandInAgent() throws IOException {
        Rehearsal.daemon(() -> {
            while (true) {
                Socket connection = listening.accept();
                connections.add(connection);
                Rehearsal.daemon(() -> serve(connection));
            }
        });
    }

    int port() {
        return listening.getLocalPort();
    }

    static String entry(int id, int port, String lifecycle) {
        return ENTRY.formatted(id, port, lifecycle);
    }

    /** Returns the known list with which routers start: generation 1. */
    static String known(String... entries) {
        return message(1, true, List.of(entries));
    }

    private static String message(int generation, boolean reset, List<String> entries) {
        return "{\"generation\":%d,\"reset\":%b,\"instances\":[%s]}"
                .formatted(generation, reset, String.join(",", entries));
    }

    /** Publishes changed entries as a new generation. */
    synchronized void publish(String... entries) {
        published.add(String.join(",", entries));
        notifyAll();
    }

    /** Publishes a complete list, which the next answer contains. */
    synchronized void publishAll(String... entries) {
        completeListPending = true;
        publish(entries);
    }

    synchronized void silent(boolean on) {
        silent = on;
        notifyAll();
    }

    /** Delays each answer by the given time. */
    synchronized void delayAnswers(int ms) {
        delayMs = ms;
    }

    synchronized boolean hasNoPendingCall() {
        return pendingCalls == 0;
    }

    /** Waits until the router has called again after the last change, and has therefore received it. */
    void awaitReceived() throws InterruptedException {
        await(() -> calls.stream().anyMatch(c -> c.contains("from=" + generation() + "&")));
    }

    void awaitCalls(int n) throws InterruptedException {
        await(() -> calls.size() >= n);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + WAIT_MS * 1_000_000; !condition.getAsBoolean(); Thread.sleep(2)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + WAIT_MS + " ms");
            }
        }
    }

    private synchronized int generation() {
        return 1 + published.size();
    }

    /** Returns the first lines of all calls. */
    List<String> calls() {
        return calls;
    }

    long openConnections() {
        return connections.stream().filter(s -> !s.isClosed()).count();
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in = Rehearsal.reader(connection);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    calls.add(line);
                } else if (line.isEmpty()) {
                    String answer = answer(calls.get(calls.size() - 1), connection);
                    Rehearsal.write(
                            connection, "HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
                }
            }
        }
    }

    private synchronized String answer(String request, Socket to) throws IOException {
        int from = Integer.parseInt(request.replaceAll(".*from=(\\d+).*", "$1"));
        long until = System.nanoTime() + Long.parseLong(request.replaceAll(".*hold_ms=(\\d+).*", "$1")) * 1_000_000;
        pendingCalls++;
        try {
            for (long left = until - System.nanoTime();
                    silent || left > 0 && from >= generation();
                    left = until - System.nanoTime()) {
                wait(silent ? 0 : 1 + left / 1_000_000);
            }
            if (delayMs > 0) {
                wait(delayMs);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            pendingCalls--;
        }
        boolean complete = completeListPending && from < generation();
        completeListPending &= !complete;
        return message(
                generation(),
                complete,
                published.subList(
                        complete ? published.size() - 1 : Math.min(from - 1, published.size()), published.size()));
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
