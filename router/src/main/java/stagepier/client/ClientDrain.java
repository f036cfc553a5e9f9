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
 * Sends clients away while a drain is on. Follows the state of the {@link Drain}, not the calls that change it: whatever brought a drain
 * about, and whenever that was, links are closed as its phase says until it ends. On the event loop.
 */
final class ClientDrain {
    /** Links are looked through so often. */
    private static final long LOOK_MS = 5;
    /** Time limits are longer by this, in seconds. */
    private static final double SLACK = 0.05;

    private final EventLoop loop;
    private final Clock clock;
    private final Drain drain;
    private final Collection<ClientLink> links;
    private final DoubleConsumer acceptLast;
    private final InvariantMonitor invariants;
    private final GuardedTask step;
    /** The end of the time of a drain that was checked last. */
    private double checked = Double.NEGATIVE_INFINITY;

    private boolean looking;
    /** In microseconds. */
    private long nextLook;

    /**
     * @param links      all that there are, as they come and go
     * @param acceptLast accepts who waits to be accepted by a process that is about to end
     */
    ClientDrain(
            EventLoop loop,
            Clock clock,
            Drain drain,
            Collection<ClientLink> links,
            DoubleConsumer acceptLast,
            InvariantMonitor invariants) {
        this.loop = loop;
        this.clock = clock;
        this.drain = drain;
        this.links = links;
        this.acceptLast = acceptLast;
        this.invariants = invariants;
        step = new GuardedTask("look through the links of a drain", () -> sendAway(clock.now()));
        drain.addListener((from, to) -> follow());
    }

    /** Does what the state of the drain asks for; harmless at any time. */
    void follow() {
        if (!drain.isOn()) {
            links.forEach(ClientLink::stay);
        } else if (!looking) {
            looking = true;
            look();
        }
    }

    /** Looks through the links once and, while the drain is on, again. */
    private void look() {
        looking = drain.isOn();
        if (!looking) {
            return;
        }
        nextLook = TimeUnit.MILLISECONDS.toMicros(LOOK_MS);
        step.run();
        loop.schedule(this::look, nextLook, TimeUnit.MICROSECONDS);
    }

    /** Closes what the phase allows. */
    private void sendAway(double now) {
        checkThatAllAreGone(now);
        if (drain.isEndingNow(now)) {
            acceptLast.accept(now);
        }
        if (drain.closesAllLinks(now)) {
            settled(now).forEach(link -> ClientListener.act(link, ClientLink::endTaking));
        } else if (drain.phase(now) == Drain.Phase.LAST) {
            settled(now).forEach(link -> ClientListener.act(link, ClientLink::finish));
        } else if (drain.phase(now) == Drain.Phase.LEAVE && sendOneAway(now)) {
            nextLook = (long) (drain.nextCloseIn(now, links.size()) * 1e6);
        }
    }

    /** Once for each drain, at the end of its time. */
    private void checkThatAllAreGone(double now) {
        double idleCloseDeadline = drain.idleCloseDeadline();
        if (now < idleCloseDeadline + SLACK || checked == idleCloseDeadline) {
            return;
        }
        checked = idleCloseDeadline;
        for (ClientLink link : settled(now)) {
            invariants.check(
                    Invariant.GONE_BY_END_OF_DRAIN,
                    !link.isHeldPast(idleCloseDeadline),
                    () -> drain.state() + ", a link that is " + link.behaviour());
        }
    }

    /** All links but those that have just come: the first request is on the way. */
    private List<ClientLink> settled(double now) {
        return links.stream().filter(link -> !link.isFresh(now)).toList();
    }

    /**
     * Closes one idle link or, if none is idle, has one close after its next answer; returns whether there was one. Guards against
     * closing on a request that has just come: of each it is looked whether something has come right before it is closed, and all
     * sockets are read between one and the next.
     */
    private boolean sendOneAway(double now) {
        List<ClientLink> all = List.copyOf(links);
        return all.stream().anyMatch(link -> succeeds(link, one -> one.leaveIfIdle(now)))
                || all.stream().anyMatch(link -> succeeds(link, one -> one.leaveWhenIdle(now)));
    }

    /** The same as the action says; no where it fails. */
    private static boolean succeeds(ClientLink link, Predicate<ClientLink> action) {
        boolean[] done = new boolean[1];
        ClientListener.act(link, one -> done[0] = action.test(one));
        return done[0];
    }
}
