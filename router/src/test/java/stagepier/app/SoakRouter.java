package stagepier.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** A router in a soak test across its restarts, with console commands and signals drawn from a seed. */
final class SoakRouter implements Runnable {
    private static final int DRAIN_LIMIT_MS = 4000;
    /** Tolerance added to time limits for scheduling delays of the test's threads. */
    private static final int SLACK_MS = 150;
    /** A connection opened within this time before the end of a drain may still be waiting for its first command. */
    private static final int NEW_CONNECTION_MS = 600;

    private static final int LATE_REQUEST_MS = 2000;
    /** The longest deadline of the settings plus 0.7 s. */
    private static final int KILL_AFTER_MS = 2700;

    private static final int READY_LIMIT_MS = 30_000;
    private static final int RESUME_LIMIT_MS = 2000;

    /** One process of the router. */
    static final class Incarnation {
        private final int number;
        private final RouterProcess process;
        private final Path folder;
        private final StringBuilder calls = new StringBuilder();
        private volatile boolean killed;

        Incarnation(int number, RouterProcess process, Path folder) {
            this.number = number;
            this.process = process;
            this.folder = folder;
        }

        int port() {
            return process.port();
        }

        boolean wasKilled() {
            return killed;
        }

        @Override
        public synchronized String toString() {
            return folder.getFileName() + "." + number + "[" + calls + "]";
        }

        private synchronized void recordCall(String call) {
            calls.append(calls.length() == 0 ? "" : " ").append(call);
        }
    }

    private final Path folder;
    private final StandInAgent agent;
    private final String[] entries;
    private final SoakLedger ledger;
    private final Random random;
    private final BooleanSupplier isOver;
    private final SyscallFaults faults;
    private final List<SoakClient> clients = new ArrayList<>();
    private final AtomicReference<Incarnation> current = new AtomicReference<>();
    private final List<Incarnation> all = new ArrayList<>();

    SoakRouter(Path folder, StandInAgent agent, String[] entries, SoakLedger ledger, long seed, BooleanSupplier isOver)
            throws Exception {
        this.folder = Files.createDirectories(folder);
        this.agent = agent;
        this.entries = entries;
        this.ledger = ledger;
        this.isOver = isOver;
        random = new Random(seed);
        faults = new SyscallFaults(folder);
        startProcess();
    }

    Incarnation current() {
        return current.get();
    }

    SyscallFaults faults() {
        return faults;
    }

    void add(SoakClient client) {
        clients.add(client);
    }

    private void startProcess() throws IOException {
        Path processFolder = Files.createDirectories(folder.resolve(Integer.toString(all.size())));
        Incarnation next = new Incarnation(
                all.size(), RouterProcess.withConsole(processFolder, agent, faults.environment(), entries), folder);
        all.add(next);
        current.set(next);
    }

    /** Waits until the console reports that the router serves or is paused. */
    void awaitReady() throws InterruptedException {
        await("ready", READY_LIMIT_MS, () -> {
            String status = current().process.callConsole("STATUS");
            return status.startsWith("OK") || status.startsWith("ERR paused");
        });
    }

    /**
     * Waits until the console answers: before that the signal handlers may not be installed, and a signal ends the JVM.
     */
    private void awaitConsole() throws InterruptedException {
        await(
                "answering on its console",
                READY_LIMIT_MS,
                () -> !current().process.callConsole("STATUS").isEmpty());
    }

    private void await(String what, int limitMs, BooleanSupplier condition) throws InterruptedException {
        long from = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (millisSince(from) > limitMs) {
                ledger.violation("not " + what + " within " + limitMs + " ms: " + current());
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void run() {
        try {
            while (!isOver.getAsBoolean()) {
                performRandomAction();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(700));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            ledger.violation("the soak test failed at " + current() + ": " + e);
        }
    }

    /** Returns whether the process is alive; records a violation if it ended without being stopped. */
    private boolean isAlive(Incarnation one) throws IOException {
        if (one.process.process().isAlive()) {
            return true;
        }
        List<String> log = one.process.log().lines().toList();
        ledger.violation("crashed with " + one.process.process().exitValue() + ": " + one + " "
                + log.subList(Math.max(0, log.size() - 3), log.size()));
        return false;
    }

    private void performRandomAction() throws Exception {
        if (!isAlive(current())) {
            restart();
        }
        awaitConsole();
        switch (random.nextInt(8)) {
            case 0 -> pauseUntilDrained();
            case 1 -> pauseAndResume();
            case 2 -> pauseThenTerminate();
            case 3 -> terminate();
            case 4 -> kill();
            case 5 -> pauseWhileStarting();
            case 6 -> signal("HUP");
            default -> suspendProcess();
        }
    }

    private boolean call(String line) {
        current().recordCall(line);
        return current().process.callConsole(line).startsWith("OK");
    }

    private void signal(String name) throws Exception {
        current().recordCall(name);
        current().process.signal(name);
    }

    private void pauseUntilDrained() throws Exception {
        long at = System.nanoTime();
        if (call("PAUSE")) {
            awaitDrained(current(), at);
            resume();
        }
    }

    private void pauseAndResume() throws Exception {
        if (call("PAUSE")) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(2500));
            resume();
        }
    }

