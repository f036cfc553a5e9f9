package stagepier.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import stagepier.Api;

/** The links to one cache server; owns them. */
final class ServerPool {
    private final ServerPools pools;
    private final List<ServerLink> links = new ArrayList<>();
    private InetSocketAddress address;
    private boolean retired;

    ServerPool(ServerPools pools) {
        this.pools = pools;
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
        new ArrayList<>(links).forEach(ServerLink::dropWaiting);
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
            } else if (best == null || link.isBetterThan(best)) {
                best = link;
            }
        }
        if (best == null && links.size() >= ServerPools.LINKS_MOST && deaf != null) {
            deaf.drop();
        }
        boolean mayOpen = (links.isEmpty() || pools.hasSpare()) && links.size() < (best == null ? ServerPools.LINKS_MOST : ServerPools.LINKS_USUAL);
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
