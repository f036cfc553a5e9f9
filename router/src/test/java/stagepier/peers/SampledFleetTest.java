package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.peers.SampledFleet.Sent;

/**
 * What one router hears of fleets of any size, in virtual time: what it costs, how far the sums are off, how old they
 * are.
 */
class SampledFleetTest {
    private static final int SEEDS = 200;
    private static final double SECONDS = 24;
    /** By then all that counts has been told in the play. */
    private static final double SETTLED = 6;
    /** What a router may spend on control, in and out together, and what these reports take of it at the most. */
    private static final double BUDGET = 7000;

    private static final double RATE = 6000;
    /** In any single second: the mean and six deviations of a number of datagrams drawn by Poisson's law. */
    private static final double ANY_SECOND = 14_000;

    /** One router that hears all others. */
    private static final class Receiver {
        private final PeerView view;
        private final List<Sent> sent;
        private IntPredicate hears = router -> true;
        private int next;

        Receiver(SampledFleet fleet, List<Sent> sent) {
            view = new PeerView(fleet.routers, SampledFleet.ZONES);
            this.sent = sent;
        }

        Receiver hearing(IntPredicate whom) {
            hears = whom;
            return this;
        }

        void hearUntil(double now) {
            for (; next < sent.size() && sent.get(next).at() <= now; next++) {
                Sent s = sent.get(next);
                if (hears.test(s.router())) {
                    view.take(s.at(), s.router(), PeerReportCodec.decode(s.message()));
                }
            }
            view.forget(now);
        }

        int busy() {
            return view.of(SampledFleet.BUSY).inFlight();
        }

        /** As {@link stagepier.RoutingPolicy} judges it, by the mean of all servers. */
        boolean isBusy(long server, double usual) {
            return view.of(server).inFlight() > usual + 1.5 * Math.sqrt(usual * view.weight());
        }
    }

    /** Numbers and what can be said of them. */
    private static final class Figures {
        private final List<Double> all = new ArrayList<>();

        void add(double value) {
            all.add(value);
        }

        void addAll(Figures others) {
            all.addAll(others.all);
        }

        double mean() {
            return all.stream().mapToDouble(v -> v).average().orElseThrow();
        }

        double rootMeanSquare() {
            return Math.sqrt(all.stream().mapToDouble(v -> v * v).average().orElseThrow());
        }

        double quantile(double part) {
            double[] sorted = all.stream().mapToDouble(v -> v).sorted().toArray();
            return sorted[(int) (part * (sorted.length - 1))];
        }
    }

    /** What each seed comes to, in the order of the seeds; they share nothing, so that they are played side by side. */
    private static <T> List<T> ofSeeds(int seeds, IntFunction<T> play) {
        return IntStream.range(0, seeds).parallel().mapToObj(play).toList();
    }

    /** The figures of all seeds together. */
    private static Figures figuresOfSeeds(int seeds, IntFunction<Figures> play) {
        Figures all = new Figures();
        ofSeeds(seeds, play).forEach(all::addAll);
        return all;
    }

    /** What one fleet showed of the sums and of two servers. */
    private static final class SumsOfOneSeed {
        private final Figures errors = new Figures();
        private double bytesPerSecond;
        private int busy;
        private int usual;
        private int moments;
    }

    private static SumsOfOneSeed sumsOf(int routers, int seed, double seconds) {
        SumsOfOneSeed sums = new SumsOfOneSeed();
        SampledFleet fleet = new SampledFleet(routers, seed);
        List<Sent> sent = fleet.play(seconds);
        sums.bytesPerSecond = sent.stream().mapToInt(Sent::bytes).sum() / seconds;
        Receiver receiver = new Receiver(fleet, sent);
        double mean = SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
        double truth = SampledFleet.BUSY_SHARE * mean;
        for (double now = SETTLED; now < seconds; now += 1.5) {
            receiver.hearUntil(now);
            sums.errors.add((receiver.busy() - fleet.truth(SampledFleet.BUSY_SHARE)) / truth);
            sums.busy += receiver.isBusy(SampledFleet.BUSY, mean) ? 1 : 0;
            sums.usual += receiver.isBusy(SampledFleet.USUAL, mean) ? 1 : 0;
            sums.moments++;
        }
        return sums;
    }

