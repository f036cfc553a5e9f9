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
 * The rules of the view. Of two that speak of one member the higher incarnation holds, and in one incarnation the later of alive,
 * suspect, gone, left: so news may come twice, late and in any order. A member itself contradicts that it is suspect or gone by a
 * higher incarnation (Das, Gupta and Motivala, <i>SWIM: scalable weakly-consistent infection-style process group membership
 * protocol</i>, 2002). What counts as heard is a call that was answered, here or by somebody who tells so: whose words do not get out
 * has no answers, and whom no words reach gives none; both are out. Two that cannot call each other are both in, as long as others
 * tell of each to the other.
 *
 * <p>Every method is to be called by who holds this object's monitor, and none waits.
 */
final class MemberTable {
    /** How long it stays suspect where nobody else found it silent, and where as many did as are counted. */
    static final long SUSPECT_MOST_NS = Peers.ms(800);

    static final long SUSPECT_LEAST_NS = Peers.ms(400);
    static final int MOST_CONFIRM = 3;
    /** By what doubt is longer for one that is heard of through others only, for so long at least. */
    private static final double BRIDGED = 1.35;

    private static final long BRIDGED_NS = Peers.ms(300);
    /** The part of doubt from which it is called out of turn. */
    private static final double REFRESH = 0.45;

    private static final long CONTRADICT_AGAIN_NS = Peers.ms(100);
    /** So many calls to members that are in went unanswered, and no call was answered since before doubt: then all are silent alike. */
    private static final int LAST_CALLS = 8;

    private final FleetConfig config;
    private final Peers peers;
    private final ProbeOrder turns;
    private final MemberUpdates told;
    private final LocalHealth health = new LocalHealth();
    private long contradictedAt;
    private int lastCalls = ~0;
    private long lastAnswerAt;
    private int stalls;
    private long epoch;
    private boolean stateChanged = true;
    private boolean changed = true;
    private boolean majority;

    MemberTable(FleetConfig config, long incarnation, long now, Random random) {
        this.config = config;
        peers = new Peers(config, incarnation, now, random);
        turns = new ProbeOrder(peers, random);
        told = new MemberUpdates(peers, random);
        contradictedAt = Peers.longBefore(now);
        lastAnswerAt = now;
    }

    ProbeOrder turns() {
        return turns;
    }

    MemberUpdates news() {
        return told;
    }

    long incarnation() {
        return peers.self.incarnation;
    }

    int stalls() {
        return stalls;
    }

    /** By what an answer is waited for longer than it would be. */
    double waitLonger() {
        return health.waitLonger();
    }

    boolean isMember(String name) {
        return peers.other(name) != null;
    }

    void facts(Facts facts) {
        if (!facts.equals(peers.self.facts)) {
            peers.self.facts = facts;
            peers.self.factsVersion++;
            peers.self.tellFacts = peers.tellTimes;
            changed = true;
        }
    }

    void leave() {
        peers.self.state = State.LEFT;
        peers.self.tell = peers.tellTimes;
        stateChanged = true;
    }

    // What is heard.

    /** A member answered this router's call, which was sent then. */
    void answered(String name, long sentAt) {
        lastCalls = lastCalls << 1 | 1;
        lastAnswerAt = Math.max(lastAnswerAt, sentAt);
        Peer p = peers.other(name);
        p.answeredAt = Math.max(p.answeredAt, sentAt);
        p.heardAt = Math.max(p.heardAt, sentAt);
    }

    /** Ages in milliseconds, as of no later than the given time, that another told. */
    void heardOfOthers(Map<String, Integer> ages, long sentAt) {
        ages.forEach((name, age) -> {
            Peer p = peers.other(name);
            if (p != null && age != null && age >= 0) {
                p.heardAt = Math.max(p.heardAt, sentAt - Peers.ms(age));
            }
        });
    }

    /** Whom a relay can call itself. */
    void reachedBy(String relay, List<String> names) {
        for (String name : names) {
            Peer p = name == null ? null : peers.other(name);
            if (p != null && !name.equals(relay)) {
                p.relay = peers.other(relay);
            }
        }
    }

