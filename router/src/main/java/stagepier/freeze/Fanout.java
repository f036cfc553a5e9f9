package stagepier.freeze;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import stagepier.fleet.FleetRpc;
import stagepier.fleet.Message;
import stagepier.tasks.Mailbox;
import stagepier.tasks.Tasks;

/**
 * Sends a request to many routers concurrently. A pool of tasks makes the calls, so that an unresponsive router does
 * not delay the calls to others. Routers that answered their last call are queried first.
 */
final class Fanout {
    private static final int MAX_WORKERS = 16;
    private static final Duration IDLE_WAIT = Duration.ofHours(1);

    private record PendingCall(String to, Message message, long deadline, Round round) {}

    /** Collects the replies to one request; replies that arrive after the round has finished are ignored. */
    private static final class Round {
        private final Tally tally;
        private final Predicate<Tally> complete;
        private final Mailbox<Boolean> completion;
        private int outstanding;
        private boolean finished;

        Round(Tally tally, Predicate<Tally> complete, int outstanding, Mailbox<Boolean> completion) {
            this.tally = tally;
            this.complete = complete;
            this.outstanding = outstanding;
            this.completion = completion;
        }

        /** @param reply null if there was none or it was malformed */
        synchronized void accept(String from, RegisterResponse reply) {
            if (finished) {
                return;
            }
            if (reply != null) {
                tally.add(from, reply);
            }
            outstanding--;
            if (outstanding == 0 || complete.test(tally)) {
                finished = true;
                completion.put(true);
            }
        }

        synchronized void end() {
            finished = true;
        }
    }

    private final Tasks tasks;
    private final FleetRpc calls;
    private final Collection<String> others;
    private final Map<String, Boolean> unresponsive = new ConcurrentHashMap<>();
    /** The wake-up mailboxes of idle tasks; calls to be made are queued in {@code pendingCalls}. */
    private final ConcurrentLinkedQueue<Mailbox<Boolean>> idle = new ConcurrentLinkedQueue<>();

    private final ConcurrentLinkedQueue<PendingCall> pendingCalls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queued = new AtomicInteger();
    private final int maxQueued;

    Fanout(Tasks tasks, FleetRpc calls, Collection<String> others) {
        this.tasks = tasks;
        this.calls = calls;
        this.others = others;
        maxQueued = Math.max(16, others.size() * 8);
    }

    void start() {
        for (int i = 0; i < Math.min(MAX_WORKERS, others.size()); i++) {
            Mailbox<Boolean> wakeup = tasks.mailbox(1);
            tasks.start("calendar-call-" + i, () -> work(wakeup));
        }
    }

    private void work(Mailbox<Boolean> wakeup) throws InterruptedException {
        while (true) {
            PendingCall pending = pendingCalls.poll();
            if (pending == null) {
                idle.add(wakeup);
                // A call may have been queued between the first poll and the registration as idle.
                pending = pendingCalls.poll();
                if (pending == null) {
                    wakeup.take(IDLE_WAIT);
                }
                idle.remove(wakeup);
            }
            if (pending != null) {
                queued.decrementAndGet();
                pending.round().accept(pending.to(), execute(pending));
            }
        }
    }

    private boolean send(PendingCall pending) {
        if (queued.get() >= maxQueued) {
            return false;
        }
        queued.incrementAndGet();
        pendingCalls.add(pending);
        Mailbox<Boolean> worker = idle.poll();
        if (worker != null) {
            worker.put(true);
        }
        return true;
    }

    private RegisterResponse execute(PendingCall pending) throws InterruptedException {
        long left = pending.deadline() - tasks.nanoTime();
        if (left <= 0) {
            return null;
        }
        try {
            RegisterResponse reply = calls.call(pending.to(), pending.message(), Duration.ofNanos(left))
                    .read(RegisterResponse.class);
            unresponsive.remove(pending.to());
            return reply.isComplete() ? reply : null;
        } catch (FleetRpc.NoReplyException | Message.MalformedException e) {
            unresponsive.put(pending.to(), true);
            return null;
        }
    }

    /**
     * Queries all other routers and waits for the end of the round.
     *
     * @param call     makes the request for a router
     * @param timeout  after which the round ends
     * @param tally    collects the replies
     * @param complete evaluated after each reply; ends the round if true
     */
    void query(Function<String, Message> call, Duration timeout, Tally tally, Predicate<Tally> complete)
            throws InterruptedException {
        query(order(), call, timeout, tally, complete);
    }

    /** Queries only the given routers. */
    void query(
            List<String> peers,
            Function<String, Message> call,
            Duration timeout,
            Tally tally,
            Predicate<Tally> complete)
            throws InterruptedException {
        if (peers.isEmpty() || complete.test(tally)) {
            return;
        }
        long deadline = tasks.nanoTime() + timeout.toNanos();
        Round round = new Round(tally, complete, peers.size(), tasks.mailbox(1));
        for (String name : peers) {
            if (!send(new PendingCall(name, call.apply(name), deadline, round))) {
                round.accept(name, null);
            }
        }
        Boolean completion = null;
        for (long left = timeout.toNanos(); completion == null && left > 0; left = deadline - tasks.nanoTime()) {
            completion = round.completion.take(Duration.ofNanos(left));
        }
        round.end();
    }

    /** Sends a message to all other routers without waiting for replies. */
    void broadcast(Function<String, Message> call, Duration within) {
        long deadline = tasks.nanoTime() + within.toNanos();
        Round ignoredRound = new Round(new Tally(), t -> false, others.size(), tasks.mailbox(1));
        order().forEach(name -> send(new PendingCall(name, call.apply(name), deadline, ignoredRound)));
    }

    /** Returns the other routers, those that answered their last call first. */
    List<String> order() {
        List<String> order = new ArrayList<>();
        others.stream().filter(name -> !unresponsive.containsKey(name)).forEach(order::add);
        others.stream().filter(unresponsive::containsKey).forEach(order::add);
        return order;
    }
}