    /**
     * Error of the estimate against the truth at the same moment, by its formula: each router adds {@code w s E[x^2] -
     * E[x]^2}, where w is its weight and s what its sample stands for, and the truth goes its own way meanwhile, by its
     * own variance.
     */
    private static double expectedDeviation(SampledFleet fleet, double share) {
        double variance = 0;
        double truth = 0;
        for (int router = 0; router < fleet.routers; router++) {
            double mean = fleet.mean(router, share);
            double entries = fleet.entries(router);
            double told = Math.min(entries, PeerReportCodec.ENTRIES_MOST_WEIGHTED);
            double gap = fleet.routers * (28 + 11 + 5 * told) / RATE;
            double weight =
                    ReportSchedule.weight(gap, ReportSchedule.window(gap, SampledFleet.PERIOD)) * entries / told;
            variance += weight * (mean * mean + mean) - mean * mean;
            truth += mean;
        }
        return Math.sqrt(variance + truth) / truth;
    }

    /** The figures of docs/many-routers.md. */
    @ParameterizedTest
    @CsvSource({"14, 0.6", "100, 0.4", "400, 0.38", "1900, 0.38"})
    void theSumIsUnbiasedAndWithinItsBoundAtEachSize(int routers, double bound) {
        Figures errors = new Figures();
        Figures bytes = new Figures();
        int busy = 0;
        int usual = 0;
        int moments = 0;
        // So few vary by chance more than a few hundred moments tell.
        double seconds = routers < 100 ? 5 * SECONDS : SECONDS;
        for (SumsOfOneSeed sums : ofSeeds(SEEDS, seed -> sumsOf(routers, seed, seconds))) {
            errors.addAll(sums.errors);
            bytes.add(sums.bytesPerSecond);
            busy += sums.busy;
            usual += sums.usual;
            moments += sums.moments;
        }
        SampledFleet fleet = new SampledFleet(routers, 0);
        double expected = expectedDeviation(fleet, SampledFleet.BUSY_SHARE);
        String all =
                routers + " routers: mean error " + errors.mean() + ", deviation " + errors.rootMeanSquare() + " where "
                        + expected + " was expected, busy " + busy + " and usual " + usual + " of " + moments
                        + ", bytes a second "
                        + bytes.mean() + " and at the most " + bytes.quantile(1);
        assertEquals(0, errors.mean(), 0.02, all);
        assertEquals(expected, errors.rootMeanSquare(), 0.12 * expected, all);
        assertTrue(errors.rootMeanSquare() < bound, all);
        assertTrue(bytes.mean() < 1.01 * RATE, all);
        assertTrue(bytes.quantile(1) < BUDGET, all);
        if (routers >= 100) {
            assertTrue(busy > 0.95 * moments, "a server with three times the mean is seen: " + all);
            assertTrue(usual < 0.15 * moments, "one with the mean is rarely taken for busy: " + all);
        }
    }

    /** Guards against a weight that goes with the load of the moment. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1900})
    void loadThatGoesUpAndDownDoesNotBiasTheSum(int routers) {
        Figures errors = figuresOfSeeds(SEEDS / 2, seed -> {
            Figures ofSeed = new Figures();
            SampledFleet fleet = new SampledFleet(routers, seed);
            fleet.swing = 0.8;
            Receiver receiver = new Receiver(fleet, fleet.play(SECONDS));
            double truth = SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
            for (double now = SETTLED; now < SECONDS; now += 1.5) {
                receiver.hearUntil(now);
                ofSeed.add(receiver.busy() / truth - 1);
            }
            return ofSeed;
        });
        assertEquals(0, errors.mean(), 0.035, routers + " routers");
    }

    /** What is told is never older than four seconds: after the last report the sums last no longer. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void nothingOlderThanItsWindowCounts(int routers) {
        SampledFleet fleet = new SampledFleet(routers, 1);
        List<Sent> sent = fleet.play(12);
        Receiver receiver = new Receiver(fleet, sent);
        receiver.hearUntil(12);
        assertTrue(receiver.busy() > 0);
        receiver.hearUntil(sent.get(sent.size() - 1).at() + PeerReport.WINDOW_MOST + 1e-3);
        assertEquals(0, receiver.busy());
        assertEquals(0, receiver.view.reporters());
    }

    /** One router in so many, of each load. */
    private static boolean isOneOf(int router, int oneOf) {
        return (router + router / 20) % oneOf == 0;
    }

