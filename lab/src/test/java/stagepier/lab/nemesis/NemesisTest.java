package stagepier.lab.nemesis;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import stagepier.lab.model.Randoms;
import stagepier.lab.nemesis.LinkFault.Shape;

/** Who hears whom under each named shape, and that the same seed brings the same fates. */
class NemesisTest {
    private static final int ROUTERS = 5;

    private static LinkFault fault(Shape shape, List<Integer> a, List<Integer> via, double part) {
        return new LinkFault(shape, 5, 10, a, List.of(), via, EnumSet.allOf(Link.class), part, 0.2, 0.1, 2);
    }

    private static Nemesis nemesis(long seed, LinkFault... faults) {
        Nemesis nemesis = new Nemesis(new Randoms(seed), List.of(faults));
        nemesis.starts(100);
        return nemesis;
    }

    /** A row a hearer; a letter for each whom it hears; D for discovery. */
    private static List<String> hears(Nemesis nemesis, double now) {
        List<String> rows = new ArrayList<>();
        for (int to = 0; to < ROUTERS; to++) {
            StringBuilder row = new StringBuilder();
            for (int from = 0; from < ROUTERS; from++) {
                row.append(
                        from == to
                                        || nemesis.treatment(Link.PEERS, from, to, now)
                                                .isSilence()
                                ? ""
                                : (char) ('0' + from));
            }
            rows.add(row.append(
                            nemesis.treatment(Link.DISCOVERY, Link.AGENT, to, now)
                                            .isSilence()
                                    ? ""
                                    : "D")
                    .toString());
        }
        return rows;
    }

    private static final List<String> ALL = List.of("1234D", "0234D", "0134D", "0124D", "0123D");

    @Test
    void aPartitionPartsTheSidesWhileItLasts() {
        Nemesis nemesis = nemesis(1, fault(Shape.PARTITION, List.of(0, 1), List.of(), 0));
        assertEquals(ALL, hears(nemesis, 104.9));
        assertEquals(List.of("1", "0", "34D", "24D", "23D"), hears(nemesis, 105));
        assertEquals(ALL, hears(nemesis, 115));
    }

    @Test
    void aBridgeHearsBothSides() {
        assertEquals(
                List.of("12", "02", "0134D", "24D", "23D"),
                hears(nemesis(1, fault(Shape.BRIDGE, List.of(0, 1), List.of(2), 0)), 106));
    }

    @Test
    void oneWayIsOneWay() {
        Nemesis nemesis = nemesis(1, fault(Shape.ONE_WAY, List.of(0), List.of(), 0));
        assertEquals(List.of("1234D", "234D", "134D", "124D", "123D"), hears(nemesis, 106));
        assertTrue(nemesis.treatment(Link.DISCOVERY, 0, Link.AGENT, 106).isSilence(), "nor does discovery hear it");
    }

    @Test
    void aFlapComesAndGoes() {
        Nemesis nemesis = nemesis(1, fault(Shape.FLAP, List.of(0), List.of(), 0));
        assertEquals(ALL, hears(nemesis, 106.1));
        assertEquals("", hears(nemesis, 105.9).get(0));
        assertEquals("", hears(nemesis, 107.5).get(0));
    }

    @Test
    void faultsAddUpAndMayBeSetWhileItRuns() {
        Nemesis nemesis = nemesis(1, fault(Shape.SLOW, List.of(0), List.of(), 0));
        nemesis.add(fault(Shape.DELAY, List.of(0), List.of(), 0));
        assertEquals(0.4, nemesis.treatment(Link.PEERS, 0, 1, 106).delay(), 1e-9);
        double late = nemesis.lateness(Link.PEERS, 0, 1, 106);
        assertTrue(late >= 0.4 && late <= 0.6, "late by " + late);
        assertEquals(0, nemesis.lateness(Link.PEERS, 1, 2, 106), 1e-9);
    }

    private static List<Integer> copies(Nemesis nemesis) {
        return IntStream.range(0, 400)
                .map(i -> nemesis.deliveries(Link.PEERS, 0, 1, 106).length)
                .boxed()
                .toList();
    }

    @Test
    void partsAreLostDoubledAndOvertakenAlikeForASeed() {
        LinkFault drop = fault(Shape.DROP, List.of(0), List.of(), 0.3);
        LinkFault twice = fault(Shape.DUPLICATE, List.of(0), List.of(), 0.3);
        List<Integer> copies = copies(nemesis(7, drop, twice));
        assertEquals(copies, copies(nemesis(7, drop, twice)));
        long lost = copies.stream().filter(n -> n == 0).count();
        long doubled = copies.stream().filter(n -> n == 2).count();
        assertTrue(lost > 80 && lost < 160, lost + " of 400 lost");
        assertTrue(doubled > 50 && doubled < 120, doubled + " of 400 doubled");
        assertArrayEquals(
                new double[] {LinkConditions.REORDER_DELAY},
                nemesis(7, fault(Shape.REORDER, List.of(0), List.of(), 1)).deliveries(Link.PEERS, 0, 1, 106),
                1e-9);
        assertEquals(
                0,
                copies(nemesis(7, fault(Shape.DROP, List.of(0), List.of(), 1))).stream()
                        .mapToInt(n -> n)
                        .sum());
    }
}
