package stagepier.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import stagepier.fleet.FleetView.State;

/** Whom this router calls, and in which order. Guarded by its {@link MemberTable}. */
final class ProbeOrder {
    /** The part of doubt from which others are asked about one that does not answer. */
    private static final double ASK = 0.5;

    private static final long SILENT_AGAIN_NS = Peers.ms(500);
    private static final long HINT_AGAIN_NS = Peers.ms(300);
    /** Of so many calls one goes to a member that does not answer, one to one that does, the others to those in doubt while there are any. */
    private static final int TURNS = 4;

    private final Peers peers;
    private final Random random;
    private final Set<Peer> hints = new LinkedHashSet<>();
    private int turn;

    ProbeOrder(Peers peers, Random random) {
        this.peers = peers;
        this.random = random;
    }

    /** To be called soon; whom this router cannot call it hears of, and tells, by one that can. */
    void hint(Peer p, long now) {
        if (p.failsHere() && p.relay != null && p.relay.isIn() && !p.relay.failsHere()) {
            hintNow(p.relay, now);
        } else {
            hintNow(p, now);
        }
    }

    private void hintNow(Peer p, long now) {
        if (now - p.hintedAt > (p.failsHere() ? SILENT_AGAIN_NS : HINT_AGAIN_NS)) {
            p.hintedAt = now;
            hints.add(p);
        }
    }

    void hint(String name, long now) {
        Peer p = peers.other(name);
        if (p != null) {
            hint(p, now);
        }
    }

    /**
     * Whom to call; null where nobody else is. Those in doubt come first, but leave turns to the others, who are called in rounds. Those
     * that are out or do not answer have rounds of their own, so that a router that cannot call half of the fleet still hears enough of
     * the other half.
     */
    Peer next(long now) {
        turn = (turn + 1) % TURNS;
        Peer p = turn > 1 ? hinted() : null;
        if (p == null) {
            p = nextOf(turn == 0, now);
        }
        p = p != null ? p : nextOf(turn != 0, now);
        if (p != null) {
            p.calledAt = now;
        }
        return p;
    }

    private Peer hinted() {
        for (Iterator<Peer> i = hints.iterator(); i.hasNext(); ) {
            Peer hinted = i.next();
            i.remove();
            if (hinted.claim != null || hinted.state != State.ALIVE || hinted.heardAt < hinted.hintedAt) {
                return hinted;
            }
        }
        return null;
    }

    /** Who was not called for longest, so that each is called once in a round; of the silent, none that was called just now. */
    private Peer nextOf(boolean silent, long now) {
        Peer next = null;
        for (Peer p : peers.others) {
            if (silent == (p.failsHere() || !p.isIn()) && (next == null || p.calledAt < next.calledAt)) {
                next = p;
            }
        }
        return next == null || silent && now - next.calledAt < SILENT_AGAIN_NS ? null : next;
    }

    /** Some that answered a moment ago, to ask about one that was not; first who told of it last. */
    List<String> relays(Peer about, int most, long now) {
        if (!about.isIn() || now - about.silentFrom() < ASK * peers.doubt) {
            return List.of();
        }
        List<String> fresh = new ArrayList<>();
        for (Peer p : peers.others) {
            if (p != about && p != about.relay && p.isIn() && !p.failsHere() && now - p.answeredAt < peers.doubt) {
                fresh.add(p.name);
            }
        }
        Collections.shuffle(fresh, random);
        if (about.relay != null && about.relay.isIn() && !about.relay.failsHere()) {
            fresh.add(0, about.relay.name);
        }
        return fresh.subList(0, Math.min(most, fresh.size()));
    }

    /** Anyone who answers; null where nobody does. */
    String anyone(long now) {
        List<Peer> fresh = peers.others.stream()
                .filter(p -> p.isIn() && !p.failsHere() && now - p.answeredAt < Peers.MAJORITY_NS + peers.doubt)
                .toList();
        return fresh.isEmpty() ? null : fresh.get(random.nextInt(fresh.size())).name;
    }
}