    private static void assertBounded(List<Sent> sent, double seconds, String what) {
        int[] bySecond = new int[(int) seconds + 1];
        sent.forEach(s -> bySecond[(int) s.at()] += s.bytes());
        int worst = Arrays.stream(bySecond).max().orElseThrow();
        assertTrue(worst < ANY_SECOND, what + ": " + worst + " bytes in one second");
        for (int from = 0; from + 24 <= seconds; from += 12) {
            double mean = Arrays.stream(bySecond, from, from + 24).sum() / 24.0;
            assertTrue(mean < BUDGET, what + ": " + mean + " bytes a second from " + from + " s on");
        }
    }

    /** Half of all, and all, started anew in one moment: no wave then, none when their second reports are due. */
    @ParameterizedTest
    @CsvSource({"14,2", "100,2", "400,2", "1900,2", "14,1", "100,1", "400,1", "1900,1"})
    void manyThatStartAtOnceSendNoWave(int routers, int oneOf) {
        for (int seed = 0; seed < 3; seed++) {
            SampledFleet fleet = new SampledFleet(routers, seed);
            fleet.restarted = router -> isOneOf(router, oneOf);
            fleet.restartAt = 24;
            List<Sent> sent = fleet.play(168);
            assertBounded(sent, 168, routers + " routers, one in " + oneOf + " anew, seed " + seed);
            Receiver receiver = new Receiver(fleet, sent);
            receiver.hearUntil(24 + PeerReport.WINDOW_MOST + 6);
            Figures after = new Figures();
            double truth = SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
            for (double now = 36; now < 168; now += 2) {
                receiver.hearUntil(now);
                after.add(receiver.busy() / truth - 1);
            }
            assertEquals(0, after.mean(), 0.25, routers + " routers, seed " + seed);
        }
    }

    /** A zone that is gone is gone from the sums as soon as the last of what it told is too old. */
    @ParameterizedTest
    @ValueSource(ints = {100, 400, 1900})
    void aZoneThatIsGoneIsForgotten(int routers) {
        double ratio = 0;
        for (int seed = 0; seed < 20; seed++) {
            SampledFleet fleet = new SampledFleet(routers, seed);
            // A third of all, so that it shows.
            fleet.stopped = router -> SampledFleet.zone(router) % 3 == 0;
            fleet.stopAt = 12;
            List<Sent> sent = fleet.play(30);
            assertBounded(sent, 30, routers + " routers");
            Receiver receiver = new Receiver(fleet, sent);
            receiver.hearUntil(12 + PeerReport.WINDOW_MOST + 1e-3);
            Receiver rest = new Receiver(fleet, sent).hearing(router -> !fleet.stopped.test(router));
            rest.hearUntil(12 + PeerReport.WINDOW_MOST + 1e-3);
            assertEquals(rest.busy(), receiver.busy(), "nothing of the zone is left");
            double there = 0;
            double all = 0;
            for (int router = 0; router < routers; router++) {
                all += SampledFleet.load(router);
                there += fleet.stopped.test(router) ? 0 : SampledFleet.load(router);
            }
            receiver.hearUntil(25);
            ratio += receiver.busy()
                    / (SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers * there / all)
                    / 20;
        }
        assertEquals(1, ratio, 0.25);
    }

