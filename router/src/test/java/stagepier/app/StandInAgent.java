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

/** Discovery's agent on loopback: answers calls as the protocol says, but nothing at all while it is held silent. */
final class StandInAgent implements Closeable {
    private static final long WAIT_MS = 5000;
    private static final String ENTRY = "{\"instanceId\":\"s-0000000%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"a\","
            + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0}";

    private final ServerSocket listening = Rehearsal.listen();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final List<String> calls = new CopyOnWriteArrayList<>();
    /** What each generation from the second on told. */
    private final List<String> told = new ArrayList<>();

    private boolean whole;
    private boolean silent;
    private int slowMs;
    private int waiting;

    StandInAgent() throws IOException {
        Rehearsal.daemon(() -> {
            while (true) {
                Socket one = listening.accept();
                connections.add(one);
                Rehearsal.daemon(() -> serve(one));
            }
        });
    }

    int port() {
        return listening.getLocalPort();
    }

    static String entry(int id, int port, String lifecycle) {
        return ENTRY.formatted(id, port, lifecycle);
    }

    /** What every router knows at its start: generation 1. */
    static String known(String... entries) {
        return message(1, true, List.of(entries));
    }

    private static String message(int generation, boolean reset, List<String> entries) {
        return "{\"generation\":%d,\"reset\":%b,\"instances\":[%s]}"
                .formatted(generation, reset, String.join(",", entries));
    }

    /** Something has changed. */
    synchronized void tell(String... entries) {
        told.add(String.join(",", entries));
        notifyAll();
    }

    /** The next answer holds the whole list, which is this. */
    synchronized void tellAll(String... entries) {
        whole = true;
        tell(entries);
    }

    synchronized void silent(boolean on) {
        silent = on;
        notifyAll();
    }

    /** Each answer comes so much later. */
    synchronized void slow(int ms) {
        slowMs = ms;
    }

    synchronized boolean nobodyWaits() {
        return waiting == 0;
    }

    /** Until the router has called again after the last change, and so knows of it. */
    void awaitHeard() throws InterruptedException {
        await(() -> calls.stream().anyMatch(c -> c.contains("from=" + generation() + "&")));
    }

    void awaitCalls(int n) throws InterruptedException {
        await(() -> calls.size() >= n);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + WAIT_MS * 1_000_000; !condition.getAsBoolean(); Thread.sleep(2)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came about");
            }
        }
    }

    private synchronized int generation() {
        return 1 + told.size();
    }

    /** First lines of all calls. */
    List<String> calls() {
        return calls;
    }

    long open() {
        return connections.stream().filter(s -> !s.isClosed()).count();
    }

    private void serve(Socket one) throws IOException {
        try (one) {
            one.setTcpNoDelay(true);
            BufferedReader in = Rehearsal.reader(one);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    calls.add(line);
                } else if (line.isEmpty()) {
                    String answer = answer(calls.get(calls.size() - 1), one);
                    Rehearsal.write(one, "HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
                }
            }
        }
    }

    private synchronized String answer(String call, Socket to) throws IOException {
        int from = Integer.parseInt(call.replaceAll(".*from=(\\d+).*", "$1"));
        long until = System.nanoTime() + Long.parseLong(call.replaceAll(".*hold_ms=(\\d+).*", "$1")) * 1_000_000;
        waiting++;
        try {
            for (long left = until - System.nanoTime();
                    silent || left > 0 && from >= generation();
                    left = until - System.nanoTime()) {
                wait(silent ? 0 : 1 + left / 1_000_000);
            }
            if (slowMs > 0) {
                wait(slowMs);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            waiting--;
        }
        boolean all = whole && from < generation();
        whole &= !all;
        return message(
                generation(), all, told.subList(all ? told.size() - 1 : Math.min(from - 1, told.size()), told.size()));
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket one : connections) {
            one.close();
        }
    }
}
