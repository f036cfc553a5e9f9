package stagepier.server;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import stagepier.Api;
import stagepier.overload.SilenceDetector;
import stagepier.overload.TokenBucket;

/** The links to one cache server; owns them. */
final class ServerPool {
    /** Links to one server given up for their silence alone: a new one costs it a handshake. */
    private static final double GIVEN_UP_A_SECOND = 2;

    private static final double GIVEN_UP_AT_ONCE = 4;
    /** Seconds after which it is tried again where no more may be given up now. */
    private static final double AGAIN_IN = 0.02;

    private final ServerPools pools;
    private final List<ServerLink> links = new ArrayList<>();
    private final SilenceDetector silence;
    private final TokenBucket givenUp = new TokenBucket(GIVEN_UP_A_SECOND, GIVEN_UP_AT_ONCE);
    private InetSocketAddress address;
    private boolean retired;
    /** The next look for silent links, and when it is; null for none. */
    private Future<?> looking;

    private double lookAt;

    ServerPool(ServerPools pools) {
        this.pools = pools;
        silence = new SilenceDetector(pools.shortestDeadline());
    }

    SilenceDetector silence() {
        return silence;
    }

    /** An answer came on a link to what was handed to it at that time, after so long as the first in its order. */
    void answered(ServerLink on, double sentAt, double wait) {
        silence.answered(wait);
        for (ServerLink link : links) {
            if (link != on && link.passedBy(sentAt)) {
                lookIn(link.deadIn(pools.now()));
            }
        }
    }

    /** Looks for silent links then, unless that is to be done sooner anyway. */
    private void lookIn(double seconds) {
        double at = pools.now() + seconds;
        if (seconds == Double.POSITIVE_INFINITY || looking != null && at >= lookAt) {
            return;
        }
        if (looking != null) {
            looking.cancel(false);
        }
        lookAt = at;
        // By way of a timer even if it is now: what has come must be read first, for its answer may be among that.
        looking = pools.loop()
                .schedule(this::giveUpSilent, (long) (Math.max(0, seconds) * 1e6) + 1, TimeUnit.MICROSECONDS);
    }

    /**
     * Guards against work that is stuck on a connection gone silent until its time is up, and against holding that
     * against a server that answers elsewhere. Few at a time: an origin that stalls makes many wait that are not silent.
     */
    private void giveUpSilent() {
        looking = null;
        double now = pools.now();
        double next = Double.POSITIVE_INFINITY;
        for (ServerLink link : new ArrayList<>(links)) {
            double in = link.deadIn(now - pools.delay().unreadFor(now));
            if (in <= 0 && givenUp.spend(now)) {
                pools.silenced();
                link.drop();
            } else {
                next = Math.min(next, Math.max(AGAIN_IN, in));
            }
        }
        lookIn(next);
    }

    ServerPools pools() {
        return pools;
    }

    int size() {
        return links.size();
    }

    /** What the list says now. Links to an address or a process that is no more take nothing new. */
    void update(InetSocketAddress to, double started) {
        for (ServerLink link : new ArrayList<>(links)) {
            if (!to.equals(address) || link.openedAt() < started) {
                link.retire();
            }
        }
        address = to;
        retired = false;
    }

    /**
     * The server drains or is gone: nothing new from now on. Guards against an execution that waits for a link
     * and would be sent after the grace of the drain rule.
     */
    void retire() {
        retired = true;
        new ArrayList<>(links).forEach(ServerLink::drain);
        closeIdle();
    }

    boolean isRetired() {
        return retired;
    }

    void take(Execution execution) {
        if (retired) {
            execution.end(Api.Outcome.CONNECT_FAILED);
            return;
        }
        double now = pools.now();
        dropIdle(link -> link.isRestedOut(now));
        ServerLink best = null;
        ServerLink deaf = null;
        for (ServerLink link : links) {
            if (link.isRetired() || link.isSilent(now)) {
                if (deaf == null && !link.hasLive()) {
                    deaf = link;
                }
            } else if (best == null || link.isBetterThan(best, now)) {
                best = link;
            }
        }
        int most = pools.linksMost();
        if (best == null && links.size() >= most && deaf != null) {
            deaf.drop();
        }
        boolean mayOpen = (links.isEmpty() || pools.hasSpare())
                && links.size() < (best == null || best.isFlowing() ? most : pools.linksUsual());
        if (mayOpen && (best == null || best.load() > 0) && pools.makesRoom()) {
            ServerLink fresh = new ServerLink(this);
            links.add(fresh);
            // Before the connect: one that fails at once must find what it has to end.
            fresh.take(execution);
            pools.opener().open(fresh, address);
        } else if (best == null) {
            execution.end(Api.Outcome.CONNECT_FAILED);
        } else {
            best.take(execution);
        }
    }

    void closeIdle() {
        dropIdle(link -> true);
    }

    private void dropIdle(Predicate<ServerLink> which) {
        for (ServerLink link : new ArrayList<>(links)) {
            if (link.isIdle() && which.test(link)) {
                link.drop();
            }
        }
    }

    Stream<ServerLink> idle() {
        return links.stream().filter(ServerLink::isIdle);
    }

    /** Gives back what is of no more use: idle for long, or silent with nobody waiting. */
    void sweep(double now) {
        for (ServerLink link : new ArrayList<>(links)) {
            boolean idleLong = link.isIdle() && (retired || link.isRestedOut(now));
            boolean deadLong = !link.hasLive() && link.isSilent(now) && now - link.heardAt() > ServerPools.DEAD_AFTER;
            if (idleLong || deadLong || link.isRetired() && !link.hasLive()) {
                link.drop();
            }
        }
    }

    void closed(ServerLink link) {
        links.remove(link);
        pools.closed();
    }
}
