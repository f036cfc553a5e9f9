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
 * Runs tasks one at a time in virtual time, in an order drawn from a seed: same seed, same history. Time stands still while a task
 * runs. Each {@link Node} is a process with a wall clock of its own, which can be killed, stopped in its tracks and started again.
 */
public final class VirtualWorld implements AutoCloseable {
    private static final Instant START = Instant.parse("2026-12-02T18:00:00Z");

    private record Event(long at, int tie, long number, Node node, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Long.compare(at, o.at);
            int byTie = byTime != 0 ? byTime : Integer.compare(tie, o.tie);
            return byTie != 0 ? byTie : Long.compare(number, o.number);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Semaphore baton = new Semaphore(0);
    private final ArrayDeque<Worker> idle = new ArrayDeque<>();
    private final List<Worker> workers = new ArrayList<>();
    private final List<Throwable> faults = new ArrayList<>();
    private Worker current;
    private long now = 1_000_000_000L;
    private long numbers;
    /** Its threads end, all at once, each where it waits. */
    private volatile boolean closed;

    public VirtualWorld(long seed) {
        random = new Random(seed);
    }

    /** For what else a history draws: one source for all of it. */
    public Random random() {
        return random;
    }

    /** Seconds since the beginning. */
    public double seconds() {
        return (now - 1_000_000_000L) / 1e9;
    }

    /** A process that starts now, with a wall clock that is off by so much. */
    public Node node(String name, Duration wallOff) {
        return new Node(name, wallOff);
    }

    /** Does something at a time from now, on nobody's task. */
    public void after(Duration time, Runnable what) {
        add(now + time.toNanos(), null, what);
    }

    /** The same, as something that reaches that process: late while it stands still, never once it is dead. */
    public void reach(Duration time, Node node, Runnable what) {
        add(now + time.toNanos(), node, what);
    }

    private void add(long at, Node node, Runnable what) {
        events.add(new Event(at, random.nextInt(), numbers++, node, what));
    }

    /** Lets time go on. */
    public void run(Duration time) {
        runUntil(() -> false, time);
    }

    /** Lets time go on until something holds, looked at after each step; says whether it came to hold. */
    public boolean runUntil(BooleanSupplier holds, Duration most) {
        long until = now + most.toNanos();
        while (!holds.getAsBoolean()) {
            Event next = events.peek();
            if (next == null || next.at() > until) {
                now = until;
                return holds.getAsBoolean();
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
        if (e.node() != null && e.node().standsUntil > now) {
            add(e.node().standsUntil, e.node(), e.what());
            return;
        }
        e.what().run();
        if (!faults.isEmpty()) {
            throw new AssertionError("a task failed at " + seconds() + " s", faults.get(0));
        }
    }

    @Override
    public void close() {
        closed = true;
        workers.forEach(w -> w.thread.interrupt());
    }

    /** A thread that runs a task, and afterwards another. */
    private final class Worker {
        private final Semaphore go = new Semaphore(0);
        private final Thread thread = new Thread(null, this::run, "virtual", 256 * 1024);
        private Node node;
        private Tasks.Body body;

        Worker() {
            thread.setDaemon(true);
            thread.start();
        }

        /** On the thread of the test: lets the task run until it waits or ends. */
        void resume() {
            Worker before = current;
            current = this;
            go.release();
            try {
                if (!baton.tryAcquire(20, TimeUnit.SECONDS)) {
                    AssertionError stuck =
                            new AssertionError("a task waits by other means than Tasks, or for a lock that one holds");
                    stuck.setStackTrace(thread.getStackTrace());
                    throw stuck;
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            current = before;
        }

        /** On its own thread: hands over to the test until it is resumed. */
        void hand() throws InterruptedException {
            baton.release();
            go.acquire();
        }

        private void run() {
            try {
                for (; ; ) {
                    go.acquire();
                    try {
                        body.run();
                    } catch (InterruptedException e) {
                        if (!node.ending && !closed) {
                            faults.add(e);
                        }
                    } catch (RuntimeException | Error e) {
                        faults.add(e);
                    }
                    if (closed) {
                        return;
                    }
                    idle.push(this);
                    baton.release();
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
        private boolean over;

        Wait(Worker worker) {
            this.worker = worker;
        }

        void end() {
            if (!over) {
                over = true;
                worker.resume();
            }
        }
    }

    /** One process from its start to its end. */
    public final class Node implements Tasks {
        private final String name;
        private final Set<Wait> waits = new LinkedHashSet<>();
        private Duration wallOff;
        private boolean ending;
        private boolean dead;
        private long standsUntil;

        private Node(String name, Duration wallOff) {
            this.name = name;
            this.wallOff = wallOff;
        }

        public String name() {
            return name;
        }

        public boolean isDead() {
            return dead;
        }

        /** It ends without a word, as by SIGKILL. From outside its tasks. */
        public void kill() {
            stop();
            dead = true;
        }

        /** It stands still, as by SIGSTOP, and goes on after that. */
        public void standStill(Duration time) {
            standsUntil = Math.max(standsUntil, now + time.toNanos());
        }

        /** Sets its wall clock on or back. */
        public void jump(Duration by) {
            wallOff = wallOff.plus(by);
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
                    return START.plusNanos(now).plus(wallOff);
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
            if (ending) {
                throw new InterruptedException();
            }
            waits.add(wait);
            add(now + Math.max(0, time.toNanos()), this, wait::end);
            wait.worker.hand();
            waits.remove(wait);
            if (ending) {
                throw new InterruptedException();
            }
        }

        @Override
        public void start(String task, Body body) {
            if (ending) {
                return;
            }
            add(now, this, () -> {
                Worker worker = idle.isEmpty() ? fresh() : idle.pop();
                worker.node = this;
                worker.body = body;
                worker.resume();
            });
        }

        private Worker fresh() {
            Worker worker = new Worker();
            workers.add(worker);
            return worker;
        }

        @Override
        public void stop() {
            ending = true;
            for (Wait wait : List.copyOf(waits)) {
                if (wait.worker != current) {
                    wait.end();
                }
            }
        }

        @Override
        public <T> Mailbox<T> mailbox(int bound) {
            return new VirtualBox<>(this, bound);
        }
    }

    private final class VirtualBox<T> implements Mailbox<T> {
        private final Node node;
        private final int bound;
        private final ArrayDeque<T> things = new ArrayDeque<>();
        private Wait taker;
        private long dropped;

        VirtualBox(Node node, int bound) {
            this.node = node;
            this.bound = bound;
        }

        @Override
        public boolean put(T thing) {
            if (things.size() >= bound) {
                dropped++;
                return false;
            }
            things.add(thing);
            if (taker != null) {
                add(now, node, taker::end);
            }
            return true;
        }

        @Override
        public T take(Duration most) throws InterruptedException {
            if (things.isEmpty()) {
                taker = new Wait(current);
                try {
                    node.await(taker, most);
                } finally {
                    taker = null;
                }
            }
            return things.poll();
        }

        @Override
        public long dropped() {
            return dropped;
        }
    }
}
