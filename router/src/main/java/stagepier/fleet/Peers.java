package stagepier.fleet;

import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The members of the fleet as one router sees them. Guarded by its {@link MemberTable}. */
final class Peers {
    /** Silence after which a member may be suspected, in a fleet of fewer than 16 routers. */
    private static final long SILENCE_LIMIT_NS = ms(1_400);

    /**
     * Increase of that threshold for each further doubling of the fleet, since reports of contact with a member
     * take longer to spread in a larger fleet.
     */
    private static final long SILENCE_PER_DOUBLING_NS = ms(150);
    /** Members with contact within this time count towards the majority. */
    static final long MAJORITY_WINDOW_NS = ms(2_000);

    /** The state of this router, as sent to the other members. */
    final Peer self;
    /** The other members, ordered by name. */
    final List<Peer> others;
    /** Silence in nanoseconds after which a member of this fleet may be suspected. */
    final long silenceLimit;
    /** Number of times that a change is sent. */
    final int sendLimit;

    private final SortedMap<String, Peer> byName = new TreeMap<>();

    Peers(FleetConfig config, long incarnation, long now, Random random) {
        long distantPast = distantPast(now);
        for (String name : config.members().keySet()) {
            if (!name.equals(config.self())) {
                Peer p = new Peer(name, distantPast);
                // Each router starts its rounds in an order of its own.
                p.probedAt = distantPast - random.nextInt(1_000_000);
                byName.put(name, p);
            }
        }
        others = List.copyOf(byName.values());
        int bits = 32 - Integer.numberOfLeadingZeros(config.members().size());
        sendLimit = 3 * bits;
        silenceLimit = SILENCE_LIMIT_NS + SILENCE_PER_DOUBLING_NS * Math.max(0, bits - 4);
        self = new Peer(config.self(), distantPast);
        self.incarnation = incarnation;
        self.state = FleetView.State.ALIVE;
        self.factsVersion = incarnation;
        self.sendsLeft = sendLimit;
        self.factsSendsLeft = sendLimit;
    }

    static long ms(long n) {
        return TimeUnit.MILLISECONDS.toNanos(n);
    }

    /** Returns a time earlier than every time window that is compared with it. */
    static long distantPast(long now) {
        return now - ms(3_600_000);
    }

    /** Returns another member; null for this router and for unknown names. */
    Peer other(String name) {
        return byName.get(name);
    }

    /** Returns this router or another member; null for unknown names. */
    Peer member(String name) {
        return name.equals(self.name) ? self : byName.get(name);
    }
}
