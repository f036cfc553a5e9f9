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

/** What this router tells the others of what it holds. Guarded by its {@link MemberTable}. */
final class MemberUpdates {
    private static final int MOST_NEWS = 48;
    private static final int MOST_HEARD = 128;
    private static final int MOST_LOST = 32;

    private final Peers peers;
    private final Random random;

    MemberUpdates(Peers peers, Random random) {
        this.peers = peers;
        this.random = random;
    }

    /** What a member is called with. */
    MembershipMessages.Ping ping(Peer p) {
        List<String> lost = null;
        int from = random.nextInt(peers.others.size());
        for (int i = 0; i < peers.others.size() && (lost == null || lost.size() < MOST_LOST); i++) {
            Peer other = peers.others.get((from + i) % peers.others.size());
            if (other != p && other.failsHere() && other.isIn()) {
                lost = lost == null ? new ArrayList<>() : lost;
                lost.add(other.name);
            }
        }
        return new MembershipMessages.Ping(
                peers.self.incarnation,
                p.incarnation,
                p.claim == null && p.state == State.ALIVE ? null : about(p),
                lost,
                news());
    }

    MembershipMessages.Pong pong(String caller, MembershipMessages.Ping ping, long now) {
        return new MembershipMessages.Pong(
                peers.self.incarnation,
                aboutCaller(caller, ping.incarnation()),
                heardAges(caller, now),
                reached(ping.unreachable(), now),
                news());
    }

    /** What is held of a member, with what others hold against it. */
    private MemberUpdate about(Peer p) {
        return p.claim != null ? p.claim : news(p, false);
    }

    /** What is held of a caller, where that is not what it says. */
    private MemberUpdate aboutCaller(String name, long incarnation) {
        Peer p = peers.other(name);
        if (p == null || p.claim == null && p.incarnation == incarnation && p.state == State.ALIVE) {
            return null;
        }
        return about(p);
    }

    private MemberUpdate news(Peer p, boolean facts) {
        if (p.saidAlive > p.incarnation) {
            return new MemberUpdate(
                    p.name, p.saidAlive, State.ALIVE.ordinal(), null, p.factsVersion, facts ? p.facts : null);
        }
        return held(p, facts);
    }

    /** For an exchange, in which two come to hold the same. */
    private MemberUpdate held(Peer p, boolean facts) {
        return new MemberUpdate(
                p.name,
                p.incarnation,
                p.state.ordinal(),
                p.state == State.SUSPECT ? List.copyOf(p.suspectedBy) : null,
                p.factsVersion,
                facts ? p.facts : null);
    }

    /** What changed lately, least told first; null for nothing. */
    List<MemberUpdate> news() {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : peers.others) {
            if (p.tell > 0 || p.tellFacts > 0 || p.claim != null && p.tellClaim > 0) {
                fresh.add(p);
            }
        }
        Collections.shuffle(fresh, random);
        fresh.sort((a, b) -> Integer.compare(b.tell, a.tell));
        if (peers.self.tell > 0 || peers.self.tellFacts > 0) {
            fresh.add(0, peers.self);
        }
        if (fresh.isEmpty()) {
            return null;
        }
        List<MemberUpdate> news = new ArrayList<>();
        for (Peer p : fresh.subList(0, Math.min(MOST_NEWS, fresh.size()))) {
            if (p.tell > 0 || p.tellFacts > 0) {
                news.add(news(p, p.tellFacts > 0));
                p.tell = Math.max(0, p.tell - 1);
                p.tellFacts = Math.max(0, p.tellFacts - 1);
            }
            if (p.claim != null && p.tellClaim > 0) {
                news.add(p.claim);
                p.tellClaim--;
            }
        }
        return news;
    }

    /** How long ago some members were heard, in milliseconds, for who calls. */
    private Map<String, Integer> heardAges(String caller, long now) {
        List<Peer> fresh = new ArrayList<>();
        for (Peer p : peers.others) {
            if (!p.name.equals(caller) && now - p.heardAt < peers.doubt) {
                fresh.add(p);
            }
        }
        if (fresh.size() > MOST_HEARD) {
            Collections.shuffle(fresh, random);
        }
        Map<String, Integer> ages = new TreeMap<>();
        for (Peer p : fresh.subList(0, Math.min(MOST_HEARD, fresh.size()))) {
            ages.put(p.name, (int) TimeUnit.NANOSECONDS.toMillis(now - p.heardAt) + 1);
        }
        return ages;
    }

    /** Of those that do not answer a caller, whom this router can call itself. */
    private List<String> reached(List<String> lost, long now) {
        if (lost == null) {
            return null;
        }
        return lost.stream()
                .filter(name -> name != null && peers.other(name) != null)
                .filter(name -> {
                    Peer p = peers.other(name);
                    return !p.failsHere() && now - p.answeredAt < Peers.MAJORITY_NS;
                })
                .toList();
    }

    /** A part of all that is held, without facts: so many from there on. */
    List<MemberUpdate> part(int from, int most) {
        List<MemberUpdate> part = new ArrayList<>();
        part.add(held(peers.self, false));
        for (int i = 0; i < Math.min(most, peers.others.size()); i++) {
            Peer p = peers.others.get((from + i) % peers.others.size());
            part.add(held(p, false));
        }
        return part;
    }

    /** Of the same members, what is held newer. */
    List<MemberUpdate> newer(List<MemberUpdate> part) {
        List<MemberUpdate> newer = new ArrayList<>();
        for (MemberUpdate n : part) {
            Peer p = n == null || n.member() == null ? null : peers.member(n.member());
            if (p != null
                    && p.incarnation > 0
                    && n.state() >= 0
                    && n.state() < State.values().length
                    && (p.compare(n.incarnation(), State.values()[n.state()]) < 0
                            || n.factsVersion() < p.factsVersion)) {
                newer.add(held(p, n.factsVersion() < p.factsVersion));
            }
        }
        return newer;
    }
}
