package stagepier.shadow;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import stagepier.fleet.Message;

/**
 * What one router knows of the shadow: the candidate, whether it was stopped, all counts heard, and the lease. Tasks share it; it
 * waits for nobody. Nothing here reads a clock.
 */
final class ShadowState {
    private final String self;
    private final long incarnation;
    private final int fleet;
    private final MergedCounts merged = new MergedCounts();
    private final Lease lease;
    private CandidateMap map;
    private String id = "";
    private String stopped = "";

    /**
     * @param fleet number of configured routers
     * @param lease nanoseconds
     */
    ShadowState(String self, long incarnation, int fleet, long lease) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.lease = new Lease(self, fleet / 2 + 1, lease);
    }

    /** Takes a candidate, from a file or from another router; returns whether it counts from now on. */
    synchronized boolean take(CandidateMap candidate) {
        if (!candidate.replaces(map)) {
            return false;
        }
        map = candidate;
        id = candidate.id();
        stopped = "";
        // What was counted of another map says nothing of this one.
        merged.clear();
        return true;
    }

    synchronized CandidateMap map() {
        return map;
    }

    synchronized String id() {
        return id;
    }

    synchronized String stopped() {
        return stopped;
    }

    /** What this process has counted itself; returns whether that has stopped the candidate just now. */
    synchronized boolean counted(long epoch, Counts.Snapshot snapshot) {
        return snapshot.map().equals(id) && take(RouterCounts.of(self, incarnation, epoch, snapshot));
    }

    private boolean take(RouterCounts counts) {
        return merged.take(counts)
                && counts.counter(ComparisonResult.WRONG.counter()) > 0
                && stop("wrong answers, seen by " + counts.router());
    }

    private boolean stop(String why) {
        boolean news = stopped.isEmpty() && !why.isEmpty();
        stopped = news ? why : stopped;
        return news;
    }

    synchronized ShadowMessages.SyncRequest ask() {
        return new ShadowMessages.SyncRequest(id, map == null ? 0 : map.version(), merged.known());
    }

    synchronized ShadowMessages.SyncResponse answer(ShadowMessages.SyncRequest ask, long now)
            throws Message.MalformedException {
        if (ask.map() == null || ask.knows() == null || ask.knows().values().contains(null)) {
            throw new Message.MalformedException("an ask without a map or what is known");
        }
        boolean same = ask.map().equals(id);
        boolean knowsMap = same || map == null || ask.version() > map.version();
        return new ShadowMessages.SyncResponse(
                id,
                map == null ? 0 : map.version(),
                knowsMap ? "" : map.text(),
                stopped,
                lease.hasCaughtUp(),
                lease.ages(now),
                merged.known(),
                same ? merged.lackedBy(ask.knows(), ShadowMessages.COUNTS_MOST) : List.of());
    }

    /** Takes the reply of a member; returns whether that has stopped the candidate just now. */
    synchronized boolean merge(String member, long callBegan, ShadowMessages.SyncResponse known)
            throws Message.MalformedException {
        if (known.knows() == null
                || known.ages() == null
                || known.knows().values().contains(null)) {
            throw new Message.MalformedException("a reply without what is known");
        }
        boolean news = apply(new ShadowMessages.Update(known.map(), known.text(), known.stopped(), known.counts()));
        // Of whoever tries another map it is not known whether it was told of a stop of this one.
        if (known.map().equals(id)) {
            lease.replied(member, callBegan, known.caughtUp(), known.ages());
        }
        return news;
    }

    /** What the member that replied lacks; null for nothing. */
    synchronized ShadowMessages.Update lackedBy(ShadowMessages.SyncResponse known) {
        if (map == null) {
            return null;
        }
        boolean same = known.map().equals(id);
        List<RouterCounts> counts = same ? merged.lackedBy(known.knows(), ShadowMessages.COUNTS_MOST) : List.of();
        boolean older = !same && known.version() <= map.version();
        boolean unaware = same && !stopped.isEmpty() && known.stopped().isEmpty();
        return counts.isEmpty() && !older && !unaware
                ? null
                : new ShadowMessages.Update(id, older ? map.text() : "", stopped, counts);
    }

    /** Returns whether that has stopped the candidate just now. */
    synchronized boolean apply(ShadowMessages.Update update) throws Message.MalformedException {
        if (update.map() == null || update.text() == null || update.stopped() == null || update.counts() == null) {
            throw new Message.MalformedException("something is missing in what was told");
        }
        if (!update.text().isEmpty()) {
            try {
                take(CandidateFile.parse("from another router", update.text()).map());
            } catch (CandidateException e) {
                throw new Message.MalformedException(e.getMessage());
            }
        }
        if (!update.map().equals(id)) {
            return false;
        }
        boolean news = stop(update.stopped());
        for (RouterCounts c : update.counts()) {
            if (c == null || !c.isWhole()) {
                throw new Message.MalformedException("counts that are not whole");
            }
            // Nobody else knows better what this process has counted.
            boolean own = c.router().equals(self) && c.incarnation() == incarnation;
            news |= !own && c.map().equals(id) && take(c);
        }
        return news;
    }

    synchronized ShadowMessages.Update stopWord() {
        return new ShadowMessages.Update(id, "", stopped, List.of());
    }

    /** Until when copies may be sent, in nanoseconds of {@code Tasks}. */
    synchronized long until(long now) {
        return lease.until(now);
    }

    synchronized SortedMap<String, Long> sums() {
        return merged.sums();
    }

    synchronized List<RouterCounts> counts() {
        return List.copyOf(merged.all());
    }

    synchronized Map<String, Map<Long, Long>> known() {
        return merged.known();
    }

    /** @param majority this router and those that it hears are more than half of the configured ones */
    synchronized Verdict verdict(boolean majority) {
        boolean hasQuorum = map != null && majority && merged.routersWith(Counts.SCORES) > fleet / 2;
        return Verdict.of(
                Counts.sums(Counts.SCORES, merged::sum),
                Counts.sums(Counts.CONTROLS, merged::sum),
                map == null ? 0 : Math.log1p(map.margin()),
                hasQuorum);
    }

    synchronized long routersHeard() {
        return merged.routersWith(Counts.SCORES);
    }
}
