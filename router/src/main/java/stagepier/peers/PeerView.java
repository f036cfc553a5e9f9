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
 * Sums the reports of all other routers by server. The latest report of each router is valid until its next one, or
 * until its window has passed: a router that died, or whose reports are lost, must not make a server appear busy for
 * ever. Attempts in flight are multiplied by the weight of the report; routers with an open circuit are counted
 * individually. The cost of applying a report is its own entries, those of the sender's previous one and those of
 * expired reports. Does no I/O and reads no clock.
 */
public final class PeerView {
    /**
     * Weighted sums are kept in integer units of this fraction of an attempt, so that subtracting a contribution leaves
     * no rounding error.
     */
    private static final double UNITS_PER_ATTEMPT = 1 << 16;
    /**
     * Maximum number of routers with an open circuit that is reported if all of them are in one of several zones: too
     * few to close anything.
     */
    private static final int MAX_OPEN_FROM_ONE_ZONE = 2;

    /** The contribution of one entry to the sum of its server. */
    private record Contribution(long server, long units, long squares, boolean open) {}

    /** The latest report of a router. */
    private record HeldReport(int peer, double at, double window, int zone, List<Contribution> contributions) {
        double expiresAt() {
            return at + window;
        }

        boolean isExpired(double now) {
            return now - at > window;
        }
    }

    /** The sum of all valid reports of one server. */
    private static final class ServerSum {
        private long units;
        private int reports;
        private int open;
        private final Map<Integer, Integer> openByZone = new HashMap<>();

        void add(Contribution contribution, int zone, int sign) {
            units += sign * contribution.units();
            reports += sign;
            if (contribution.open()) {
                open += sign;
                openByZone.merge(zone, sign, Integer::sum);
                openByZone.remove(zone, 0);
            }
        }

        /** Plain reports do not include a zone, so three of them count as two zones. */
        int open(boolean multipleZones) {
            int plainReports = openByZone.getOrDefault(PeerReport.NO_ZONE, 0);
            boolean confirmed = !multipleZones || openByZone.size() > 1 || plainReports > MAX_OPEN_FROM_ONE_ZONE;
            return confirmed ? open : Math.min(open, MAX_OPEN_FROM_ONE_ZONE);
        }
    }

    private final int routers;
    private final boolean multipleZones;
    private final Map<Integer, HeldReport> latestReports = new HashMap<>();
    /** Held reports by expiry time, earliest first; some of them have been replaced since. */
    private final PriorityQueue<HeldReport> byExpiry =
            new PriorityQueue<>(Comparator.comparingDouble(HeldReport::expiresAt));

    private final Map<Long, ServerSum> sums = new HashMap<>();
    /** Sums of all reported attempts, by weight and by its square. */
    private long units;

    private long squares;
    private long forgotten;
    private long entriesProcessed;

    /**
     * @param routers number of reporting routers, which limits the weight of a report
     * @param zones   number of zones in the fleet
     */
    public PeerView(int routers, int zones) {
        this.routers = routers;
        multipleZones = zones > 1;
    }

    /** Applies a router's report; returns the servers whose sum may have changed. */
    public Collection<Long> take(double now, int peer, PeerReport report) {
        Set<Long> changed = new HashSet<>();
        HeldReport previous = latestReports.remove(peer);
        if (previous != null) {
            add(previous, -1, changed);
        }
        List<Contribution> contributions = new ArrayList<>(report.entries().size());
        double closedWeight = Math.min(routers, report.weight() * report.samplingFactor());
        for (Api.ServerReport entry : report.entries()) {
            double weight = entry.open() ? Math.min(routers, report.weight()) : closedWeight;
            double units = weight * entry.inFlight() * UNITS_PER_ATTEMPT;
            contributions.add(
                    new Contribution(entry.server(), Math.round(units), Math.round(weight * units), entry.open()));
        }
        HeldReport held = new HeldReport(peer, now, report.window(), report.zone(), contributions);
        latestReports.put(peer, held);
        byExpiry.add(held);
        add(held, 1, changed);
        forget(now, changed);
        return changed;
    }

    /** Removes expired reports; returns the servers whose sum may have changed. */
    public Collection<Long> forget(double now) {
        Set<Long> changed = new HashSet<>();
        forget(now, changed);
        return changed;
    }

    private void forget(double now, Set<Long> changed) {
        while (!byExpiry.isEmpty() && byExpiry.peek().isExpired(now)) {
            HeldReport expired = byExpiry.remove();
            entriesProcessed++;
            // Compares identity: a later report of the same router may be equal.
            if (latestReports.get(expired.peer()) == expired) {
                latestReports.remove(expired.peer());
                add(expired, -1, changed);
                forgotten++;
            }
        }
    }

    private void add(HeldReport held, int sign, Set<Long> changed) {
        for (Contribution contribution : held.contributions()) {
            entriesProcessed++;
            units += sign * contribution.units();
            squares += sign * contribution.squares();
            ServerSum sum = sums.computeIfAbsent(contribution.server(), server -> new ServerSum());
            sum.add(contribution, held.zone(), sign);
            if (sum.reports == 0) {
                sums.remove(contribution.server());
            }
            changed.add(contribution.server());
        }
    }

    /** Returns the sum of all other routers' reports of a server. */
    public Api.PeerTotals of(long server) {
        ServerSum sum = sums.get(server);
        if (sum == null) {
            return Api.PeerTotals.none(server);
        }
        long inFlight = Math.min(Integer.MAX_VALUE, Math.round(sum.units / UNITS_PER_ATTEMPT));
        return new Api.PeerTotals(server, (int) inFlight, sum.open(multipleZones));
    }

    /**
     * Returns the mean number of attempts that each reported attempt represents, by which the variance of a sum grows.
     */
    public double weight() {
        return units == 0 ? 1 : (double) squares / units;
    }

    /** Returns the number of routers with a valid report. */
    int reporters() {
        return latestReports.size();
    }

    /** Returns how often a report expired because its router was silent for longer than the window. */
    long forgotten() {
        return forgotten;
    }

    /** Returns the number of entries added and subtracted, and of expired reports removed, since the start. */
    long entriesProcessed() {
        return entriesProcessed;
    }
}