    /** A region is apart for an hour: its old sums are gone in time, and its return is no wave. */
    @Test
    void aRegionThatIsCutOffForAnHourReturnsWithoutAWave() {
        SampledFleet fleet = new SampledFleet(400, 5);
        List<Sent> sent = fleet.play(3600 + 60);
        IntPredicate region = router -> router % 16 == 0;
        List<Sent> heard = sent.stream()
                .filter(s -> s.at() < 20 || s.at() >= 3620 || !region.test(s.router()))
                .toList();
        assertBounded(heard, 3660, "the rest of the fleet");
        List<Sent> inRegion = sent.stream()
                .filter(s -> s.at() < 20 || s.at() >= 3620 || region.test(s.router()))
                .toList();
        assertBounded(inRegion, 3660, "the region");
        Receiver apart = new Receiver(fleet, inRegion);
        apart.hearUntil(20 + PeerReport.WINDOW_MOST + 1e-3);
        Receiver alone = new Receiver(fleet, sent).hearing(region);
        alone.hearUntil(20 + PeerReport.WINDOW_MOST + 1e-3);
        assertEquals(alone.busy(), apart.busy(), "nothing of the rest is left");
        Figures before = new Figures();
        for (double now = 3560; now < 3618; now += 2) {
            apart.hearUntil(now);
            before.add(apart.view.reporters());
        }
        Figures after = new Figures();
        for (double now = 3630; now < 3660; now += 2) {
            apart.hearUntil(now);
            after.add(apart.view.reporters());
        }
        assertEquals(16 * before.mean(), after.mean(), 4 * before.mean(), "it hears all again");
    }

    /** One datagram in five is lost: the sum falls by as much at the most, and no more is sent for it. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void whatIsLostLowersTheSumByItsPartAtTheMost(int routers) {
        Figures parts = figuresOfSeeds(SEEDS / 4, seed -> {
            Figures ofSeed = new Figures();
            SampledFleet fleet = new SampledFleet(routers, seed);
            SplittableRandom random = new SplittableRandom(seed);
            Receiver receiver = new Receiver(fleet, fleet.play(SECONDS)).hearing(router -> random.nextInt(5) > 0);
            for (double now = SETTLED; now < SECONDS; now += 1.5) {
                receiver.hearUntil(now);
                ofSeed.add(receiver.busy()
                        / (SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers));
            }
            return ofSeed;
        });
        assertTrue(parts.mean() > 0.78 && parts.mean() < 1.02, parts.mean() + " of the truth");
    }

    /**
     * How a failure that begins becomes known.
     *
     * @param after seconds until three have reported it
     * @param rate  reports a second
     */
    private record Detection(double after, double rate) {}

    private static Detection detection(int routers, int oneOf, int seed) {
        SampledFleet fleet = new SampledFleet(routers, seed);
        fleet.open = router -> isOneOf(router, oneOf);
        fleet.openAt = 4;
        List<Sent> sent = fleet.play(SECONDS);
        Receiver receiver = new Receiver(fleet, sent);
        double now = 4;
        while (now < SECONDS && receiver.view.of(SampledFleet.BUSY).open() < 3) {
            now += 0.02;
            receiver.hearUntil(now);
        }
        return new Detection(now - 4, sent.size() / SECONDS);
    }

    /** A true failure, seen by a tenth or a half of the routers: three tell of it in about three over their rate. */
    @ParameterizedTest
    @CsvSource({"14,2", "100,10", "100,2", "400,10", "400,2", "1900,10", "1900,2"})
    void aTrueFailureIsToldInTime(int routers, int oneOf) {
        Figures times = new Figures();
        double rate = 0;
        for (Detection detection : ofSeeds(SEEDS, seed -> detection(routers, oneOf, seed))) {
            times.add(detection.after());
            rate += detection.rate() / SEEDS;
        }
        double three = 3 * oneOf / rate;
        String all = routers + " routers, one in " + oneOf + ": mean " + times.mean() + " s, nine in ten by "
                + times.quantile(0.9) + " s, the last " + times.quantile(1) + " s; three over the rate is " + three
                + " s";
        assertTrue(times.mean() < 1.5 * three + SampledFleet.PERIOD, all);
        assertTrue(times.quantile(0.9) < 2.5 * three + SampledFleet.PERIOD, all);
    }
}
