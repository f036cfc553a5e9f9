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
    /** Report period for a shortest deadline of 1.5 s, in seconds. */
    private static final double PERIOD = 0.27;

    /** Returns when reports were sent, if the module makes one about every period, all of one size. */
    private static List<Double> sent(ReportSchedule schedule, double seconds, int entries, SplittableRandom random) {
        List<Double> sent = new ArrayList<>();
        for (double now = PERIOD * random.nextDouble(); now < seconds; now += PERIOD * random.nextDouble(0.5, 1.5)) {
            if (schedule.isDue(now, entries)) {
                sent.add(now);
            }
        }
        return sent;
    }

    /** With few routers every report of the module is sent when it is made, as a plain report. */
    @ParameterizedTest
    @CsvSource({"2,50", "7,30", "9,23", "14,17"})
    void fewRoutersSendEveryReport(int routers, int entries) {
        ReportSchedule schedule = new ReportSchedule(routers, PERIOD, 5);
        for (int i = 0; i < 1000; i++) {
            assertTrue(schedule.isDue(i * PERIOD / 2, i % (entries + 1)), "report " + i);
            assertFalse(schedule.isRateLimited());
            assertEquals(1, schedule.window());
            assertEquals(1, schedule.weight());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 30, 100, 400, 1900})
    void meanGapKeepsTheWholeFleetWithinTheRate(int routers) {
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
        double measuredMean = gaps.stream().mapToDouble(gap -> gap).average().orElseThrow();
        assertEquals(mean, measuredMean, 0.01 * mean);
        double longest = gaps.stream().mapToDouble(gap -> gap).max().orElseThrow();
        assertTrue(longest <= 1.5 * (mean + PERIOD), longest + " s, the mean " + mean);
        assertTrue(longest > 1.4 * mean, longest + " s, the mean " + mean);
        // The weight is one over the fraction of time during which a report is valid.
        double window = ReportSchedule.window(mean, PERIOD);
        double validSeconds = gaps.stream()
                        .mapToDouble(gap -> Math.min(gap, window))
                        .average()
                        .orElseThrow()
                / measuredMean;
        assertEquals(1, validSeconds * ReportSchedule.weight(mean, window), 0.01);
    }

    /** Compares with the mean of min(gap, window), integrated in small steps. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 1, 2.3, 2.5, 2.7, 3, 4, 6, 7.9, 8, 8.1, 20, 80})
    void weightIsOneOverTheFractionOfTimeThatAReportIsValid(double mean) {
        double window = ReportSchedule.window(mean, PERIOD);
        int steps = 1_000_000;
        double validSeconds = 0;
        for (int i = 0; i < steps; i++) {
            validSeconds += Math.min(window, mean * (0.5 + (i + 0.5) / steps)) / steps;
        }
        assertEquals(mean / validSeconds, ReportSchedule.weight(mean, window), 1e-6);
        assertTrue(window >= 1 && window <= 4);
    }

    @Test
    void weightIsOneWhileNoGapIsLongerThanTheWindow() {
        assertEquals(1, ReportSchedule.weight(2.39, ReportSchedule.window(2.39, PERIOD)));
        assertEquals(77.6 / 4, ReportSchedule.weight(77.6, 4), 1e-9);
    }

    /**
     * A long report must not be followed by a long gap because of its length, which would bias the sum towards moments
     * of high load.
     */
    @Test
    void weightAndGapDoNotDependOnTheContentOfAReport() {
        for (int seed = 0; seed < 50; seed++) {
            ReportSchedule small = new ReportSchedule(1900, PERIOD, seed);
            ReportSchedule large = new ReportSchedule(1900, PERIOD, seed);
            double now = 0;
            boolean due = false;
            while (!due) {
                now += PERIOD;
                due = small.isDue(now, now < 20 * PERIOD ? 20 : 5);
                // The same size until a report is due, and a larger one then.
                assertEquals(due, large.isDue(now, due ? 49 : now < 20 * PERIOD ? 20 : 5));
            }
            assertEquals(small.weight(), large.weight());
            assertEquals(small.window(), large.window());
            double small2 = next(small, now);
            assertEquals(small2, next(large, now), "the gap depends on earlier reports only");
        }
    }

    private static double next(ReportSchedule schedule, double from) {
        double now = from + PERIOD;
        while (!schedule.isDue(now, 20)) {
            now += PERIOD;
        }
        return now;
    }

    /** Reports missed while the process was suspended are not sent later. */
    @Test
    void missedReportsAreNotSentAfterASuspension() {
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

    /**
     * A simultaneous start of all routers must not cause a peak of messages, nor a second one when their next reports
     * are due.
     */
    @Test
    void routersThatStartAtOnceSendAtTheUsualRate() {
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
