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
 * Checks the sums at one router for fleets of different sizes, in virtual time: their traffic, their error and their
 * age.
 */
class SampledFleetTest {
    private static final int SEEDS = 200;
    private static final double SECONDS = 24;
    /** By then every report that is still valid was sent during the simulation. */
    private static final double SETTLED = 6;
    /**
     * Bytes a second that a router may use for control traffic, in and out together, and the maximum for these reports.
     */
    private static final double BUDGET = 7000;

    private static final double RATE = 6000;
    /** Limit for any single second: the mean plus six standard deviations of a Poisson number of datagrams. */
    private static final double MAX_BYTES_IN_A_SECOND = 14_000;

    /** A router that receives the messages of all others. */
    private static final class Receiver {
        private final PeerView view;
        private final List<Sent> sent;
        private IntPredicate receives = router -> true;
        private int next;

        Receiver(SampledFleet fleet, List<Sent> sent) {
            view = new PeerView(fleet.routers, SampledFleet.ZONES);
            this.sent = sent;
        }

        Receiver receivingFrom(IntPredicate senders) {
            receives = senders;
            return this;
        }

        void receiveUntil(double now) {
            for (; next < sent.size() && sent.get(next).at() <= now; next++) {
                Sent s = sent.get(next);
                if (receives.test(s.router())) {
                    view.take(s.at(), s.router(), PeerReportCodec.decode(s.message()));
                }
            }
            view.forget(now);
        }

        int busy() {
            return view.of(SampledFleet.BUSY).inFlight();
        }

        /** Judges a server as {@link stagepier.RoutingPolicy} does, by the mean of all servers. */
        boolean isBusy(long server, double usual) {
            return view.of(server).inFlight() > usual + 1.5 * Math.sqrt(usual * view.weight());
        }
    }

    /** A collection of numbers with their statistics. */
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

