package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
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

    /** Bytes a second that one router of a fleet hears from all others, headers included. */
    private static Map<Integer, Double> heard(ReportPacing reports) {
        int[] servers = new int[StatedLoad.CACHE_SERVERS];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = i + 1;
        }
        Map<Integer, Double> heard = new TreeMap<>();
        for (int size : SIZES) {
            ReportSchedule others = new ReportSchedule(ScaleRun.hollow(reports, 1, size, servers, new Randoms(7), 0));
            double bytes = 0;
            while (others.nextAt() < SECONDS) {
                bytes += others.next().report().length + LoadReportModel.DATAGRAM_HEADERS;
            }
            heard.put(size, bytes / SECONDS);
        }
        return heard;
    }

    @Test
    void withoutABoundWhatIsHeardGrowsLikeTheFleet() {
        Map<Integer, Double> heard = heard(ReportPacing.EVERY);
        double ofOne = heard.get(SIZES[0]) / (SIZES[0] - 1);
        heard.forEach((size, bytes) -> assertEquals(1, bytes / (size - 1) / ofOne, 0.03, heard.toString()));
    }

    @Test
    void withABoundItDoesNotGrow() {
        Map<Integer, Double> heard = heard(ReportPacing.BOUNDED);
        heard.forEach((size, bytes) -> assertEquals(BUDGET, bytes, 0.1 * BUDGET, heard.toString()));
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
