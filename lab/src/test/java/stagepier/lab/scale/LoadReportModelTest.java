package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stagepier.lab.model.Randoms;

/** How what a router hears grows with the fleet, counted in virtual time, and the form of a report. */
class LoadReportModelTest {
    private static final int[] SIZES = {100, 200, 400, 800, 1900};
    private static final double SECONDS = 60;
    private static final double BUDGET = 6000;
    private static final double DEADLINE = 1.5;

    /** Seconds of a span in which a rate is counted: about a quarter of the mean gap of 1,900 routers. */
    private static final double SPAN = 7;

    private static final int SPANS = 14;
    private static final int FLEETS = 20;

    /** The reports of all routers but one of a fleet. */
    private static ReportSchedule others(ReportPacing reports, int routers, long seed) {
        int[] servers = new int[StatedLoad.CACHE_SERVERS];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = i + 1;
        }
        return new ReportSchedule(ScaleRun.hollow(reports, 1, routers, servers, new Randoms(seed), 0));
    }

    /** Bytes of the reports that are due before that time, headers included. */
    private static double bytesUntil(ReportSchedule reports, double until) {
        double bytes = 0;
        while (reports.nextAt() < until) {
            bytes += reports.next().report().length + LoadReportModel.DATAGRAM_HEADERS;
        }
        return bytes;
    }

    /** Bytes a second that one router of a fleet receives from all others, headers included. */
    private static Map<Integer, Double> received(ReportPacing reports) {
        Map<Integer, Double> received = new TreeMap<>();
        for (int size : SIZES) {
            received.put(size, bytesUntil(others(reports, size, 7), SECONDS) / SECONDS);
        }
        return received;
    }

    /** Routers that have reported for long are at every point of their gaps: neither a wave nor a trough follows. */
    @Test
    void theRateIsTheSameFromTheFirstMomentOn() {
        double[] bytes = new double[SPANS];
        for (long seed = 1; seed <= FLEETS; seed++) {
            ReportSchedule all = others(ReportPacing.BOUNDED, SIZES[SIZES.length - 1], seed);
            for (int span = 0; span < SPANS; span++) {
                bytes[span] += bytesUntil(all, (span + 1) * SPAN) / SPAN / FLEETS;
            }
        }
        for (int span = 0; span < SPANS; span++) {
            assertEquals(BUDGET, bytes[span], 0.05 * BUDGET, "span " + span + " of " + Arrays.toString(bytes));
        }
    }

    @Test
    void withoutABoundWhatIsHeardGrowsLikeTheFleet() {
        Map<Integer, Double> received = received(ReportPacing.EVERY);
        double ofOne = received.get(SIZES[0]) / (SIZES[0] - 1);
        received.forEach((size, bytes) -> assertEquals(1, bytes / (size - 1) / ofOne, 0.03, received.toString()));
    }

    @Test
    void withABoundItDoesNotGrow() {
        Map<Integer, Double> received = received(ReportPacing.BOUNDED);
        received.forEach((size, bytes) -> assertEquals(BUDGET, bytes, 0.1 * BUDGET, received.toString()));
    }

    @Test
    void aSmallFleetIsNotHeldBackByTheBound() {
        LoadReportModel few = LoadReportModel.bounded(DEADLINE, 7);
        few.report(List.of(new ServerLoad(9, 1, false)), 3);
        assertEquals(LoadReportModel.everyPeriod(DEADLINE).meanGap(), few.meanGap());
        assertEquals(1, few.report(List.of(), 3)[0], "it stands for itself alone");
    }

    @Test
    void aReportHasTheRoutersForm() {
        byte[] report = LoadReportModel.everyPeriod(DEADLINE)
                .report(
                        List.of(
                                new ServerLoad(0x01020304, 2, false),
                                new ServerLoad(9, 200, false),
                                new ServerLoad(7, 1, true)),
                        0);
        assertArrayEquals(new byte[] {1, 3, 0, 0, 0, 7, (byte) 0x81, 0, 0, 0, 9, 0x7f, 1, 2, 3, 4, 2}, report);
    }

    @Test
    void aReportThatStandsForOthersSaysForHowMany() {
        LoadReportModel many = LoadReportModel.bounded(DEADLINE, 1900);
        many.report(List.of(), 36);
        // The report before was a plain one without servers, 28 + 2 bytes; each counts for 4 s.
        double gap = 1900 * 30 / 6000.0;
        ByteBuffer report = ByteBuffer.wrap(many.report(List.of(new ServerLoad(9, 1, false)), 36));
        assertEquals(2, report.get());
        assertEquals(1, report.get());
        assertEquals(36, report.get());
        assertEquals(4000, report.getShort());
        assertEquals(gap / 4, report.getFloat(), 1e-4);
        assertEquals(1, report.getShort());
        assertEquals(9, report.getInt());
        assertEquals(1, report.get());
        assertEquals(0, report.remaining());
    }

    @Test
    void whatIsTooMuchForADatagramIsLeftOut() {
        List<ServerLoad> loads = new ArrayList<>();
        for (int server = 1; server <= StatedLoad.CACHE_SERVERS; server++) {
            loads.add(new ServerLoad(server, server % 5 + 1, server == StatedLoad.CACHE_SERVERS));
        }
        byte[] plain = LoadReportModel.everyPeriod(DEADLINE).report(loads, 0);
        assertEquals(2 + 50 * 5, plain.length);
        assertEquals(StatedLoad.CACHE_SERVERS, ByteBuffer.wrap(plain).getInt(2), "open circuits first");
        LoadReportModel many = LoadReportModel.bounded(DEADLINE, 1900);
        many.report(loads, 0);
        assertEquals(11 + 49 * 5, many.report(loads, 0).length);
    }
}