        double quantile(double fraction) {
            double[] sorted = all.stream().mapToDouble(v -> v).sorted().toArray();
            return sorted[(int) (fraction * (sorted.length - 1))];
        }
    }

    /**
     * Returns the result for each seed, in the order of the seeds. The runs share no state and are executed in
     * parallel.
     */
    private static <T> List<T> resultsBySeed(int seeds, IntFunction<T> simulate) {
        return IntStream.range(0, seeds).parallel().mapToObj(simulate).toList();
    }

    /** Returns the figures of all seeds together. */
    private static Figures figuresOfAllSeeds(int seeds, IntFunction<Figures> simulate) {
        Figures all = new Figures();
        resultsBySeed(seeds, simulate).forEach(all::addAll);
        return all;
    }

    /** Results of one simulated fleet for the sums and two servers. */
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
        List<Sent> sent = fleet.simulate(seconds);
        sums.bytesPerSecond = sent.stream().mapToInt(Sent::bytes).sum() / seconds;
        Receiver receiver = new Receiver(fleet, sent);
        double mean = SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
        double trueSum = SampledFleet.BUSY_SHARE * mean;
        for (double now = SETTLED; now < seconds; now += 1.5) {
            receiver.receiveUntil(now);
            sums.errors.add((receiver.busy() - fleet.trueSum(SampledFleet.BUSY_SHARE)) / trueSum);
            sums.busy += receiver.isBusy(SampledFleet.BUSY, mean) ? 1 : 0;
            sums.usual += receiver.isBusy(SampledFleet.USUAL, mean) ? 1 : 0;
            sums.moments++;
        }
        return sums;
    }

    /**
     * Returns the expected error of the estimate against the true sum at the same moment: each router adds
     * {@code w s E[x^2] - E[x]^2} to the variance, where w is its weight and s the factor of its sample, and the true
     * sum varies independently with its own variance.
     */
    private static double expectedDeviation(SampledFleet fleet, double share) {
        double variance = 0;
        double trueSum = 0;
        for (int router = 0; router < fleet.routers; router++) {
            double mean = fleet.mean(router, share);
            double entries = fleet.entries(router);
            double sentEntries = Math.min(entries, PeerReportCodec.MAX_ENTRIES_WEIGHTED);
            double gap = fleet.routers * (28 + 11 + 5 * sentEntries) / RATE;
            double weight =
                    ReportSchedule.weight(gap, ReportSchedule.window(gap, SampledFleet.PERIOD)) * entries / sentEntries;
            variance += weight * (mean * mean + mean) - mean * mean;
            trueSum += mean;
        }
        return Math.sqrt(variance + trueSum) / trueSum;
    }

    /** Checks the figures in docs/many-routers.md. */
    @ParameterizedTest
    @CsvSource({"14, 0.6", "100, 0.4", "400, 0.38", "1900, 0.38"})
    void sumIsUnbiasedAndWithinItsErrorBoundAtEachFleetSize(int routers, double bound) {
        Figures errors = new Figures();
        Figures bytes = new Figures();
        int busy = 0;
        int usual = 0;
        int moments = 0;
        // A few hundred moments are too few for the variance of such a small fleet.
        double seconds = routers < 100 ? 5 * SECONDS : SECONDS;
        for (SumsOfOneSeed sums : resultsBySeed(SEEDS, seed -> sumsOf(routers, seed, seconds))) {
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
                        + bytes.mean() + ", at most " + bytes.quantile(1);
        assertEquals(0, errors.mean(), 0.02, all);
        assertEquals(expected, errors.rootMeanSquare(), 0.12 * expected, all);
        assertTrue(errors.rootMeanSquare() < bound, all);
        assertTrue(bytes.mean() < 1.01 * RATE, all);
        assertTrue(bytes.quantile(1) < BUDGET, all);
        if (routers >= 100) {
            assertTrue(busy > 0.95 * moments, "a server with three times the mean is detected: " + all);
            assertTrue(usual < 0.15 * moments, "one with the mean rarely counts as busy: " + all);
        }
    }

    /** The weight must not depend on the momentary load. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1900})
    void varyingLoadDoesNotBiasTheSum(int routers) {
        Figures errors = figuresOfAllSeeds(SEEDS / 2, seed -> {
            Figures ofSeed = new Figures();
            SampledFleet fleet = new SampledFleet(routers, seed);
            fleet.swing = 0.8;
            Receiver receiver = new Receiver(fleet, fleet.simulate(SECONDS));
            double trueSum = SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
            for (double now = SETTLED; now < SECONDS; now += 1.5) {
                receiver.receiveUntil(now);
                ofSeed.add(receiver.busy() / trueSum - 1);
            }
            return ofSeed;
        });
        assertEquals(0, errors.mean(), 0.035, routers + " routers");
    }

    /** No data is older than four seconds: after the last report the sums last no longer than that. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void reportsExpireAfterTheirWindow(int routers) {
        SampledFleet fleet = new SampledFleet(routers, 1);
        List<Sent> sent = fleet.simulate(12);
        Receiver receiver = new Receiver(fleet, sent);
        receiver.receiveUntil(12);
        assertTrue(receiver.busy() > 0);
        receiver.receiveUntil(sent.get(sent.size() - 1).at() + PeerReport.MAX_WINDOW + 1e-3);
        assertEquals(0, receiver.busy());
        assertEquals(0, receiver.view.reporters());
    }

    /** Returns whether a router belongs to a sample of one in {@code oneOf} of each load. */
    private static boolean isOneOf(int router, int oneOf) {
        return (router + router / 20) % oneOf == 0;
    }

    private static void assertBounded(List<Sent> sent, double seconds, String what) {
        int[] bySecond = new int[(int) seconds + 1];
        sent.forEach(s -> bySecond[(int) s.at()] += s.bytes());
        int worst = Arrays.stream(bySecond).max().orElseThrow();
        assertTrue(worst < MAX_BYTES_IN_A_SECOND, what + ": " + worst + " bytes in one second");
        for (int from = 0; from + 24 <= seconds; from += 12) {
            double mean = Arrays.stream(bySecond, from, from + 24).sum() / 24.0;
            assertTrue(mean < BUDGET, what + ": " + mean + " bytes a second from " + from + " s on");
        }
    }

    /**
     * A restart of half or all of the routers at once causes no peak of traffic, neither then nor when their second
     * reports are due.
     */
    @ParameterizedTest
    @CsvSource({"14,2", "100,2", "400,2", "1900,2", "14,1", "100,1", "400,1", "1900,1"})
    void simultaneousRestartsCauseNoPeak(int routers, int oneOf) {
        for (int seed = 0; seed < 3; seed++) {
            SampledFleet fleet = new SampledFleet(routers, seed);
            fleet.restarted = router -> isOneOf(router, oneOf);
            fleet.restartAt = 24;
            List<Sent> sent = fleet.simulate(168);
            assertBounded(sent, 168, routers + " routers, one in " + oneOf + " restarted, seed " + seed);
            Receiver receiver = new Receiver(fleet, sent);
            receiver.receiveUntil(24 + PeerReport.MAX_WINDOW + 6);
            Figures after = new Figures();
            double trueSum = SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers;
            for (double now = 36; now < 168; now += 2) {
                receiver.receiveUntil(now);
                after.add(receiver.busy() / trueSum - 1);
            }
            assertEquals(0, after.mean(), 0.25, routers + " routers, seed " + seed);
        }
    }

    /** The reports of a stopped zone disappear from the sums when the last of them expires. */
    @ParameterizedTest
    @ValueSource(ints = {100, 400, 1900})
    void reportsOfAStoppedZoneExpire(int routers) {
        double ratio = 0;
        for (int seed = 0; seed < 20; seed++) {
            SampledFleet fleet = new SampledFleet(routers, seed);
            // A third of all routers, for a clear effect.
            fleet.stopped = router -> SampledFleet.zone(router) % 3 == 0;
            fleet.stopAt = 12;
            List<Sent> sent = fleet.simulate(30);
            assertBounded(sent, 30, routers + " routers");
            Receiver receiver = new Receiver(fleet, sent);
            receiver.receiveUntil(12 + PeerReport.MAX_WINDOW + 1e-3);
            Receiver rest = new Receiver(fleet, sent).receivingFrom(router -> !fleet.stopped.test(router));
            rest.receiveUntil(12 + PeerReport.MAX_WINDOW + 1e-3);
            assertEquals(rest.busy(), receiver.busy(), "no report of the zone is left");
            double there = 0;
            double all = 0;
            for (int router = 0; router < routers; router++) {
                all += SampledFleet.load(router);
                there += fleet.stopped.test(router) ? 0 : SampledFleet.load(router);
            }
            receiver.receiveUntil(25);
            ratio += receiver.busy()
                    / (SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers * there / all)
                    / 20;
        }
        assertEquals(1, ratio, 0.25);
    }

    /** A region is cut off for an hour: its old reports expire in time, and its return causes no peak. */
    @Test
    void regionThatIsCutOffForAnHourReturnsWithoutAPeak() {
        SampledFleet fleet = new SampledFleet(400, 5);
        List<Sent> sent = fleet.simulate(3600 + 60);
        IntPredicate region = router -> router % 16 == 0;
        List<Sent> received = sent.stream()
                .filter(s -> s.at() < 20 || s.at() >= 3620 || !region.test(s.router()))
                .toList();
        assertBounded(received, 3660, "the rest of the fleet");
        List<Sent> inRegion = sent.stream()
                .filter(s -> s.at() < 20 || s.at() >= 3620 || region.test(s.router()))
                .toList();
        assertBounded(inRegion, 3660, "the region");
        Receiver apart = new Receiver(fleet, inRegion);
        apart.receiveUntil(20 + PeerReport.MAX_WINDOW + 1e-3);
        Receiver alone = new Receiver(fleet, sent).receivingFrom(region);
        alone.receiveUntil(20 + PeerReport.MAX_WINDOW + 1e-3);
        assertEquals(alone.busy(), apart.busy(), "no report of the rest of the fleet is left");
        Figures before = new Figures();
        for (double now = 3560; now < 3618; now += 2) {
            apart.receiveUntil(now);
            before.add(apart.view.reporters());
        }
        Figures after = new Figures();
        for (double now = 3630; now < 3660; now += 2) {
            apart.receiveUntil(now);
            after.add(apart.view.reporters());
        }
        assertEquals(16 * before.mean(), after.mean(), 4 * before.mean(), "it receives all reports again");
    }

    /**
     * One datagram in five is lost: the sum is lower by at most that fraction, and no more messages are sent because of
     * it.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void packetLossLowersTheSumByAtMostItsRate(int routers) {
        Figures parts = figuresOfAllSeeds(SEEDS / 4, seed -> {
            Figures ofSeed = new Figures();
            SampledFleet fleet = new SampledFleet(routers, seed);
            SplittableRandom random = new SplittableRandom(seed);
            Receiver receiver =
                    new Receiver(fleet, fleet.simulate(SECONDS)).receivingFrom(router -> random.nextInt(5) > 0);
            for (double now = SETTLED; now < SECONDS; now += 1.5) {
                receiver.receiveUntil(now);
                ofSeed.add(receiver.busy()
                        / (SampledFleet.BUSY_SHARE * SampledFleet.IN_FLIGHT / SampledFleet.SERVERS * routers));
            }
            return ofSeed;
        });
        assertTrue(parts.mean() > 0.78 && parts.mean() < 1.02, parts.mean() + " of the truth");
    }

    /**
     * How a new failure becomes known.
     *
     * @param after seconds until three routers have reported it
     * @param rate  reports a second
     */
    private record Detection(double after, double rate) {}

    private static Detection detection(int routers, int oneOf, int seed) {
        SampledFleet fleet = new SampledFleet(routers, seed);
        fleet.open = router -> isOneOf(router, oneOf);
        fleet.openAt = 4;
        List<Sent> sent = fleet.simulate(SECONDS);
        Receiver receiver = new Receiver(fleet, sent);
        double now = 4;
        while (now < SECONDS && receiver.view.of(SampledFleet.BUSY).open() < 3) {
            now += 0.02;
            receiver.receiveUntil(now);
        }
        return new Detection(now - 4, sent.size() / SECONDS);
    }

    /**
     * A real failure seen by a tenth or half of the routers: three of them have reported it after about three over
     * their rate.
     */
    @ParameterizedTest
    @CsvSource({"14,2", "100,10", "100,2", "400,10", "400,2", "1900,10", "1900,2"})
    void failureIsReportedInTime(int routers, int oneOf) {
        Figures times = new Figures();
        double rate = 0;
        for (Detection detection : resultsBySeed(SEEDS, seed -> detection(routers, oneOf, seed))) {
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
