package stagepier.fleet;

import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The members of the fleet as one router holds them. Guarded by its {@link MemberTable}. */
final class Peers {
    /**
     * Silence from which a member is in doubt, in a fleet of up to 16. That somebody was heard spreads from one to the next, so it is
     * longer the more they are: by so much for each doubling.
     */
    private static final long DOUBT_NS = ms(1_400);

    private static final long DOUBT_MORE_NS = ms(150);
    /** Members heard of within this make up a majority or do not. */
    static final long MAJORITY_NS = ms(2_000);

    /** This router as the others are told of it. */
    final Peer self;
    /** In the order of their names. */
    final List<Peer> others;
    /** Silence in nanoseconds from which a member of this fleet is in doubt. */
    final long doubt;
    /** How often a change is told on. */
    final int tellTimes;

    private final SortedMap<String, Peer> byName = new TreeMap<>();

    Peers(FleetConfig config, long incarnation, long now, Random random) {
        long never = longBefore(now);
        for (String name : config.members().keySet()) {
            if (!name.equals(config.self())) {
                Peer p = new Peer(name, never);
                // Each router goes round in an order of its own.
                p.calledAt = never - random.nextInt(1_000_000);
                byName.put(name, p);
            }
        }
        others = List.copyOf(byName.values());
        int bits = 32 - Integer.numberOfLeadingZeros(config.members().size());
        tellTimes = 3 * bits;
        doubt = DOUBT_NS + DOUBT_MORE_NS * Math.max(0, bits - 4);
        self = new Peer(config.self(), never);
        self.incarnation = incarnation;
        self.state = FleetView.State.ALIVE;
        self.factsVersion = incarnation;
        self.tell = tellTimes;
        self.tellFacts = tellTimes;
    }

    static long ms(long n) {
        return TimeUnit.MILLISECONDS.toNanos(n);
    }

    /** A time before all that counts. */
    static long longBefore(long now) {
        return now - ms(3_600_000);
    }

    /** One of the others; null for this router and for a stranger. */
    Peer other(String name) {
        return byName.get(name);
    }

    /** This router or one of the others; null for a stranger. */
    Peer member(String name) {
        return name.equals(self.name) ? self : byName.get(name);
    }
}
