package stagepier.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import stagepier.Api;

/**
 * What all other routers have reported, added up by server. The last report of each counts until its next, or until its
 * window is over: a router that died, or whose reports are lost, must not keep a server busy for ever. Attempts in
 * flight are multiplied by the weight of the report; routers with an open circuit are counted one by one. To take a
 * report costs its own entries, those of the sender's earlier one and those of reports whose time is over, and nothing
 * else. Free of I/O and clock.
 */
public final class PeerView {
    /** Weighted sums are kept in whole units of this part, so that what is added is taken off again without a rest. */
    private static final double UNITS = 1 << 16;
    /**
     * Routers with an open circuit that are told of, where all are of one zone of several: fewer than close anything.
     */
    private static final int ONE_ZONE_MOST = 2;

    /** What an entry adds to the sum of its server. */
    private record Part(long server, long units, long squares, boolean open) {}

    /** The last report of a router. */
    private record Held(int peer, double at, double window, int zone, List<Part> parts) {
        double until() {
            return at + window;
        }

        boolean isOver(double now) {
            return now - at > window;
        }
    }

    /** All that counts of one server. */
    private static final class Sum {
        private long units;
        private int reports;
        private int open;
        private final Map<Integer, Integer> openByZone = new HashMap<>();

        void add(Part part, int zone, int sign) {
            units += sign * part.units();
            reports += sign;
            if (part.open()) {
                open += sign;
                openByZone.merge(zone, sign, Integer::sum);
                openByZone.remove(zone, 0);
            }
        }

        /** Plain reports tell no zone, so three of them are as good as two zones. */
        int open(boolean zoned) {
            int plain = openByZone.getOrDefault(PeerReport.NO_ZONE, 0);
            boolean agreed = !zoned || openByZone.size() > 1 || plain > ONE_ZONE_MOST;
            return agreed ? open : Math.min(open, ONE_ZONE_MOST);
        }
    }

    private final int routers;
    private final boolean zoned;
    private final Map<Integer, Held> last = new HashMap<>();
    /** Those whose time ends first come first; some have been replaced since. */
    private final PriorityQueue<Held> endings = new PriorityQueue<>(Comparator.comparingDouble(Held::until));

    private final Map<Long, Sum> sums = new HashMap<>();
    /** Attempts that are told of, by weight and by its square. */
    private long units;

    private long squares;
    private long forgotten;
    private long touched;

    /**
     * @param routers all that report: no report stands for more
     * @param zones   of the fleet
     */
    public PeerView(int routers, int zones) {
        this.routers = routers;
        zoned = zones > 1;
    }

    /** Takes a router's report; returns the servers of which the sum may have changed. */
    public Collection<Long> take(double now, int peer, PeerReport report) {
        Set<Long> changed = new HashSet<>();
        Held before = last.remove(peer);
        if (before != null) {
            add(before, -1, changed);
        }
        List<Part> parts = new ArrayList<>(report.entries().size());
        double closedWeight = Math.min(routers, report.weight() * report.sampled());
        for (Api.ServerReport entry : report.entries()) {
            double weight = entry.open() ? Math.min(routers, report.weight()) : closedWeight;
            double units = weight * entry.inFlight() * UNITS;
            parts.add(new Part(entry.server(), Math.round(units), Math.round(weight * units), entry.open()));
        }
        Held held = new Held(peer, now, report.window(), report.zone(), parts);
        last.put(peer, held);
        endings.add(held);
        add(held, 1, changed);
        forget(now, changed);
        return changed;
    }

    /** Forgets the reports whose time is over; returns the servers of which the sum may have changed. */
    public Collection<Long> forget(double now) {
        Set<Long> changed = new HashSet<>();
        forget(now, changed);
        return changed;
    }

    private void forget(double now, Set<Long> changed) {
        while (!endings.isEmpty() && endings.peek().isOver(now)) {
            Held over = endings.remove();
            touched++;
            // By identity: a later report of the same router may equal it.
            if (last.get(over.peer()) == over) {
                last.remove(over.peer());
                add(over, -1, changed);
                forgotten++;
            }
        }
    }

    private void add(Held held, int sign, Set<Long> changed) {
        for (Part part : held.parts()) {
            touched++;
            units += sign * part.units();
            squares += sign * part.squares();
            Sum sum = sums.computeIfAbsent(part.server(), server -> new Sum());
            sum.add(part, held.zone(), sign);
            if (sum.reports == 0) {
                sums.remove(part.server());
            }
            changed.add(part.server());
        }
    }

    /** What all others report of a server, added up. */
    public Api.PeerTotals of(long server) {
        Sum sum = sums.get(server);
        if (sum == null) {
            return Api.PeerTotals.none(server);
        }
        long inFlight = Math.min(Integer.MAX_VALUE, Math.round(sum.units / UNITS));
        return new Api.PeerTotals(server, (int) inFlight, sum.open(zoned));
    }

    /** How many attempts each one that is told of stands for, on the mean: a sum varies as much more. */
    public double weight() {
        return units == 0 ? 1 : (double) squares / units;
    }

    /** Routers of which a report counts now. */
    int reporters() {
        return last.size();
    }

    /** Routers that fell silent for longer than their window, each time. */
    long forgotten() {
        return forgotten;
    }

    /** Entries added and taken off, and reports whose time was over, since the start. */
    long touched() {
        return touched;
    }
}
