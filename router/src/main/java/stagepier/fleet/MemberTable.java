package stagepier.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import stagepier.fleet.FleetView.Facts;
import stagepier.fleet.FleetView.Member;
import stagepier.fleet.FleetView.State;
import stagepier.fleet.MembershipMessages.MemberUpdate;

/**
 * The rules of the membership view. Of two updates about one member the higher incarnation wins, and within one
 * incarnation the later state in the order alive, suspect, gone, left; updates may therefore arrive twice, late and in
 * any order. A member refutes that it is suspect or gone by a higher incarnation (Das, Gupta and Motivala, <i>SWIM:
 * scalable weakly-consistent infection-style process group membership protocol</i>, 2002). Only an answered call, of
 * this router or of another router that reports it, counts as contact with a member. A member whose messages are lost
 * receives no answers, and a member that receives no messages gives none; both become gone. Two members that cannot
 * call each other both stay active as long as others report each of them to the other.
 *
 * <p>The caller of every method must hold this object's monitor; no method waits.
 */
final class MemberTable {
    /** Time that a member stays suspect if no other router confirms the suspicion. */
    static final long MAX_SUSPICION_NS = Peers.ms(800);

    /** Time that a member stays suspect with the maximum number of confirmations. */
    static final long MIN_SUSPICION_NS = Peers.ms(400);
    /** Number of suspecting routers from which the minimum time applies. */
    static final int MAX_CONFIRMATIONS = 3;
    /** Factor by which the silence threshold is longer for a member that is in contact with other routers only. */
    private static final double INDIRECT_FACTOR = 1.35;

    /** Minimum time of contact through other routers only, from which that factor applies. */
    private static final long MIN_INDIRECT_NS = Peers.ms(300);
    /** Fraction of the silence threshold after which a member is probed out of turn. */
    private static final double EARLY_PROBE_FRACTION = 0.45;

    /** Minimum time between two increases of this router's own incarnation. */
    private static final long REFUTE_INTERVAL_NS = Peers.ms(100);
    /**
     * Number of consecutive unanswered calls to active members after which this router counts as cut off, if also no
     * call has been answered within the silence threshold. The silence of every member then counts as confirmed.
     */
    private static final int CUT_OFF_CALLS = 8;

    private final FleetConfig config;
    private final Peers peers;
    private final ProbeOrder probeOrder;
    private final MemberUpdates updates;
    private final LocalHealth health = new LocalHealth();
    private long refutedAt;
    private int recentResults = ~0;
    private long lastAnswerAt;
    private int stalls;
    private long epoch;
    private boolean stateChanged = true;
    private boolean changed = true;
    private boolean majority;

    MemberTable(FleetConfig config, long incarnation, long now, Random random) {
        this.config = config;
        peers = new Peers(config, incarnation, now, random);
        probeOrder = new ProbeOrder(peers, random);
        updates = new MemberUpdates(peers, random);
        refutedAt = Peers.distantPast(now);
        lastAnswerAt = now;
    }

    ProbeOrder probeOrder() {
        return probeOrder;
    }

    MemberUpdates updates() {
        return updates;
    }

    long incarnation() {
        return peers.self.incarnation;
    }

    int stalls() {
        return stalls;
    }

    /** Returns the factor by which the timeout of a probe is extended. */
    double probeTimeoutFactor() {
        return health.probeTimeoutFactor();
    }

    boolean isOtherMember(String name) {
        return peers.other(name) != null;
    }

    void facts(Facts facts) {
        if (!facts.equals(peers.self.facts)) {
            peers.self.facts = facts;
            peers.self.factsVersion++;
            peers.self.factsSendsLeft = peers.sendLimit;
            changed = true;
        }
    }

    void leave() {
        peers.self.state = State.LEFT;
        peers.self.sendsLeft = peers.sendLimit;
        stateChanged = true;
    }

    // Results of calls, and updates from other members.

    /** Records that a member answered a call that this router sent at the given time. */
    void recordReply(String name, long sentAt) {
        recentResults = recentResults << 1 | 1;
        lastAnswerAt = Math.max(lastAnswerAt, sentAt);
        Peer p = peers.other(name);
        p.answeredAt = Math.max(p.answeredAt, sentAt);
        p.lastContactAt = Math.max(p.lastContactAt, sentAt);
    }

    /** Records when members last answered other routers: ages in milliseconds, measured at or after the given time. */
    void recordAges(Map<String, Integer> ages, long sentAt) {
        ages.forEach((name, age) -> {
            Peer p = peers.other(name);
            if (p != null && age != null && age >= 0) {
                p.lastContactAt = Math.max(p.lastContactAt, sentAt - Peers.ms(age));
            }
        });
    }

    /** Records the members that a relay can call directly. */
    void recordReachable(String relay, List<String> names) {
        for (String name : names) {
            Peer p = name == null ? null : peers.other(name);
            if (p != null && !name.equals(relay)) {
                p.relay = peers.other(relay);
            }
        }
    }

