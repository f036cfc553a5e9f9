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

/** A router of a soak through its restarts, with staff and signals drawn by a seed. */
final class SoakRouter implements Runnable {
    private static final int GONE_WITHIN_MS = 4000;
    /** Time limits are longer by this; and so much is for the threads of the test. */
    private static final int SLACK_MS = 150;
    /** A connection that came within so many milliseconds before the end of a drain may be waiting for its first word. */
    private static final int FRESH_MS = 600;

    private static final int LATE_REQUEST_MS = 2000;
    /** The longest deadline of the settings and 0.7 s. */
    private static final int KILLED_AFTER_MS = 2700;

    private static final int READY_MOST_MS = 30_000;
    private static final int YES_WITHIN_MS = 2000;

    /** One process of it. */
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

        private synchronized void note(String call) {
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
        begin();
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

    private void begin() throws IOException {
        Path own = Files.createDirectories(folder.resolve(Integer.toString(all.size())));
        Incarnation next = new Incarnation(
                all.size(), RouterProcess.withConsole(own, agent, faults.environment(), entries), folder);
        all.add(next);
        current.set(next);
    }

    /** Until it says that it serves, or that it is paused. */
    void awaitReady() throws InterruptedException {
        await("ready", READY_MOST_MS, () -> {
            String status = current().process.says("STATUS");
            return status.startsWith("OK") || status.startsWith("ERR paused");
        });
    }

    /** Until its console answers: before that a JVM may not have come to its own code, and a signal ends it. */
    private void awaitHandlers() throws InterruptedException {
        await(
                "at its console",
                READY_MOST_MS,
                () -> !current().process.says("STATUS").isEmpty());
    }

    private void await(String what, int mostMs, BooleanSupplier condition) throws InterruptedException {
        long from = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (millisSince(from) > mostMs) {
                ledger.broken("not " + what + " within " + mostMs + " ms: " + current());
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void run() {
        try {
            while (!isOver.getAsBoolean()) {
                act();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(700));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            ledger.broken("the soak itself failed at " + current() + ": " + e);
        }
    }

    /** Whether its process is there, which nobody has ended. */
    private boolean isAlive(Incarnation one) throws IOException {
        if (one.process.process().isAlive()) {
            return true;
        }
        List<String> log = one.process.log().lines().toList();
        ledger.broken("crashed with " + one.process.process().exitValue() + ": " + one + " "
                + log.subList(Math.max(0, log.size() - 3), log.size()));
        return false;
    }

    private void act() throws Exception {
        if (!isAlive(current())) {
            restart();
        }
        awaitHandlers();
        switch (random.nextInt(8)) {
            case 0 -> pauseToItsEnd();
            case 1 -> pauseAndResume();
            case 2 -> pauseThenTerminate();
            case 3 -> terminate();
            case 4 -> kill();
            case 5 -> pauseWhileStarting();
            case 6 -> signal("HUP");
            default -> standStill();
        }
    }

    private boolean call(String line) {
        current().note(line);
        return current().process.says(line).startsWith("OK");
    }

    private void signal(String name) throws Exception {
        current().note(name);
        current().process.signal(name);
    }

    private void pauseToItsEnd() throws Exception {
        long at = System.nanoTime();
        if (call("PAUSE")) {
            awaitGone(current(), at);
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
            await("yes again", YES_WITHIN_MS, () -> "MN".equals(alive(current())));
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
        await("called", READY_MOST_MS, () -> {
            at[0] = System.nanoTime();
            return current().process.says("PAUSE").startsWith("OK");
        });
        current().note("PAUSE-early");
        awaitReady();
        awaitGone(current(), Math.max(at[0], System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(LATE_REQUEST_MS)));
        resume();
    }

    private void awaitGone(Incarnation paused, long at) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, GONE_WITHIN_MS + SLACK_MS - millisSince(at)));
        if ("MN".equals(alive(paused))) {
            ledger.broken("says yes after PAUSE: " + paused);
        }
        long freshAt = at + TimeUnit.MILLISECONDS.toNanos(GONE_WITHIN_MS - FRESH_MS);
        long lateAt = at + TimeUnit.MILLISECONDS.toNanos(LATE_REQUEST_MS + SLACK_MS);
        for (SoakClient client : clients) {
            SoakConnection held = client.connection();
            if (held != null && held.incarnation() == paused && held.isHeld(freshAt, lateAt)) {
                ledger.broken("lost: held " + millisSince(at) + " ms after PAUSE, " + held);
            }
        }
    }

    /** What it answers a probe with; nothing where it cannot be asked. */
    private static String alive(Incarnation incarnation) {
        try {
            return incarnation.process.ask("mn");
        } catch (Exception | AssertionError e) {
            return "";
        }
    }

    private void terminate() throws Exception {
        Incarnation old = current();
        signal("TERM");
        boolean ended = old.process.process().waitFor(KILLED_AFTER_MS, TimeUnit.MILLISECONDS);
        if (ended && old.process.process().exitValue() != 0) {
            ledger.broken("ended with " + old.process.process().exitValue() + ": " + old);
        }
        if (!ended) {
            old.note("KILL");
            old.process.close();
        }
        restart();
    }

    private void kill() throws Exception {
        Incarnation old = current();
        old.killed = true;
        old.note("KILL");
        old.process.close();
        begin();
        if (random.nextBoolean()) {
            awaitReady();
        }
    }

    private void restart() throws Exception {
        begin();
        awaitReady();
    }

    private void standStill() throws Exception {
        signal("STOP");
        TimeUnit.MILLISECONDS.sleep(random.nextInt(150));
        signal("CONT");
    }

    /** Ends the last process in order, and looks through all logs. */
    void end(Supplier<List<String>> faultsOfLog) throws Exception {
        awaitReady();
        Incarnation last = current();
        if (!isAlive(last)) {
            return;
        }
        last.process.signal("TERM");
        if (!last.process.process().waitFor(KILLED_AFTER_MS, TimeUnit.MILLISECONDS)) {
            ledger.broken("did not end: " + last);
        }
        for (Incarnation one : all) {
            List<String> log = one.process.log().lines().toList();
            for (int n = 0; n < log.size(); n++) {
                if (faultsOfLog.get().stream().anyMatch(log.get(n)::contains)) {
                    ledger.broken(one + ": " + log.subList(Math.max(0, n - 1), Math.min(log.size(), n + 3)));
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
