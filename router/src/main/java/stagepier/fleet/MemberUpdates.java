package stagepier.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import stagepier.fleet.FleetView.State;
import stagepier.fleet.MembershipMessages.MemberUpdate;

/** Selects the part of this router's state that is sent to other members. Guarded by its {@link MemberTable}. */
final class MemberUpdates {
    private static final int MAX_UPDATES = 48;
    private static final int MAX_AGES = 128;
    private static final int MAX_UNREACHABLE = 32;

    private final Peers peers;
    private final Random random;

    MemberUpdates(Peers peers, Random random) {
        this.peers = peers;
        this.random = random;
    }

    /** Returns the probe of a member. */
    MembershipMessages.Ping ping(Peer p) {
        List<String> unreachable = null;
        int from = random.nextInt(peers.others.size());
        for (int i = 0; i < peers.others.size() && (unreachable == null || unreachable.size() < MAX_UNREACHABLE); i++) {
            Peer other = peers.others.get((from + i) % peers.others.size());
            if (other != p && other.isUnresponsive() && other.isActive()) {
                unreachable = unreachable == null ? new ArrayList<>() : unreachable;
                unreachable.add(other.name);
            }
        }
        return new MembershipMessages.Ping(
                peers.self.incarnation,
                p.incarnation,
                p.claim == null && p.state == State.ALIVE ? null : about(p),
                unreachable,
                recent());
    }

    MembershipMessages.Pong pong(String caller, MembershipMessages.Ping ping, long now) {
        return new MembershipMessages.Pong(
                peers.self.incarnation,
                aboutCaller(caller, ping.incarnation()),
                contactAges(caller, now),
                reachable(ping.unreachable(), now),
                recent());
    }

    /** Returns the state of a member, or the disputed claim of other routers about it. */
    private MemberUpdate about(Peer p) {
        return p.claim != null ? p.claim : latest(p, false);
    }

    /** Returns the state of a caller if it differs from what the caller reports, otherwise null. */
    private MemberUpdate aboutCaller(String name, long incarnation) {
        Peer p = peers.other(name);
        if (p == null || p.claim == null && p.incarnation == incarnation && p.state == State.ALIVE) {
            return null;
        }
        return about(p);
    }

    private MemberUpdate latest(Peer p, boolean facts) {
        if (p.unconfirmedIncarnation > p.incarnation) {
            return new MemberUpdate(
                    p.name,
                    p.unconfirmedIncarnation,
                    State.ALIVE.ordinal(),
                    null,
                    p.factsVersion,
                    facts ? p.facts : null);
        }
        return effective(p, facts);
    }

    /** Returns the effective state of a member, as sent in a synchronization. */
    private MemberUpdate effective(Peer p, boolean facts) {
        return new MemberUpdate(
                p.name,
                p.incarnation,
                p.state.ordinal(),
                p.state == State.SUSPECT ? List.copyOf(p.suspectedBy) : null,
                p.factsVersion,
                facts ? p.facts : null);
    }

    /** Returns recent changes, those sent least often first; null for none. */
    List<MemberUpdate> recent() {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : peers.others) {
            if (p.sendsLeft > 0 || p.factsSendsLeft > 0 || p.claim != null && p.claimSendsLeft > 0) {
                fresh.add(p);
            }
        }
        Collections.shuffle(fresh, random);
        fresh.sort((a, b) -> Integer.compare(b.sendsLeft, a.sendsLeft));
        if (peers.self.sendsLeft > 0 || peers.self.factsSendsLeft > 0) {
            fresh.add(0, peers.self);
        }
        if (fresh.isEmpty()) {
            return null;
        }
        List<MemberUpdate> updates = new ArrayList<>();
        for (Peer p : fresh.subList(0, Math.min(MAX_UPDATES, fresh.size()))) {
            if (p.sendsLeft > 0 || p.factsSendsLeft > 0) {
                updates.add(latest(p, p.factsSendsLeft > 0));
                p.sendsLeft = Math.max(0, p.sendsLeft - 1);
                p.factsSendsLeft = Math.max(0, p.factsSendsLeft - 1);
            }
            if (p.claim != null && p.claimSendsLeft > 0) {
                updates.add(p.claim);
                p.claimSendsLeft--;
            }
        }
        return updates;
    }

    /** Returns the milliseconds since the last contact with some members, for the reply to a caller. */
    private Map<String, Integer> contactAges(String caller, long now) {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : peers.others) {
            if (!p.name.equals(caller) && now - p.lastContactAt < peers.silenceLimit) {
                fresh.add(p);
            }
        }
        if (fresh.size() > MAX_AGES) {
            Collections.shuffle(fresh, random);
        }
        Map<String, Integer> ages = new TreeMap<>();
        for (Peer p : fresh.subList(0, Math.min(MAX_AGES, fresh.size()))) {
            ages.put(p.name, (int) TimeUnit.NANOSECONDS.toMillis(now - p.lastContactAt) + 1);
        }
        return ages;
    }

    /** Returns the members unreachable for a caller that this router can call directly. */
    private List<String> reachable(List<String> unreachable, long now) {
        if (unreachable == null) {
            return null;
        }
        return unreachable.stream()
                .filter(name -> name != null && peers.other(name) != null)
                .filter(name -> {
                    Peer p = peers.other(name);
                    return !p.isUnresponsive() && now - p.answeredAt < Peers.MAJORITY_WINDOW_NS;
                })
                .toList();
    }

    /** Returns a part of the state without facts: this router and up to {@code limit} members from an index on. */
    List<MemberUpdate> part(int from, int limit) {
        List<MemberUpdate> part = new ArrayList<>();
        part.add(effective(peers.self, false));
        for (int i = 0; i < Math.min(limit, peers.others.size()); i++) {
            Peer p = peers.others.get((from + i) % peers.others.size());
            part.add(effective(p, false));
        }
        return part;
    }

    /** Returns the state of those members of a received part for which this router has newer data. */
    List<MemberUpdate> newer(List<MemberUpdate> part) {
        List<MemberUpdate> newer = new ArrayList<>();
        for (MemberUpdate update : part) {
            Peer p = update == null || update.member() == null ? null : peers.member(update.member());
            if (p != null
                    && p.incarnation > 0
                    && update.state() >= 0
                    && update.state() < State.values().length
                    && (p.compare(update.incarnation(), State.values()[update.state()]) < 0
                            || update.factsVersion() < p.factsVersion)) {
                newer.add(effective(p, update.factsVersion() < p.factsVersion));
            }
        }
        return newer;
    }
}
