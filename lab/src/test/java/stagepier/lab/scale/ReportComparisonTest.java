package stagepier.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import stagepier.lab.model.Randoms;

/** The comparison itself, in virtual time: it passes equals, and finds what is wrong on purpose. */
class ReportComparisonTest {
    private static final int ROUTERS = 5;
    private static final int REPORTS = 40;
    private static final int[] SERVERS = {3, 5, 8, 13, 21, 34, 55, 89, 144, 233, 377, 610, 987, 1597, 2584, 4181, 6765};
    private static final Set<Integer> NUMBERS = Arrays.stream(SERVERS).boxed().collect(Collectors.toSet());
    private static final double DEADLINE = 1.5;
    private static final double IN_FLIGHT = 10;

    private static List<List<SentReport>> played(long seed, double deadline, double inFlight, int[] servers) {
        Randoms randoms = new Randoms(seed);
        List<List<SentReport>> all = new ArrayList<>();
        for (int number = 0; number < ROUTERS; number++) {
            SimulatedRouter router = new SimulatedRouter(
                    number,
                    0,
                    LoadReportModel.everyPeriod(deadline),
                    inFlight,
                    servers,
                    randoms.of("hollow-" + number),
                    0);
            List<SentReport> reports = new ArrayList<>();
            for (int i = 0; i < REPORTS; i++) {
                reports.add(new SentReport(router.nextAt(), router.report()));
            }
            all.add(reports);
        }
        return all;
    }

    private static List<String> differences(List<List<SentReport>> hollow) {
        return ReportComparison.differences(played(1, DEADLINE, IN_FLIGHT, SERVERS), hollow, NUMBERS);
    }

    @Test
    void equalsDoNotPart() {
        for (long seed = 2; seed < 100; seed++) {
            assertEquals(List.of(), differences(played(seed, DEADLINE, IN_FLIGHT, SERVERS)), "seed " + seed);
        }
    }

    @Test
    void aWrongRateSizeOrFormIsFound() {
        assertFound("reports a second", played(2, DEADLINE * 1.3, IN_FLIGHT, SERVERS));
        assertFound("reports a second", played(2, DEADLINE / 1.3, IN_FLIGHT, SERVERS));
        assertFound("bytes a report", played(2, DEADLINE, IN_FLIGHT * 1.5, SERVERS));
        assertFound("bytes a report", played(2, DEADLINE, IN_FLIGHT / 1.5, SERVERS));
        assertFound("not on the list", played(2, DEADLINE, IN_FLIGHT, new int[] {1, 2, 4}));
        List<List<SentReport>> weighted = played(2, DEADLINE, IN_FLIGHT, SERVERS);
        weighted.get(0).set(0, new SentReport(0, new byte[] {2, 0, 0, 0, 0, 0, 0}));
        assertFound("versions", weighted);
        List<List<SentReport>> cutOff = played(2, DEADLINE, IN_FLIGHT, SERVERS);
        cutOff.get(0).set(0, new SentReport(0, new byte[] {1, 3, 0}));
        assertFound("length and count", cutOff);
    }

    /** Of one mean, but spread otherwise. */
    @Test
    void aWrongSpacingIsFound() {
        List<List<SentReport>> regular = new ArrayList<>();
        for (List<SentReport> of : played(2, DEADLINE, IN_FLIGHT, SERVERS)) {
            List<SentReport> reports = new ArrayList<>();
            for (int i = 0; i < of.size(); i++) {
                reports.add(new SentReport(
                        i * LoadReportModel.everyPeriod(DEADLINE).meanGap(),
                        of.get(i).bytes()));
            }
            regular.add(reports);
        }
        assertFound("spacing", regular);
    }

    private static void assertFound(String what, List<List<SentReport>> hollow) {
        List<String> found = differences(hollow);
        assertTrue(found.stream().anyMatch(line -> line.contains(what)), what + " in " + found);
    }
}