    /**
     * Records that a call of this router, sent at the given time, was not answered in time. It is ignored if this
     * process has stalled since then.
     */
    void recordTimeout(String name, long sentAt, int stallsAtSend) {
        if (stalls == stallsAtSend) {
            Peer p = peers.other(name);
            p.unresponsiveSince = p.isUnresponsive() ? p.unresponsiveSince : sentAt;
            p.failedAt = sentAt;
            if (p.isActive()) {
                recentResults <<= 1;
            }
        }
    }

    /**
     * Returns the milliseconds since the last contact with a member; -1 if that exceeds the silence threshold or the
     * member does not answer this router.
     */
    long age(String name, long now) {
        Peer p = peers.other(name);
        return p == null || p.isUnresponsive() || now - p.lastContactAt > peers.silenceLimit
                ? -1
                : TimeUnit.NANOSECONDS.toMillis(now - p.lastContactAt) + 1;
    }

    void apply(String from, Collection<MemberUpdate> batch, long now) {
        if (batch != null) {
            batch.forEach(update -> apply(from, update, now));
        }
    }

    /** Applies the incarnation that a member reports about itself in a call or a reply. */
    void applyAlive(String name, long incarnation, long now) {
        apply(name, new MemberUpdate(name, incarnation, State.ALIVE.ordinal(), null, 0, null), now);
    }

    void apply(String from, MemberUpdate update, long now) {
        if (update == null
                || update.member() == null
                || update.incarnation() <= 0
                || update.state() < 0
                || update.state() >= State.values().length) {
            return;
        }
        if (update.member().equals(peers.self.name)) {
            applyToSelf(update, now);
            return;
        }
        Peer p = peers.other(update.member());
        if (p == null) {
            return;
        }
        if (update.facts() != null && update.factsVersion() > p.factsVersion) {
            p.facts = update.facts();
            p.factsVersion = update.factsVersion();
            p.factsSendsLeft = peers.sendLimit;
            changed = true;
        }
        State state = State.values()[update.state()];
        int newer = p.compare(update.incarnation(), state);
        boolean suspectOrGone = state == State.SUSPECT || state == State.GONE;
        if (newer > 0 && state == State.ALIVE && !p.isActive() && p.lastContactAt <= p.inactiveSince) {
            recordUnconfirmed(p, update.incarnation());
        } else if (newer > 0 && suspectOrGone && isDisputed(from, p, now)) {
            recordClaim(p, update, now);
        } else if (newer > 0) {
            setState(p, update.incarnation(), state, now);
        }
        if (p.compare(update.incarnation(), state) == 0 && state == State.SUSPECT && update.suspectedBy() != null) {
            update.suspectedBy().forEach(name -> addSuspecter(p, name));
        }
    }

    /**
     * Returns whether an update that a member is suspect or gone is disputed: the last contact with the member lies
     * within the silence threshold, or the sender of the update is not active itself.
     */
    private boolean isDisputed(String from, Peer p, long now) {
        Peer sender = peers.other(from);
        return now - p.lastContactAt < peers.silenceLimit || sender != null && !sender.isActive();
    }

    /**
     * Records an incarnation whose messages arrive although no answer from it is known yet. It is forwarded, and
     * becomes effective when this router or another has received an answer.
     */
    private void recordUnconfirmed(Peer p, long incarnation) {
        if (incarnation > p.unconfirmedIncarnation) {
            p.unconfirmedIncarnation = incarnation;
            p.sendsLeft = peers.sendLimit;
        }
    }

    private void recordClaim(Peer p, MemberUpdate claim, long now) {
        if (claim.incarnation() > p.incarnation) {
            setState(p, claim.incarnation(), State.ALIVE, p.silenceCountsFrom);
        }
        if (p.claim == null
                || claim.incarnation() > p.claim.incarnation()
                || claim.incarnation() == p.claim.incarnation() && claim.state() > p.claim.state()) {
            p.claim = new MemberUpdate(claim.member(), claim.incarnation(), claim.state(), List.of(), 0, null);
            p.claimSendsLeft = peers.sendLimit;
            probeOrder.prioritize(p, now);
        }
    }

