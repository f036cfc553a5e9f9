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
    /**
     * Limit on the links to one server that are closed only because they are silent, per second; each new link costs
     * the server a handshake.
     */
    private static final double SILENT_CLOSES_PER_SECOND = 2;

    private static final double SILENT_CLOSES_BURST = 4;
    /** Seconds until the next check when the limit allows no further close. */
    private static final double RECHECK_AFTER = 0.02;

    private final ServerPools pools;
    private final List<ServerLink> links = new ArrayList<>();
    private final SilenceDetector silenceDetector;
    private final TokenBucket closeBudget = new TokenBucket(SILENT_CLOSES_PER_SECOND, SILENT_CLOSES_BURST);
    private InetSocketAddress address;
    private boolean retired;
    /** The next check for silent links, and its time; null if none is scheduled. */
    private Future<?> silenceCheck;

    private double silenceCheckAt;

    ServerPool(ServerPools pools) {
        this.pools = pools;
        silenceDetector = new SilenceDetector(pools.shortestDeadline());
    }

    SilenceDetector silenceDetector() {
        return silenceDetector;
    }

    /**
     * Notes that an answer arrived on a link.
     *
     * @param answering the link that received it
     * @param sentAt when its request was handed to the link
     * @param wait   seconds for which it was the first pending answer there
     */
    void onAnswer(ServerLink answering, double sentAt, double wait) {
        silenceDetector.recordWait(wait);
        for (ServerLink link : links) {
            if (link != answering && link.overtaken(sentAt)) {
                scheduleSilenceCheck(link.silentIn(pools.now()));
            }
        }
    }

    /** Schedules a check for silent links, unless an earlier one is scheduled. */
    private void scheduleSilenceCheck(double seconds) {
        double at = pools.now() + seconds;
        if (seconds == Double.POSITIVE_INFINITY || silenceCheck != null && at >= silenceCheckAt) {
            return;
        }
        if (silenceCheck != null) {
            silenceCheck.cancel(false);
        }
        silenceCheckAt = at;
        // Uses a timer even for an immediate check, so that input which has already arrived, possibly the awaited
        // answer, is read first.
        silenceCheck = pools.loop()
                .schedule(this::closeSilentLinks, (long) (Math.max(0, seconds) * 1e6) + 1, TimeUnit.MICROSECONDS);
    }

    /**
     * Closes silent links, so that requests on a broken connection do not wait until their timeouts and the server is
     * not blamed while it answers on other links. Closes only a few at a time: when the origin stalls, many links wait
     * that are not broken.
     */
    private void closeSilentLinks() {
        silenceCheck = null;
        double now = pools.now();
        double next = Double.POSITIVE_INFINITY;
        for (ServerLink link : new ArrayList<>(links)) {
            double remaining = link.silentIn(now - pools.delay().unreadFor(now));
            if (remaining <= 0 && closeBudget.spend(now)) {
                pools.onSilentLinkClosed();
                link.drop();
            } else {
                next = Math.min(next, Math.max(RECHECK_AFTER, remaining));
            }
        }
        scheduleSilenceCheck(next);
    }

    ServerPools pools() {
        return pools;
    }

    int size() {
        return links.size();
    }

    /** Applies the current server list entry. Links to a previous address or process get no new executions. */
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
     * Stops sending when the server drains or is removed. An execution that still waits for a link would otherwise be
     * sent after the grace period of the drain rule.
     */
    void retire() {
        retired = true;
        new ArrayList<>(links).forEach(ServerLink::drain);
        closeIdle();
    }

    boolean isRetired() {
        return retired;
    }

    void dispatch(Execution execution) {
        if (retired) {
            execution.end(Api.Outcome.CONNECT_FAILED);
            return;
        }
        double now = pools.now();
        closeIdleWhere(link -> link.isIdleTooLong(now));
        ServerLink best = null;
        ServerLink replaceable = null;
        for (ServerLink link : links) {
            if (link.isRetired() || link.isSilent(now)) {
                if (replaceable == null && !link.hasPending()) {
                    replaceable = link;
                }
            } else if (best == null || link.isPreferredTo(best, now)) {
                best = link;
            }
        }
        int maxLinks = pools.maxLinks();
        if (best == null && links.size() >= maxLinks && replaceable != null) {
            replaceable.drop();
        }
        boolean mayOpen = (links.isEmpty() || pools.hasSpareDescriptors())
                && links.size() < (best == null || best.hasFlow() ? maxLinks : pools.usualLinks());
        if (mayOpen && (best == null || best.load() > 0) && pools.makeRoom()) {
            ServerLink opened = new ServerLink(this);
            links.add(opened);
            // Added before connecting: a connection that fails immediately must find the executions that it has to end.
            opened.submit(execution);
            pools.opener().open(opened, address);
        } else if (best == null) {
            execution.end(Api.Outcome.CONNECT_FAILED);
        } else {
            best.submit(execution);
        }
    }

    void closeIdle() {
        closeIdleWhere(link -> true);
    }

    private void closeIdleWhere(Predicate<ServerLink> which) {
        for (ServerLink link : new ArrayList<>(links)) {
            if (link.isIdle() && which.test(link)) {
                link.drop();
            }
        }
    }

    Stream<ServerLink> idleLinks() {
        return links.stream().filter(ServerLink::isIdle);
    }

    /** Closes links of no further use: idle for long, retired, or silent with no pending execution. */
    void sweep(double now) {
        for (ServerLink link : new ArrayList<>(links)) {
            boolean idleTooLong = link.isIdle() && (retired || link.isIdleTooLong(now));
            boolean silentTooLong = !link.hasPending()
                    && link.isSilent(now)
                    && now - link.lastAnswerAt() > ServerPools.SILENT_CLOSE_AFTER;
            if (idleTooLong || silentTooLong || link.isRetired() && !link.hasPending()) {
                link.drop();
            }
        }
    }

    void onClosed(ServerLink link) {
        links.remove(link);
        pools.onClosed();
    }
}
