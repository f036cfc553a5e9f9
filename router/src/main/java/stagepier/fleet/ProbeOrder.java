package stagepier.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import stagepier.fleet.FleetView.State;

/** Selects the members that this router probes, and their order. Guarded by its {@link MemberTable}. */
final class ProbeOrder {
    /** Fraction of the silence threshold after which an unresponsive member is probed indirectly. */
    private static final double INDIRECT_PROBE_FRACTION = 0.5;

    private static final long UNRESPONSIVE_PROBE_INTERVAL_NS = Peers.ms(500);
    private static final long PRIORITIZE_INTERVAL_NS = Peers.ms(300);
    /**
     * Length of a cycle of probes: one goes to an unresponsive member, one to a responsive member, and the others to
     * prioritized members while there are any.
     */
    private static final int CYCLE_LENGTH = 4;

    private final Peers peers;
    private final Random random;
    private final Set<Peer> prioritized = new LinkedHashSet<>();
    private int turn;

    ProbeOrder(Peers peers, Random random) {
        this.peers = peers;
        this.random = random;
    }

    /**
     * Schedules an early probe of a member. If this router cannot call the member, it probes the relay that can, to
     * exchange updates about the member through it.
     */
    void prioritize(Peer p, long now) {
        if (p.isUnresponsive() && p.relay != null && p.relay.isActive() && !p.relay.isUnresponsive()) {
            enqueue(p.relay, now);
        } else {
            enqueue(p, now);
        }
    }

    private void enqueue(Peer p, long now) {
        if (now - p.prioritizedAt > (p.isUnresponsive() ? UNRESPONSIVE_PROBE_INTERVAL_NS : PRIORITIZE_INTERVAL_NS)) {
            p.prioritizedAt = now;
            prioritized.add(p);
        }
    }

    void prioritize(String name, long now) {
        Peer p = peers.other(name);
        if (p != null) {
            prioritize(p, now);
        }
    }

    /**
     * Returns the member to probe next; null if there is none. Prioritized members come first, but leave turns to the
     * others, which are probed in rounds. Inactive and unresponsive members have rounds of their own, so that a router
     * that cannot call half of the fleet still gets enough replies from the other half.
     */
    Peer next(long now) {
        turn = (turn + 1) % CYCLE_LENGTH;
        Peer p = turn > 1 ? nextPrioritized() : null;
        if (p == null) {
            p = longestNotProbed(turn == 0, now);
        }
        p = p != null ? p : longestNotProbed(turn != 0, now);
        if (p != null) {
            p.probedAt = now;
        }
        return p;
    }

    private Peer nextPrioritized() {
        for (Iterator<Peer> iterator = prioritized.iterator(); iterator.hasNext(); ) {
            Peer candidate = iterator.next();
            iterator.remove();
            if (candidate.claim != null
                    || candidate.state != State.ALIVE
                    || candidate.lastContactAt < candidate.prioritizedAt) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Returns the member whose last probe is longest ago, so that each is probed once in a round; no unresponsive
     * member is probed again within {@link #UNRESPONSIVE_PROBE_INTERVAL_NS}.
     */
    private Peer longestNotProbed(boolean unresponsive, long now) {
        Peer next = null;
        for (Peer p : peers.others) {
            if (unresponsive == (p.isUnresponsive() || !p.isActive()) && (next == null || p.probedAt < next.probedAt)) {
                next = p;
            }
        }
        return next == null || unresponsive && now - next.probedAt < UNRESPONSIVE_PROBE_INTERVAL_NS ? null : next;
    }

    /**
     * Returns recently responsive members through which a silent member can be probed, starting with the one that last
     * reported to reach it.
     */
    List<String> relays(Peer about, int max, long now) {
        if (!about.isActive() || now - about.silentSince() < INDIRECT_PROBE_FRACTION * peers.silenceLimit) {
            return List.of();
        }
        List<String> responsive = new ArrayList<>();
        for (Peer p : peers.others) {
            if (p != about
                    && p != about.relay
                    && p.isActive()
                    && !p.isUnresponsive()
                    && now - p.answeredAt < peers.silenceLimit) {
                responsive.add(p.name);
            }
        }
        Collections.shuffle(responsive, random);
        if (about.relay != null && about.relay.isActive() && !about.relay.isUnresponsive()) {
            responsive.add(0, about.relay.name);
        }
        return responsive.subList(0, Math.min(max, responsive.size()));
    }

    /** Returns the name of a random responsive member; null if there is none. */
    String randomResponsive(long now) {
        List<Peer> responsive = peers.others.stream()
                .filter(p -> p.isActive()
                        && !p.isUnresponsive()
                        && now - p.answeredAt < Peers.MAJORITY_WINDOW_NS + peers.silenceLimit)
                .toList();
        return responsive.isEmpty() ? null : responsive.get(random.nextInt(responsive.size())).name;
    }
}