    /** This router's call, sent then, had no answer in time; a stall of its own since then makes that worthless. */
    void silent(String name, long sentAt, int stallsThen) {
        if (stalls == stallsThen) {
            Peer p = peers.other(name);
            p.failsSince = p.failsHere() ? p.failsSince : sentAt;
            p.failedAt = sentAt;
            if (p.isIn()) {
                lastCalls <<= 1;
            }
        }
    }

    /** How long ago a member was last heard, in milliseconds; -1 where it is long, or it does not answer here. */
    long age(String name, long now) {
        Peer p = peers.other(name);
        return p == null || p.failsHere() || now - p.heardAt > peers.doubt
                ? -1
                : TimeUnit.NANOSECONDS.toMillis(now - p.heardAt) + 1;
    }

    void apply(String from, Collection<MemberUpdate> news, long now) {
        if (news != null) {
            news.forEach(n -> apply(from, n, now));
        }
    }

    /** What a member, or one that answers, says of its own incarnation. */
    void applyAlive(String name, long incarnation, long now) {
        apply(name, new MemberUpdate(name, incarnation, State.ALIVE.ordinal(), null, 0, null), now);
    }

    void apply(String from, MemberUpdate news, long now) {
        if (news == null
                || news.member() == null
                || news.incarnation() <= 0
                || news.state() < 0
                || news.state() >= State.values().length) {
            return;
        }
        if (news.member().equals(peers.self.name)) {
            hearOfSelf(news, now);
            return;
        }
        Peer p = peers.other(news.member());
        if (p == null) {
            return;
        }
        if (news.facts() != null && news.factsVersion() > p.factsVersion) {
            p.facts = news.facts();
            p.factsVersion = news.factsVersion();
            p.tellFacts = peers.tellTimes;
            changed = true;
        }
        State state = State.values()[news.state()];
        int newer = p.compare(news.incarnation(), state);
        boolean ill = state == State.SUSPECT || state == State.GONE;
        if (newer > 0 && state == State.ALIVE && !p.isIn() && p.heardAt <= p.outSince) {
            sayAlive(p, news.incarnation());
        } else if (newer > 0 && ill && isRefused(from, p, now)) {
            refuse(p, news, now);
        } else if (newer > 0) {
            take(p, news.incarnation(), state, now);
        }
        if (p.compare(news.incarnation(), state) == 0 && state == State.SUSPECT && news.suspectedBy() != null) {
            news.suspectedBy().forEach(name -> confirm(p, name));
        }
    }

    /** Who was heard a moment ago is not silent, whoever says so; nor does the word of one count that is itself out. */
    private boolean isRefused(String from, Peer p, long now) {
        Peer teller = peers.other(from);
        return now - p.heardAt < peers.doubt || teller != null && !teller.isIn();
    }

    /** Its words come in, but nobody here had an answer from it: told on, and taken when somebody has. */
    private void sayAlive(Peer p, long incarnation) {
        if (incarnation > p.saidAlive) {
            p.saidAlive = incarnation;
            p.tell = peers.tellTimes;
        }
    }

    private void refuse(Peer p, MemberUpdate claim, long now) {
        if (claim.incarnation() > p.incarnation) {
            take(p, claim.incarnation(), State.ALIVE, p.countsFrom);
        }
        if (p.claim == null
                || claim.incarnation() > p.claim.incarnation()
                || claim.incarnation() == p.claim.incarnation() && claim.state() > p.claim.state()) {
            p.claim = new MemberUpdate(claim.member(), claim.incarnation(), claim.state(), List.of(), 0, null);
            p.tellClaim = peers.tellTimes;
            turns.hint(p, now);
        }
    }

