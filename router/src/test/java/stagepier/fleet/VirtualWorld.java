package stagepier.fleet;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import stagepier.tasks.Mailbox;
import stagepier.tasks.Tasks;

/**
 * Runs tasks one at a time in virtual time, in an order derived from a seed, so that the same seed gives the same
 * history. Time does not advance while a task runs. Each {@link Node} is a process with its own wall clock, which can
 * be killed, paused and started again.
 */
public final class VirtualWorld implements AutoCloseable {
    private static final Instant START = Instant.parse("2026-12-02T18:00:00Z");

    private record Event(long at, int tie, long number, Node node, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Long.compare(at, o.at);
            int byTie = byTime != 0 ? byTime : Integer.compare(tie, o.tie);
            return byTie != 0 ? byTie : Long.compare(number, o.number);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Semaphore yielded = new Semaphore(0);
    private final ArrayDeque<Worker> idle = new ArrayDeque<>();
    private final List<Worker> workers = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private Worker current;
    private long now = 1_000_000_000L;
    private long nextNumber;
    /** Set when the world is closed; all threads then end in their current wait. */
    private volatile boolean closed;

    public VirtualWorld(long seed) {
        random = new Random(seed);
    }

    /** Returns the random source of the whole history, for other random choices in it. */
    public Random random() {
        return random;
    }

    /** Returns the seconds since the start. */
    public double seconds() {
        return (now - 1_000_000_000L) / 1e9;
    }

    /** Creates a process that starts now and whose wall clock has an offset. */
    public Node node(String name, Duration wallOffset) {
        return new Node(name, wallOffset);
    }

    /** Runs an action after the given time, outside of any process. */
    public void after(Duration time, Runnable action) {
        add(now + time.toNanos(), null, action);
    }

    /** Runs an action as input of a process: delayed while the process is paused, dropped once it is dead. */
    public void deliver(Duration time, Node node, Runnable action) {
        add(now + time.toNanos(), node, action);
    }

    private void add(long at, Node node, Runnable action) {
        events.add(new Event(at, random.nextInt(), nextNumber++, node, action));
    }

    /** Advances the time. */
    public void run(Duration time) {
        runUntil(() -> false, time);
    }

    /** Advances the time until a condition, checked after each step, is true; returns whether it is. */
    public boolean runUntil(BooleanSupplier condition, Duration timeout) {
        long deadline = now + timeout.toNanos();
        while (!condition.getAsBoolean()) {
            Event next = events.peek();
            if (next == null || next.at() > deadline) {
                now = deadline;
                return condition.getAsBoolean();
            }
            events.poll();
            now = next.at();
            step(next);
        }
        return true;
    }

    private void step(Event e) {
        if (e.node() != null && e.node().dead) {
            return;
        }
        if (e.node() != null && e.node().pausedUntil > now) {
            add(e.node().pausedUntil, e.node(), e.action());
            return;
        }
        e.action().run();
        if (!failures.isEmpty()) {
            throw new AssertionError("a task failed at " + seconds() + " s", failures.get(0));
        }
    }

    @Override
    public void close() {
        closed = true;
        workers.forEach(w -> w.thread.interrupt());
    }

    /** A thread that runs one task after another. */
    private final class Worker {
        private final Semaphore resumed = new Semaphore(0);
        private final Thread thread = new Thread(null, this::run, "virtual", 256 * 1024);
        private Node node;
        private Tasks.Body body;

        Worker() {
            thread.setDaemon(true);
            thread.start();
        }

        /** Called on the test thread: runs the task until it waits or ends. */
        void resume() {
            Worker previous = current;
            current = this;
            resumed.release();
            try {
                if (!yielded.tryAcquire(20, TimeUnit.SECONDS)) {
                    AssertionError stuck =
                            new AssertionError("a task did not yield within 20 s: it waits by other means than Tasks, "
                                    + "or for a lock that a waiting task holds");
                    stuck.setStackTrace(thread.getStackTrace());
                    throw stuck;
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            current = previous;
        }

        /** Called on the worker's thread: returns control to the test thread until the worker is resumed. */
        void yieldToTest() throws InterruptedException {
            yielded.release();
            resumed.acquire();
        }

        private void run() {
            try {
                for (; ; ) {
                    resumed.acquire();
                    try {
                        body.run();
                    } catch (InterruptedException e) {
                        if (!node.stopping && !closed) {
                            failures.add(e);
                        }
                    } catch (RuntimeException | Error e) {
                        failures.add(e);
                    }
                    if (closed) {
                        return;
                    }
                    idle.push(this);
                    yielded.release();
                }
            } catch (InterruptedException e) {
                // The world is closed.
                return;
            }
        }
    }

    /** One wait of one task. */
    private static final class Wait {
        private final Worker worker;
        private boolean ended;

        Wait(Worker worker) {
            this.worker = worker;
        }

        void end() {
            if (!ended) {
                ended = true;
                worker.resume();
            }
        }
    }

    /** One process from its start to its end. */
    public final class Node implements Tasks {
        private final String name;
        private final Set<Wait> waits = new LinkedHashSet<>();
        private Duration wallOffset;
        private boolean stopping;
        private boolean dead;
        private long pausedUntil;

        private Node(String name, Duration wallOffset) {
            this.name = name;
            this.wallOffset = wallOffset;
        }

        public String name() {
            return name;
        }

        public boolean isDead() {
            return dead;
        }

        /** Ends the process at once, as by SIGKILL. Called from outside its tasks. */
        public void kill() {
            stop();
            dead = true;
        }

        /** Pauses the process for the given time, as by SIGSTOP and SIGCONT. */
        public void standStill(Duration time) {
            pausedUntil = Math.max(pausedUntil, now + time.toNanos());
        }

        /** Moves the wall clock of the process forward or back. */
        public void jump(Duration by) {
            wallOffset = wallOffset.plus(by);
        }

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public Clock wall() {
            return new Clock() {
                @Override
                public ZoneId getZone() {
                    return ZoneOffset.UTC;
                }

                @Override
                public Clock withZone(ZoneId zone) {
                    return this;
                }

                @Override
                public Instant instant() {
                    return START.plusNanos(now).plus(wallOffset);
                }
            };
        }

        @Override
        public void sleep(Duration time) throws InterruptedException {
            await(new Wait(current), time);
        }

        private void await(Wait wait, Duration time) throws InterruptedException {
            if (current == null) {
                throw new IllegalStateException("only a task may wait");
            }
            if (stopping) {
                throw new InterruptedException();
            }
            waits.add(wait);
            add(now + Math.max(0, time.toNanos()), this, wait::end);
            wait.worker.yieldToTest();
            waits.remove(wait);
            if (stopping) {
                throw new InterruptedException();
            }
        }

        @Override
        public void start(String task, Body body) {
            if (stopping) {
                return;
            }
            add(now, this, () -> {
                Worker worker = idle.isEmpty() ? newWorker() : idle.pop();
                worker.node = this;
                worker.body = body;
                worker.resume();
            });
        }

        private Worker newWorker() {
            Worker worker = new Worker();
            workers.add(worker);
            return worker;
        }

        @Override
        public void stop() {
            stopping = true;
            for (Wait wait : List.copyOf(waits)) {
                if (wait.worker != current) {
                    wait.end();
                }
            }
        }

        @Override
        public <T> Mailbox<T> mailbox(int bound) {
            return new VirtualMailbox<>(this, bound);
        }
    }

    private final class VirtualMailbox<T> implements Mailbox<T> {
        private final Node node;
        private final int bound;
        private final ArrayDeque<T> items = new ArrayDeque<>();
        private Wait taker;
        private long dropped;

        VirtualMailbox(Node node, int bound) {
            this.node = node;
            this.bound = bound;
        }

        @Override
        public boolean put(T item) {
            if (items.size() >= bound) {
                dropped++;
                return false;
            }
            items.add(item);
            if (taker != null) {
                add(now, node, taker::end);
            }
            return true;
        }

        @Override
        public T take(Duration timeout) throws InterruptedException {
            if (items.isEmpty()) {
                taker = new Wait(current);
                try {
                    node.await(taker, timeout);
                } finally {
                    taker = null;
                }
            }
            return items.poll();
        }

        @Override
        public long dropped() {
            return dropped;
        }
    }
}
