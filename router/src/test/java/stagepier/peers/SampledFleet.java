package stagepier.peers;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.Stream;
import stagepier.Api;

/**
 * Simulates all routers of a fleet in virtual time, as one receiver sees them: the real schedule, sampler, codec and
 * sums, with attempts in flight drawn anew for each report of a routing module. 80 % of the routers have half of the
 * mean load, 15 % twice, and 5 % six times the mean load. A busy server has three times the mean share of all attempts.
 */
final class SampledFleet {
    static final int SERVERS = 240;
    static final int ZONES = 37;
    /** Report period for a shortest deadline of 1.5 s, in seconds. */
    static final double PERIOD = 0.27;
    /** Mean number of attempts in flight of a router. */
    static final double IN_FLIGHT = 42;

    static final long BUSY = 7;
    static final double BUSY_SHARE = 3;
    static final long USUAL = 8;

    /** A message sent by a router. */
    record Sent(double at, int router, byte[] message) {
        int bytes() {
            return message.length + ReportSchedule.DATAGRAM_HEADER_BYTES;
        }
    }

    final int routers;
    private final SplittableRandom random;
    /**
     * The routers that are restarted at {@code restartAt}; all others have been running for long when the simulation
     * starts.
     */
    IntPredicate restarted = router -> false;

    double restartAt = Double.POSITIVE_INFINITY;
    /** The routers that stop at {@code stopAt}. */
    IntPredicate stopped = router -> false;

    double stopAt = Double.POSITIVE_INFINITY;
    /** The routers that have an open circuit to the busy server from {@code openAt} on. */
    IntPredicate open = router -> false;

    double openAt = Double.POSITIVE_INFINITY;
    /** Fraction of the load by which it goes up or down from one report to the next. */
    double swing;

    SampledFleet(int routers, long seed) {
        this.routers = routers;
        random = new SplittableRandom(seed);
    }

    static int zone(int router) {
        return router % ZONES;
    }

    /** Returns the load of a router as a multiple of the mean load. */
    static double load(int router) {
        int of = router % 20;
        return of < 16 ? 0.5 : of < 19 ? 2 : 6;
    }

    /** Returns the mean of all routers' loads, which is 1 for large fleets. */
    double meanLoad() {
        double sum = 0;
        for (int router = 0; router < routers; router++) {
            sum += load(router);
        }
        return sum / routers;
    }

    /** Returns the mean number of attempts in flight of one router at a server with this share. */
    double mean(int router, double share) {
        return IN_FLIGHT / SERVERS * share * load(router) / meanLoad();
    }

    /** Returns the mean number of servers at which a router has attempts in flight. */
    double entries(int router) {
        return SERVERS * -Math.expm1(-mean(router, 1));
    }

    /** Returns the true sum at a random moment: a sum of Poisson variables has a Poisson distribution, too. */
    int trueSum(double share) {
        double sum = 0;
        for (int router = 0; router < routers; router++) {
            sum += mean(router, share);
        }
        return poisson(sum);
    }

    private int poisson(double mean) {
        if (mean > 50) {
            return (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
        }
        double left = Math.exp(-mean);
        int n = 0;
        for (double product = random.nextDouble(); product > left; product *= random.nextDouble()) {
            n++;
        }
        return n;
    }

    /** Returns the messages of all routers from time 0 on, in order of time. */
    List<Sent> simulate(double seconds) {
        List<Sent> sent = new ArrayList<>();
        double meanLoad = meanLoad();
        for (int router = 0; router < routers; router++) {
            simulate(router, load(router) / meanLoad, seconds, sent);
        }
        sent.sort(Comparator.comparingDouble(Sent::at));
        return sent;
    }

    private void simulate(int router, double load, double seconds, List<Sent> sent) {
        Api.Settings settings = settings(routers, zone(router));
        PeerReports reports = new PeerReports(settings, ZONES, random.nextLong());
        boolean restarts = restarted.test(router);
        double endsAt = stopped.test(router) ? Math.min(seconds, stopAt) : seconds;
        boolean opens = open.test(router);
        boolean justStarted = false;
        for (double now = PERIOD * random.nextDouble(); now < endsAt; now += PERIOD * random.nextDouble(0.5, 1.5)) {
            if (restarts && now >= restartAt) {
                restarts = false;
                justStarted = true;
                reports = new PeerReports(settings, ZONES, random.nextLong());
            }
            double currentLoad = swing == 0 ? load : load * (random.nextBoolean() ? 1 + swing : 1 - swing);
            // A process that has just started has no attempts in flight yet.
            byte[] message = reports.message(now, new Report(justStarted ? 0 : currentLoad, opens && now >= openAt));
            justStarted = false;
            if (message != null) {
                sent.add(new Sent(now, router, message));
            }
        }
    }

    static Api.Settings settings(int routers, int zone) {
        return new Api.Settings(
                routers,
                zone,
                List.of(new Api.RequestClass(
                        Api.Repeat.SAFE, Api.Scope.CELL, 0, 0.5, PERIOD / Api.REPORT_PERIOD_IN_DEADLINES, 1, 0, false)),
                List.of(),
                Api.WeightMeaning.NONE,
                Api.Fetching.THROUGH,
                -1,
                0.001,
                1,
                new Api.Limits(3, true, true, false, 0.5, 0.1, true),
                new Api.Protection(1, 0.2, 20, 3, 2),
                new Api.Prices(0, 0, 0),
                Api.ReportLayout.NONE,
                false);
    }

    /**
     * A report of a routing module. Its length is drawn at once, but its entries only on access, because most reports
     * are not sent.
     */
    private final class Report extends AbstractList<Api.ServerReport> {
        private final double mean;
        private final boolean open;
        private final int size;
        private List<Api.ServerReport> entries;

        Report(double currentLoad, boolean open) {
            this.open = open;
            mean = IN_FLIGHT / SERVERS * currentLoad;
            double probability = -Math.expm1(-mean);
            double drawn = probability * SERVERS
                    + Math.sqrt(probability * (1 - probability) * SERVERS) * random.nextGaussian();
            size = (int) Math.max(0, Math.min(SERVERS, Math.round(drawn)));
        }

        @Override
        public int size() {
            return entries == null ? size : entries.size();
        }

        @Override
        public Api.ServerReport get(int i) {
            if (entries == null) {
                entries = new ArrayList<>();
                int busy = poisson(BUSY_SHARE * mean);
                int usual = poisson(mean);
                if (busy > 0 || open) {
                    entries.add(new Api.ServerReport(BUSY, busy, open));
                }
                if (usual > 0) {
                    entries.add(new Api.ServerReport(USUAL, usual, false));
                }
                for (int server = 100; entries.size() < size; server++) {
                    entries.add(new Api.ServerReport(server, 1, false));
                }
            }
            return entries.get(i);
        }

        @Override
        public Stream<Api.ServerReport> stream() {
            if (size > 0 || open) {
                get(0);
            }
            return entries == null ? Stream.empty() : entries.stream();
        }
    }
}