    private void take(Peer p, long incarnation, State state, long now) {
        if (incarnation > p.incarnation) {
            // Its own word, from after the last one that is held: its silence counts from here.
            p.countsFrom = now;
            if (!p.isIn()) {
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        if (p.isIn() && state != State.ALIVE && state != State.SUSPECT) {
            p.outSince = now;
        }
        p.incarnation = incarnation;
        p.state = state;
        p.suspectedBy.clear();
        p.suspectSince = now;
        p.tell = peers.tellTimes;
        if (p.claim != null && p.compare(p.claim.incarnation(), State.values()[p.claim.state()]) <= 0) {
            p.claim = null;
        }
        stateChanged = true;
    }

    private void confirm(Peer p, String name) {
        if (p.suspectedBy.size() < MOST_CONFIRM && config.members().containsKey(name) && p.suspectedBy.add(name)) {
            p.tell = peers.tellTimes;
        }
    }

    /** Others hold this router to be out, or know an incarnation that is none of this process: above it, so that this one holds. */
    private void hearOfSelf(MemberUpdate news, long now) {
        if (news.factsVersion() > peers.self.factsVersion) {
            peers.self.factsVersion = news.factsVersion() + 1;
            peers.self.tellFacts = peers.tellTimes;
        }
        boolean against = peers.self.compare(news.incarnation(), State.values()[news.state()]) > 0;
        // Bounded: where two processes have one name, each would go above the other without an end.
        if (against && now - contradictedAt > CONTRADICT_AGAIN_NS) {
            contradictedAt = now;
            if (news.state() == State.SUSPECT.ordinal()) {
                health.wasSuspected(now);
            }
            peers.self.incarnation = news.incarnation() + 1;
            peers.self.tell = peers.tellTimes;
            stateChanged = true;
        }
    }

    // What goes on with time.

    /**
     * @param late by how much the wait before it was too long, in nanoseconds
     */
    void tick(long late, long now) {
        if (health.waited(late, now)) {
            stalls++;
            lastCalls = ~0;
            lastAnswerAt = now;
            for (Peer p : peers.others) {
                p.countsFrom = now;
                p.suspectSince = now;
                p.failedAt = Math.min(p.failedAt, p.answeredAt);
            }
        }
        double factor = health.timeoutFactor();
        boolean cutOff = (lastCalls & (1 << LAST_CALLS) - 1) == 0 && now - lastAnswerAt > peers.doubt;
        int near = 1;
        for (Peer p : peers.others) {
            if (p.saidAlive > p.incarnation && p.heardAt > p.outSince) {
                take(p, p.saidAlive, State.ALIVE, now);
            }
            long silence = now - p.silentFrom();
            boolean found = p.failsHere() || cutOff;
            if (p.state == State.ALIVE && silence > peers.doubt * factor * (isBridged(p) ? BRIDGED : 1) && found) {
                take(p, p.incarnation, State.SUSPECT, now);
                confirm(p, peers.self.name);
            } else if (p.state == State.SUSPECT) {
                suspect(p, silence, factor, found, now);
            } else if (p.state == State.ALIVE && silence > REFRESH * peers.doubt) {
                turns.hint(p, now);
            }
            if (p.isIn() && now - p.heardAt < Peers.MAJORITY_NS) {
                near++;
            }
        }
        boolean has = peers.self.state == State.ALIVE && near >= config.majority();
        changed |= has != majority;
        majority = has;
    }

    /** This router cannot call it, but has heard of it since: that comes a longer way. */
    private static boolean isBridged(Peer p) {
        return p.failsHere() && p.heardAt - p.failsSince > BRIDGED_NS;
    }

    private void suspect(Peer p, long silence, double factor, boolean found, long now) {
        if (silence < peers.doubt) {
            // It answers somebody; it has to learn of this, to contradict.
            p.suspectSince = now;
            turns.hint(p, now);
            return;
        }
        if (found) {
            confirm(p, peers.self.name);
        } else {
            turns.hint(p, now);
        }
        double confirmed = Math.log(Math.max(1, p.suspectedBy.size())) / Math.log(MOST_CONFIRM);
        double wait = (SUSPECT_MOST_NS - confirmed * (SUSPECT_MOST_NS - SUSPECT_LEAST_NS)) * factor;
        if (now - p.suspectSince > wait) {
            take(p, p.incarnation, State.GONE, now);
        }
    }

    // What is held.

    /** The view where it is another than the one taken before, else null. */
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
