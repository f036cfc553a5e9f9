package stagepier.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;
import stagepier.overload.Silence;

/** The links to one cache server; owns them. */
final class ServerPool {
    private final ServerPools pools;
    private final List<ServerLink> links = new ArrayList<>();
    private final Silence silence;
    private InetSocketAddress address;
    private boolean retired;
    private boolean looking;

    ServerPool(ServerPools pools) {
        this.pools = pools;
        silence = new Silence(pools.shortestDeadline());
    }

    Silence silence() {
        return silence;
    }

    /** An answer came on a link to what was handed to it at that time, after so long as the first in its order. */
    void answered(ServerLink on, double sentAt, double wait) {
        silence.answered(wait);
        boolean suspected = false;
        for (ServerLink link : links) {
            suspected |= link != on && link.passedBy(sentAt);
        }
        if (suspected && !looking) {
            looking = true;
            // When all that has come was read: an answer on the silent one may be among it.
            pools.loop().execute(this::giveUpSilent);
        }
    }

    /**
     * Guards against work that is stuck on a connection gone silent until its time is up, and against holding that
     * against a server that answers elsewhere. Few at a time: an origin that stalls makes many wait that are not silent.
     */
    private void giveUpSilent() {
        looking = false;
        double now = pools.now();
        for (ServerLink link : new ArrayList<>(links)) {
            if (link.isDead(now - pools.delay().unreadFor(now)) && pools.mayGiveUp(now)) {
                link.drop();
            }
        }
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
        if (best == null && links.size() >= ServerPools.LINKS_MOST && deaf != null) {
            deaf.drop();
        }
        boolean noneWell = best == null || best.isQuiet(now);
        boolean mayOpen = (links.isEmpty() || pools.hasSpare())
                && links.size() < (noneWell ? ServerPools.LINKS_MOST : ServerPools.LINKS_USUAL);
        if (mayOpen && (best == null || best.load() > 0)) {
            ServerLink fresh = new ServerLink(this);
            links.add(fresh);
            // Before the connect: one that fails at once must find what it has to end.
            fresh.take(execution);
            pools.open(fresh, address);
        } else if (best == null) {
            execution.end(Api.Outcome.CONNECT_FAILED);
        } else {
            best.take(execution);
        }
    }

    void closeIdle() {
        for (ServerLink link : new ArrayList<>(links)) {
            if (link.isIdle()) {
                link.drop();
            }
        }
    }

    /** Gives back what is of no more use: idle for long, or silent with nobody waiting. */
    void sweep(double now, double idleMost) {
        for (ServerLink link : new ArrayList<>(links)) {
            boolean idleLong = link.isIdle() && (retired || now - link.heardAt() > idleMost);
            boolean deadLong = !link.hasLive() && link.isSilent(now)
                    && now - link.heardAt() > ServerPools.DEAD_AFTER;
            if (idleLong || deadLong || link.isRetired() && !link.hasLive()) {
                link.drop();
            }
        }
    }

    void closed(ServerLink link) {
        links.remove(link);
    }
}