    private void resume() throws InterruptedException {
        if (call("RESUME")) {
            await("serving again", RESUME_LIMIT_MS, () -> "MN".equals(probe(current())));
        }
    }

    private void pauseThenTerminate() throws Exception {
        if (call("PAUSE")) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(1500));
            terminate();
        }
    }

    private void pauseWhileStarting() throws Exception {
        kill();
        long[] at = new long[1];
        await("reachable on the console", READY_LIMIT_MS, () -> {
            at[0] = System.nanoTime();
            return current().process.callConsole("PAUSE").startsWith("OK");
        });
        current().recordCall("PAUSE-early");
        awaitReady();
        awaitDrained(current(), Math.max(at[0], System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(LATE_REQUEST_MS)));
        resume();
    }

    private void awaitDrained(Incarnation paused, long at) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, DRAIN_LIMIT_MS + SLACK_MS - millisSince(at)));
        if ("MN".equals(probe(paused))) {
            ledger.violation("probe succeeds after PAUSE: " + paused);
        }
        long newAt = at + TimeUnit.MILLISECONDS.toNanos(DRAIN_LIMIT_MS - NEW_CONNECTION_MS);
        long lateAt = at + TimeUnit.MILLISECONDS.toNanos(LATE_REQUEST_MS + SLACK_MS);
        for (SoakClient client : clients) {
            SoakConnection held = client.connection();
            if (held != null && held.incarnation() == paused && held.isHeld(newAt, lateAt)) {
                ledger.violation("lost: connection held " + millisSince(at) + " ms after PAUSE, " + held);
            }
        }
    }

    /** Returns the answer to a probe, or an empty string if the process does not answer. */
    private static String probe(Incarnation incarnation) {
        try {
            return incarnation.process.ask("mn");
        } catch (Exception | AssertionError e) {
            return "";
        }
    }

    private void terminate() throws Exception {
        Incarnation old = current();
        signal("TERM");
        boolean ended = old.process.process().waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
        if (ended && old.process.process().exitValue() != 0) {
            ledger.violation("ended with " + old.process.process().exitValue() + ": " + old);
        }
        if (!ended) {
            old.recordCall("KILL");
            old.process.close();
        }
        restart();
    }

    private void kill() throws Exception {
        Incarnation old = current();
        old.killed = true;
        old.recordCall("KILL");
        old.process.close();
        startProcess();
        if (random.nextBoolean()) {
            awaitReady();
        }
    }

    private void restart() throws Exception {
        startProcess();
        awaitReady();
    }

    private void suspendProcess() throws Exception {
        signal("STOP");
        TimeUnit.MILLISECONDS.sleep(random.nextInt(150));
        signal("CONT");
    }

    /** Stops the last process gracefully and checks the logs of all processes. */
    void stop(Supplier<List<String>> forbiddenLogTexts) throws Exception {
        awaitReady();
        Incarnation last = current();
        if (!isAlive(last)) {
            return;
        }
        last.process.signal("TERM");
        if (!last.process.process().waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS)) {
            ledger.violation("did not exit after SIGTERM: " + last);
        }
        for (Incarnation one : all) {
            List<String> log = one.process.log().lines().toList();
            for (int n = 0; n < log.size(); n++) {
                if (forbiddenLogTexts.get().stream().anyMatch(log.get(n)::contains)) {
                    ledger.violation(one + ": " + log.subList(Math.max(0, n - 1), Math.min(log.size(), n + 3)));
                }
            }
        }
    }

    void close() {
        all.forEach(one -> one.process.close());
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
