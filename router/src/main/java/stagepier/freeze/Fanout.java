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
 * Asks many routers at once: a few tasks make the calls, so that one that is silent keeps no other one waiting. Those that
 * answered last time are asked first.
 */
final class Fanout {
    private static final int WORKERS_MOST = 16;
    private static final Duration IDLE = Duration.ofHours(1);

    private record Errand(String to, Message message, long until, Round round) {}

    /** Takes the replies to one question; what comes after its end is left. */
    private static final class Round {
        private final Tally tally;
        private final Predicate<Tally> enough;
        private final Mailbox<Boolean> ended;
        private int open;
        private boolean over;

        Round(Tally tally, Predicate<Tally> enough, int open, Mailbox<Boolean> ended) {
            this.tally = tally;
            this.enough = enough;
            this.open = open;
            this.ended = ended;
        }

        /** @param reply null where none came, or one that makes no sense */
        synchronized void take(String from, RegisterResponse reply) {
            if (over) {
                return;
            }
            if (reply != null) {
                tally.add(from, reply);
            }
            open--;
            if (open == 0 || enough.test(tally)) {
                over = true;
                ended.put(true);
            }
        }

        synchronized void end() {
            over = true;
        }
    }

    private final Tasks tasks;
    private final FleetRpc calls;
    private final Collection<String> others;
    private final Map<String, Boolean> silent = new ConcurrentHashMap<>();
    /** Tasks that have nothing to do, each by what wakes it; what is to be done lies in {@code errands}. */
    private final ConcurrentLinkedQueue<Mailbox<Boolean>> idle = new ConcurrentLinkedQueue<>();

    private final ConcurrentLinkedQueue<Errand> errands = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final int most;

    Fanout(Tasks tasks, FleetRpc calls, Collection<String> others) {
        this.tasks = tasks;
        this.calls = calls;
        this.others = others;
        most = Math.max(16, others.size() * 8);
    }

    void start() {
        for (int i = 0; i < Math.min(WORKERS_MOST, others.size()); i++) {
            Mailbox<Boolean> wake = tasks.mailbox(1);
            tasks.start("calendar-call-" + i, () -> work(wake));
        }
    }

    private void work(Mailbox<Boolean> wake) throws InterruptedException {
        while (true) {
            Errand errand = errands.poll();
            if (errand == null) {
                idle.add(wake);
                // Sent between the look and the word that this one is idle.
                errand = errands.poll();
                if (errand == null) {
                    wake.take(IDLE);
                }
                idle.remove(wake);
            }
            if (errand != null) {
                waiting.decrementAndGet();
                errand.round().take(errand.to(), ask(errand));
            }
        }
    }

    private boolean send(Errand errand) {
        if (waiting.get() >= most) {
            return false;
        }
        waiting.incrementAndGet();
        errands.add(errand);
        Mailbox<Boolean> one = idle.poll();
        if (one != null) {
            one.put(true);
        }
        return true;
    }

    private RegisterResponse ask(Errand errand) throws InterruptedException {
        long left = errand.until() - tasks.nanoTime();
        if (left <= 0) {
            return null;
        }
        try {
            RegisterResponse reply = calls.call(errand.to(), errand.message(), Duration.ofNanos(left))
                    .read(RegisterResponse.class);
            silent.remove(errand.to());
            return reply.whole() ? reply : null;
        } catch (FleetRpc.NoReplyException | Message.MalformedException e) {
            silent.put(errand.to(), true);
            return null;
        }
    }

    /**
     * Asks all others.
     *
     * @param call   what each is asked
     * @param most   by then the round is over
     * @param enough looked at after each reply: the round is over where it holds
     * @param tally  takes the replies
     */
    void ask(Function<String, Message> call, Duration most, Tally tally, Predicate<Tally> enough)
            throws InterruptedException {
        ask(order(), call, most, tally, enough);
    }

    /** Asks only some. */
    void ask(List<String> whom, Function<String, Message> call, Duration most, Tally tally, Predicate<Tally> enough)
            throws InterruptedException {
        if (whom.isEmpty() || enough.test(tally)) {
            return;
        }
        long until = tasks.nanoTime() + most.toNanos();
        Round round = new Round(tally, enough, whom.size(), tasks.mailbox(1));
        for (String name : whom) {
            if (!send(new Errand(name, call.apply(name), until, round))) {
                round.take(name, null);
            }
        }
        Boolean ended = null;
        for (long left = most.toNanos(); ended == null && left > 0; left = until - tasks.nanoTime()) {
            ended = round.ended.take(Duration.ofNanos(left));
        }
        round.end();
    }

    /** Sends to all others, and waits for no reply. */
    void broadcast(Function<String, Message> call, Duration within) {
        long until = tasks.nanoTime() + within.toNanos();
        Round nobodyWaits = new Round(new Tally(), t -> false, others.size(), tasks.mailbox(1));
        order().forEach(name -> send(new Errand(name, call.apply(name), until, nobodyWaits)));
    }

    /** Those that answered last first. */
    List<String> order() {
        List<String> order = new ArrayList<>();
        others.stream().filter(name -> !silent.containsKey(name)).forEach(order::add);
        others.stream().filter(silent::containsKey).forEach(order::add);
        return order;
    }
}
