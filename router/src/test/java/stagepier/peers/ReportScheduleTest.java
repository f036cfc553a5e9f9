package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ReportScheduleTest {
    /** That of a shortest deadline of one and a half seconds. */
    private static final double PERIOD = 0.27;

    /** When reports went off, of which the module made one about every period, all of one size. */
    private static List<Double> sent(ReportSchedule schedule, double seconds, int entries, SplittableRandom random) {
        List<Double> sent = new ArrayList<>();
        for (double now = PERIOD * random.nextDouble(); now < seconds; now += PERIOD * random.nextDouble(0.5, 1.5)) {
            if (schedule.isDue(now, entries)) {
                sent.add(now);
            }
        }
        return sent;
    }

    /** Few routers: every report of the module goes off when it is made, in the form that it always had. */
    @ParameterizedTest
    @CsvSource({"2,50", "7,30", "9,23", "14,17"})
    void fewRoutersSendEachReportAsItIsMade(int routers, int entries) {
        ReportSchedule schedule = new ReportSchedule(routers, PERIOD, 5);
        for (int i = 0; i < 1000; i++) {
            assertTrue(schedule.isDue(i * PERIOD / 2, i % (entries + 1)), "report " + i);
            assertFalse(schedule.isBounded());
            assertEquals(1, schedule.window());
            assertEquals(1, schedule.weight());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100, 400, 1900})
    void theMeanGapKeepsAllRoutersTogetherToTheRate(int routers) {
        int entries = 40;
        double bytes = 28 + 11 + 5 * entries;
        double mean = routers * bytes / 6000;
        SplittableRandom random = new SplittableRandom(routers);
        List<Double> gaps = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            List<Double> sent = sent(new ReportSchedule(routers, PERIOD, seed), 400 * mean, entries, random);
            for (int i = 1; i < sent.size(); i++) {
                gaps.add(sent.get(i) - sent.get(i - 1));
            }
        }
        double found = gaps.stream().mapToDouble(gap -> gap).average().orElseThrow();
        assertEquals(mean, found, 0.01 * mean);
        double longest = gaps.stream().mapToDouble(gap -> gap).max().orElseThrow();
        assertTrue(longest <= 1.5 * (mean + PERIOD), longest + " s, the mean " + mean);
        assertTrue(longest > 1.4 * mean, longest + " s, the mean " + mean);
        // What the weight says: the part of time during which a report counts.
        double window = ReportSchedule.window(mean, PERIOD);
        double counts = gaps.stream()
                        .mapToDouble(gap -> Math.min(gap, window))
                        .average()
                        .orElseThrow()
                / found;
        assertEquals(1, counts * ReportSchedule.weight(mean, window), 0.01);
    }

    /** Against the mean of min(gap, window) in small steps. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 1, 2.3, 2.5, 2.7, 3, 4, 6, 7.9, 8, 8.1, 20, 80})
    void aReportStandsForOneOverThePartOfTimeThatItCounts(double mean) {
        double window = ReportSchedule.window(mean, PERIOD);
        int steps = 1_000_000;
        double counts = 0;
        for (int i = 0; i < steps; i++) {
            counts += Math.min(window, mean * (0.5 + (i + 0.5) / steps)) / steps;
        }
        assertEquals(mean / counts, ReportSchedule.weight(mean, window), 1e-6);
        assertTrue(window >= 1 && window <= 4);
    }

    @Test
    void theWeightIsOneWhileNoGapIsLongerThanTheWindow() {
        assertEquals(1, ReportSchedule.weight(2.39, ReportSchedule.window(2.39, PERIOD)));
        assertEquals(77.6 / 4, ReportSchedule.weight(77.6, 4), 1e-9);
    }

    /**
     * Guards against a bias towards loaded moments: a long report must not be followed by a long gap for its length.
     */
    @Test
    void neitherWeightNorGapDependsOnWhatAReportHolds() {
        for (int seed = 0; seed < 50; seed++) {
            ReportSchedule small = new ReportSchedule(1900, PERIOD, seed);
            ReportSchedule large = new ReportSchedule(1900, PERIOD, seed);
            double now = 0;
            boolean due = false;
            while (!due) {
                now += PERIOD;
                due = small.isDue(now, now < 20 * PERIOD ? 20 : 5);
                // The same until it is due, and then larger.
                assertEquals(due, large.isDue(now, due ? 49 : now < 20 * PERIOD ? 20 : 5));
            }
            assertEquals(small.weight(), large.weight());
            assertEquals(small.window(), large.window());
            double small2 = next(small, now);
            assertEquals(small2, next(large, now), "the gap was drawn from what was known before");
        }
    }

    private static double next(ReportSchedule schedule, double from) {
        double now = from + PERIOD;
        while (!schedule.isDue(now, 20)) {
            now += PERIOD;
        }
        return now;
    }

    /** After a standstill of the process what was missed is not made up for. */
    @Test
    void aStandstillIsNotMadeUpFor() {
        ReportSchedule schedule = new ReportSchedule(100, PERIOD, 3);
        SplittableRandom random = new SplittableRandom(4);
        sent(schedule, 60, 40, random);
        double mean = schedule.meanGap();
        int sent = 0;
        for (double now = 3600; now < 3600 + 4 * mean; now += PERIOD) {
            sent += schedule.isDue(now, 40) ? 1 : 0;
        }
        assertTrue(sent <= 6, sent + " in four mean gaps");
    }

    /** Guards against a wave after a start of all at once, and against a second one when their next reports are due. */
    @Test
    void routersThatStartAtOnceSendAtTheUsualRateFromThen() {
        int routers = 4000;
        double mean = 1900 * (28 + 11 + 5 * 40) / 6000.0;
        int[] inFifths = new int[15];
        SplittableRandom random = new SplittableRandom(9);
        for (int router = 0; router < routers; router++) {
            for (double at : sent(new ReportSchedule(1900, PERIOD, router), 3 * mean, 40, random)) {
                inFifths[(int) (5 * at / mean)]++;
            }
        }
        for (int i = 0; i < inFifths.length; i++) {
            assertEquals(
                    routers / 5.0, inFifths[i], 0.15 * routers / 5, "fifth " + i + " of the mean gap after the start");
        }
    }
}
