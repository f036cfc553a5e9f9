package stagepier.client;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.Predicate;
import stagepier.drain.Drain;
import stagepier.exchange.Clock;
import stagepier.invariants.Invariant;
import stagepier.invariants.InvariantMonitor;
import stagepier.tasks.GuardedTask;

/**
 * Closes client links during a drain. It acts on the state of the {@link Drain} rather than on the calls that change
 * it: whatever started the drain, and whenever, links are closed as the phase requires until the drain ends. Runs on
 * the event loop.
 */
final class ClientDrain {
    /** Interval between two checks of all links. */
    private static final long CHECK_INTERVAL_MS = 5;
    /** In seconds. Tolerance that is added to the time limit before the check. */
    private static final double CHECK_TOLERANCE = 0.05;

    private final EventLoop loop;
    private final Clock clock;
    private final Drain drain;
    private final Collection<ClientLink> links;
    private final DoubleConsumer acceptRemaining;
    private final InvariantMonitor invariants;
    private final GuardedTask checkTask;
    /** Deadline of the last drain that was checked. */
    private double checkedDeadline = Double.NEGATIVE_INFINITY;

    private boolean checking;
    /** In microseconds. */
    private long nextCheckMicros;

    /**
     * @param links all client links, a live view
     * @param acceptRemaining accepts the connections that still wait in the backlog when the process is about to end
     */
    ClientDrain(
            EventLoop loop,
            Clock clock,
            Drain drain,
            Collection<ClientLink> links,
            DoubleConsumer acceptRemaining,
            InvariantMonitor invariants) {
        this.loop = loop;
        this.clock = clock;
        this.drain = drain;
        this.links = links;
        this.acceptRemaining = acceptRemaining;
        this.invariants = invariants;
        checkTask = new GuardedTask("check of client links during a drain", () -> closeLinks(clock.now()));
        drain.addListener((from, to) -> onStateChanged());
    }

    /** Applies the current state of the drain; may be called at any time. */
    void onStateChanged() {
        if (!drain.isDraining()) {
            links.forEach(ClientLink::cancelDrain);
        } else if (!checking) {
            checking = true;
            check();
        }
    }

    /** Checks all links once, and again after an interval while the drain is on. */
    private void check() {
        checking = drain.isDraining();
        if (!checking) {
            return;
        }
        nextCheckMicros = TimeUnit.MILLISECONDS.toMicros(CHECK_INTERVAL_MS);
        try {
            checkTask.run();
        } finally {
            loop.schedule(this::check, nextCheckMicros, TimeUnit.MICROSECONDS);
        }
    }

    /** Closes the links that the phase allows to close. */
    private void closeLinks(double now) {
        checkAllClosed(now);
        if (drain.isEndingNow(now)) {
            acceptRemaining.accept(now);
        }
        if (drain.closesAllLinks(now)) {
            establishedLinks(now).forEach(link -> link.runGuarded(link::closeUnlessOwed));
        } else if (drain.phase(now) == Drain.Phase.LAST) {
            establishedLinks(now).forEach(link -> link.runGuarded(link::rejectLaterCommands));
        } else if (drain.phase(now) == Drain.Phase.CLOSE_IDLE && closeOneLink(now)) {
            nextCheckMicros = (long) (drain.nextCloseIn(now, links.size()) * 1e6);
        }
    }

    /** Checks once per drain, after its deadline, that no link is still held. */
    private void checkAllClosed(double now) {
        double idleCloseDeadline = drain.idleCloseDeadline();
        if (now < idleCloseDeadline + CHECK_TOLERANCE || checkedDeadline == idleCloseDeadline) {
            return;
        }
        checkedDeadline = idleCloseDeadline;
        for (ClientLink link : establishedLinks(now)) {
            invariants.check(
                    Invariant.GONE_BY_END_OF_DRAIN,
                    !link.isHeldPast(idleCloseDeadline),
                    () -> drain.state() + ", link behaviour " + link.behaviour());
        }
    }

    /** All links except new ones, whose first request may be on its way. */
    private List<ClientLink> establishedLinks(double now) {
        return links.stream().filter(link -> !link.isNew(now)).toList();
    }

    /**
     * Closes one idle link or, if none is idle, marks one to be closed after its next answer; returns whether there was
     * one. Only one link is closed per check, and its socket is read right before, so that a request that has just
     * arrived is not lost: all sockets are read between one close and the next.
     */
    private boolean closeOneLink(double now) {
        List<ClientLink> all = List.copyOf(links);
        return all.stream().anyMatch(link -> tryOn(link, one -> one.closeIfIdleForDrain(now)))
                || all.stream().anyMatch(link -> tryOn(link, one -> one.closeAfterAnswer(now)));
    }

    /** Returns the result of the action, or false if the action fails. */
    private static boolean tryOn(ClientLink link, Predicate<ClientLink> action) {
        boolean[] done = new boolean[1];
        link.runGuarded(() -> done[0] = action.test(link));
        return done[0];
    }
}