    private void setState(Peer p, long incarnation, State state, long now) {
        if (incarnation > p.incarnation) {
            // Only the member itself raises its incarnation, so its silence counts from here.
            p.silenceCountsFrom = now;
            if (!p.isActive()) {
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        if (p.isActive() && state != State.ALIVE && state != State.SUSPECT) {
            p.inactiveSince = now;
        }
        p.incarnation = incarnation;
        p.state = state;
        p.suspectedBy.clear();
        p.suspectSince = now;
        p.sendsLeft = peers.sendLimit;
        if (p.claim != null && p.compare(p.claim.incarnation(), State.values()[p.claim.state()]) <= 0) {
            p.claim = null;
        }
        stateChanged = true;
    }

    private void addSuspecter(Peer p, String name) {
        if (p.suspectedBy.size() < MAX_CONFIRMATIONS && config.members().containsKey(name) && p.suspectedBy.add(name)) {
            p.sendsLeft = peers.sendLimit;
        }
    }

    /**
     * Handles an update about this router. If others consider it suspect or gone, or know a higher incarnation from an
     * earlier process, this router moves to an incarnation above it, which then wins.
     */
    private void applyToSelf(MemberUpdate update, long now) {
        if (update.factsVersion() > peers.self.factsVersion) {
            peers.self.factsVersion = update.factsVersion() + 1;
            peers.self.factsSendsLeft = peers.sendLimit;
        }
        boolean refutes = peers.self.compare(update.incarnation(), State.values()[update.state()]) > 0;
        // Rate-limited: two processes with the same name would otherwise outbid each other endlessly.
        if (refutes && now - refutedAt > REFUTE_INTERVAL_NS) {
            refutedAt = now;
            if (update.state() == State.SUSPECT.ordinal()) {
                health.recordSuspicion(now);
            }
            peers.self.incarnation = update.incarnation() + 1;
            peers.self.sendsLeft = peers.sendLimit;
            stateChanged = true;
        }
    }

    // Periodic work.

    /**
     * Moves members between states according to their silence and updates the majority.
     *
     * @param late time in nanoseconds by which the preceding wait took longer than requested
     */
    void tick(long late, long now) {
        if (health.recordWait(late, now)) {
            stalls++;
            recentResults = ~0;
            lastAnswerAt = now;
            for (Peer p : peers.others) {
                p.silenceCountsFrom = now;
                p.suspectSince = now;
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        double factor = health.silenceFactor();
        boolean cutOff = (recentResults & (1 << CUT_OFF_CALLS) - 1) == 0 && now - lastAnswerAt > peers.silenceLimit;
        int recentContacts = 1;
        for (Peer p : peers.others) {
            if (p.unconfirmedIncarnation > p.incarnation && p.lastContactAt > p.inactiveSince) {
                setState(p, p.unconfirmedIncarnation, State.ALIVE, now);
            }
            long silence = now - p.silentSince();
            boolean unanswered = p.isUnresponsive() || cutOff;
            if (p.state == State.ALIVE
                    && silence > peers.silenceLimit * factor * (isReachedIndirectly(p) ? INDIRECT_FACTOR : 1)
                    && unanswered) {
                setState(p, p.incarnation, State.SUSPECT, now);
                addSuspecter(p, peers.self.name);
            } else if (p.state == State.SUSPECT) {
                checkSuspect(p, silence, factor, unanswered, now);
            } else if (p.state == State.ALIVE && silence > EARLY_PROBE_FRACTION * peers.silenceLimit) {
                probeOrder.prioritize(p, now);
            }
            if (p.isActive() && now - p.lastContactAt < Peers.MAJORITY_WINDOW_NS) {
                recentContacts++;
            }
        }
        boolean hasMajority = peers.self.state == State.ALIVE && recentContacts >= config.majority();
        changed |= hasMajority != majority;
        majority = hasMajority;
    }

    /**
     * Returns whether this router cannot call a member but other routers have reported contact with it since; such
     * reports take longer to arrive.
     */
    private static boolean isReachedIndirectly(Peer p) {
        return p.isUnresponsive() && p.lastContactAt - p.unresponsiveSince > MIN_INDIRECT_NS;
    }

    private void checkSuspect(Peer p, long silence, double factor, boolean unanswered, long now) {
        if (silence < peers.silenceLimit) {
            // The member still answers some router; probe it, so that it learns of the suspicion and refutes it.
            p.suspectSince = now;
            probeOrder.prioritize(p, now);
            return;
        }
        if (unanswered) {
            addSuspecter(p, peers.self.name);
        } else {
            probeOrder.prioritize(p, now);
        }
        double confirmed = Math.log(Math.max(1, p.suspectedBy.size())) / Math.log(MAX_CONFIRMATIONS);
        double wait = (MAX_SUSPICION_NS - confirmed * (MAX_SUSPICION_NS - MIN_SUSPICION_NS)) * factor;
        if (now - p.suspectSince > wait) {
            setState(p, p.incarnation, State.GONE, now);
        }
    }

    // The view.

    /** Returns the view if it has changed since the last call, otherwise null. */
    FleetView changedView() {
        if (!changed && !stateChanged) {
            return null;
        }
        if (stateChanged) {
            epoch++;
        }
        changed = false;
        stateChanged = false;
        List<Member> members = new ArrayList<>();
        for (String name : config.members().keySet()) {
            Peer p = peers.member(name);
            members.add(new Member(name, p.incarnation, p.state, p.facts));
        }
        return new FleetView(peers.self.name, epoch, majority, members);
    }
}
