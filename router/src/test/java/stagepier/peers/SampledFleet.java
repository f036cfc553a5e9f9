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
 * All routers of a fleet in virtual time as one of them hears them: the real schedule, sampler, codec and sums, with
 * attempts in flight drawn anew for each report of a module. Eight routers in ten see half of the mean load, fifteen in
 * a hundred twice, five in a hundred six times the mean. A busy server has three times the mean share of all attempts.
 */
final class SampledFleet {
    static final int SERVERS = 240;
    static final int ZONES = 37;
    /** Of a shortest deadline of one and a half seconds. */
    static final double PERIOD = 0.27;
    /** Attempts in flight of a router on the mean. */
    static final double IN_FLIGHT = 42;

    static final long BUSY = 7;
    static final double BUSY_SHARE = 3;
    static final long USUAL = 8;

    /** What a router has sent. */
    record Sent(double at, int router, byte[] message) {
        int bytes() {
            return message.length + ReportSchedule.DATAGRAM_HEADERS;
        }
    }

    final int routers;
    private final SplittableRandom random;
    /** Those that are started anew, and when; all of them have run for long before the play begins where none is. */
    IntPredicate restarted = router -> false;

    double restartAt = Double.POSITIVE_INFINITY;
    /** Those that are gone from a moment on. */
    IntPredicate stopped = router -> false;

    double stopAt = Double.POSITIVE_INFINITY;
    /** Those that have a circuit open against the busy server from a moment on. */
    IntPredicate open = router -> false;

    double openAt = Double.POSITIVE_INFINITY;
    /** Load goes up and down from one report to the next, by this part of it. */
    double swing;

    SampledFleet(int routers, long seed) {
        this.routers = routers;
        random = new SplittableRandom(seed);
    }

    static int zone(int router) {
        return router % ZONES;
    }

    /** Times the mean load. */
    static double load(int router) {
        int of = router % 20;
        return of < 16 ? 0.5 : of < 19 ? 2 : 6;
    }

    /** The mean of all routers' loads, which is 1 where there are many. */
    double meanLoad() {
        double sum = 0;
        for (int router = 0; router < routers; router++) {
            sum += load(router);
        }
        return sum / routers;
    }

    /** Attempts in flight of one router at a server with such a share, on the mean. */
    double mean(int router, double share) {
        return IN_FLIGHT / SERVERS * share * load(router) / meanLoad();
    }

    /** Servers at which a router has anything in flight, on the mean. */
    double entries(int router) {
        return SERVERS * -Math.expm1(-mean(router, 1));
    }

    /** The true sum at a moment: that of numbers drawn by Poisson's law is drawn by it, too. */
    int truth(double share) {
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

    /** What all routers send from time 0 on, in order. */
    List<Sent> play(double seconds) {
        List<Sent> sent = new ArrayList<>();
        double meanLoad = meanLoad();
        for (int router = 0; router < routers; router++) {
            play(router, load(router) / meanLoad, seconds, sent);
        }
        sent.sort(Comparator.comparingDouble(Sent::at));
        return sent;
    }

    private void play(int router, double load, double seconds, List<Sent> sent) {
        Api.Settings settings = settings(routers, zone(router));
        PeerReports reports = new PeerReports(settings, ZONES, random.nextLong());
        boolean restarts = restarted.test(router);
        double until = stopped.test(router) ? Math.min(seconds, stopAt) : seconds;
        boolean opens = open.test(router);
        boolean fresh = false;
        for (double now = PERIOD * random.nextDouble(); now < until; now += PERIOD * random.nextDouble(0.5, 1.5)) {
            if (restarts && now >= restartAt) {
                restarts = false;
                fresh = true;
                reports = new PeerReports(settings, ZONES, random.nextLong());
            }
            double level = swing == 0 ? load : load * (random.nextBoolean() ? 1 + swing : 1 - swing);
            // A process that has just started has nothing in flight yet.
            byte[] message = reports.message(now, new Report(fresh ? 0 : level, opens && now >= openAt));
            fresh = false;
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
     * What a module reports: its length is drawn at once, its entries only where they are asked for, for most are not
     * sent.
     */
    private final class Report extends AbstractList<Api.ServerReport> {
        private final double mean;
        private final boolean open;
        private final int size;
        private List<Api.ServerReport> entries;

        Report(double level, boolean open) {
            this.open = open;
            mean = IN_FLIGHT / SERVERS * level;
            double part = -Math.expm1(-mean);
            double drawn = part * SERVERS + Math.sqrt(part * (1 - part) * SERVERS) * random.nextGaussian();
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
