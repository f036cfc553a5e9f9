package stagepier.shadow;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import stagepier.fleet.Message;

/**
 * What one router knows of the shadow: the candidate, whether it was stopped, all counts received, and the lease.
 * Shared by the tasks; never blocks and reads no clock.
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
     * @param lease length of the lease in nanoseconds
     */
    ShadowState(String self, long incarnation, int fleet, long lease) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.lease = new Lease(self, fleet / 2 + 1, lease);
    }

    /** Adopts a candidate from a file or from another router if it takes precedence; returns whether it does. */
    synchronized boolean adopt(CandidateMap candidate) {
        if (!candidate.replaces(map)) {
            return false;
        }
        map = candidate;
        id = candidate.id();
        stopped = "";
        // The counts of another map do not apply to this one.
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

    /** Merges the counts of this process; returns whether they have just caused the candidate to be stopped. */
    synchronized boolean recordOwnCounts(long epoch, Counts.Snapshot snapshot) {
        return snapshot.map().equals(id) && mergeCounts(RouterCounts.of(self, incarnation, epoch, snapshot));
    }

    private boolean mergeCounts(RouterCounts counts) {
        return merged.merge(counts)
                && counts.counter(ComparisonResult.WRONG.counter()) > 0
                && stop("wrong answers, seen by " + counts.router());
    }

    private boolean stop(String why) {
        boolean stoppedNow = stopped.isEmpty() && !why.isEmpty();
        stopped = stoppedNow ? why : stopped;
        return stoppedNow;
    }

    synchronized ShadowMessages.SyncRequest syncRequest() {
        return new ShadowMessages.SyncRequest(id, map == null ? 0 : map.version(), merged.known());
    }

    synchronized ShadowMessages.SyncResponse syncResponse(ShadowMessages.SyncRequest request, long now)
            throws Message.MalformedException {
        if (request.map() == null
                || request.knows() == null
                || request.knows().values().contains(null)) {
            throw new Message.MalformedException("sync request without candidate id or known sequences");
        }
        boolean same = request.map().equals(id);
        boolean knowsMap = same || map == null || request.version() > map.version();
        return new ShadowMessages.SyncResponse(
                id,
                map == null ? 0 : map.version(),
                knowsMap ? "" : map.text(),
                stopped,
                lease.hasCaughtUp(),
                lease.ages(now),
                merged.known(),
                same ? merged.missingFrom(request.knows(), ShadowMessages.MAX_COUNTS_LENGTH) : List.of());
    }

    /** Merges the response of a member; returns whether it has just caused the candidate to be stopped. */
    synchronized boolean mergeResponse(String member, long callStarted, ShadowMessages.SyncResponse response)
            throws Message.MalformedException {
        if (response.knows() == null
                || response.ages() == null
                || response.knows().values().contains(null)) {
            throw new Message.MalformedException("sync response without known sequences or ages");
        }
        boolean stoppedNow = applyUpdate(
                new ShadowMessages.Update(response.map(), response.text(), response.stopped(), response.counts()));
        // A member with a different candidate may not have received a stop of this one, so its response does not extend
        // the lease.
        if (response.map().equals(id)) {
            lease.recordReply(member, callStarted, response.caughtUp(), response.ages());
        }
        return stoppedNow;
    }

    /** Returns what the responding member is missing; null for nothing. */
    synchronized ShadowMessages.Update missingFrom(ShadowMessages.SyncResponse response) {
        if (map == null) {
            return null;
        }
        boolean same = response.map().equals(id);
        List<RouterCounts> counts =
                same ? merged.missingFrom(response.knows(), ShadowMessages.MAX_COUNTS_LENGTH) : List.of();
        boolean older = !same && response.version() <= map.version();
        boolean unaware = same && !stopped.isEmpty() && response.stopped().isEmpty();
        return counts.isEmpty() && !older && !unaware
                ? null
                : new ShadowMessages.Update(id, older ? map.text() : "", stopped, counts);
    }

    /** Applies an update; returns whether it has just caused the candidate to be stopped. */
    synchronized boolean applyUpdate(ShadowMessages.Update update) throws Message.MalformedException {
        if (update.map() == null || update.text() == null || update.stopped() == null || update.counts() == null) {
            throw new Message.MalformedException("update without candidate id, candidate text, stop reason or counts");
        }
        if (!update.text().isEmpty()) {
            try {
                adopt(CandidateFile.parse("from another router", update.text()).map());
            } catch (CandidateException e) {
                throw new Message.MalformedException(e.getMessage());
            }
        }
        if (!update.map().equals(id)) {
            return false;
        }
        boolean stoppedNow = stop(update.stopped());
        for (RouterCounts c : update.counts()) {
            if (c == null || !c.isValid()) {
                throw new Message.MalformedException("update with incomplete or oversized counts");
            }
            // A received entry for this process cannot be newer than its own counts.
            boolean own = c.router().equals(self) && c.incarnation() == incarnation;
            stoppedNow |= !own && c.map().equals(id) && mergeCounts(c);
        }
        return stoppedNow;
    }

    synchronized ShadowMessages.Update stopMessage() {
        return new ShadowMessages.Update(id, "", stopped, List.of());
    }

    /** Returns the time until which copies may be sent, in nanoseconds of {@code Tasks}. */
    synchronized long leaseEnd(long now) {
        return lease.expiresAt(now);
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

    /** @param majority this router and the members that it reaches are more than half of the configured ones */
    synchronized Verdict verdict(boolean majority) {
        boolean hasQuorum = map != null && majority && merged.routersWith(Counts.SCORES) > fleet / 2;
        return Verdict.of(
                Counts.sums(Counts.SCORES, merged::sum),
                Counts.sums(Counts.CONTROLS, merged::sum),
                map == null ? 0 : Math.log1p(map.margin()),
                hasQuorum);
    }

    synchronized long routersWithScores() {
        return merged.routersWith(Counts.SCORES);
    }
}
