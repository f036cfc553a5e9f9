package stagepier.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.Api;

class PeerViewTest {
    private final PeerView view = new PeerView(1900, 37);

    private static Api.ServerReport news(long server, int inFlight, boolean open) {
        return new Api.ServerReport(server, inFlight, open);
    }

    private static PeerReport plain(Api.ServerReport... entries) {
        return PeerReport.plain(List.of(entries));
    }

    private static PeerReport weighted(int zone, double weight, Api.ServerReport... entries) {
        return new PeerReport(zone, 4, weight, PeerReport.closed(List.of(entries)), List.of(entries));
    }

    private static Api.PeerTotals sum(long server, int inFlight, int open) {
        return new Api.PeerTotals(server, inFlight, open);
    }

    @Test
    void theLastReportOfEachCounts() {
        view.take(10, 1, plain(news(5, 3, false)));
        view.take(10.1, 2, plain(news(5, 2, true)));
        assertEquals(sum(5, 5, 1), view.of(5));
        assertEquals(Set.of(5L), view.take(10.2, 1, plain(news(5, 1, true))));
        assertEquals(sum(5, 3, 2), view.of(5));
        assertEquals(Set.of(5L), view.take(10.3, 1, plain()), "it has nothing there now");
        assertEquals(sum(5, 2, 1), view.of(5));
        assertEquals(Set.of(), view.take(10.4, 1, plain()));
    }

    /** Guards against a router that died and keeps servers busy, or suspect, with its last report. */
    @Test
    void aRouterThatFellSilentIsForgotten() {
        view.take(10, 1, plain(news(5, 90, true)));
        view.take(10.5, 2, weighted(3, 2, news(5, 10, false)));
        assertEquals(Set.of(5L), view.take(11.1, 3, plain()));
        assertEquals(sum(5, 20, 0), view.of(5));
        assertEquals(Set.of(), view.forget(14.4));
        assertEquals(Set.of(5L), view.forget(14.6), "without a report that comes");
        assertEquals(sum(5, 0, 0), view.of(5));
        assertEquals(0, view.reporters());
        assertEquals(3, view.forgotten());
    }

    @Test
    void attemptsAreWeightedAndRoutersWithAnOpenCircuitAreNot() {
        view.take(10, 1, weighted(1, 10, news(5, 3, false), news(6, 1, true)));
        view.take(10, 2, weighted(2, 2.5, news(5, 1, false), news(6, 0, true)));
        assertEquals(sum(5, 33, 0), view.of(5), "32.5 in all");
        assertEquals(sum(6, 10, 2), view.of(6));
        assertEquals((10 * 10 * 4 + 2.5 * 2.5) / (10 * 4 + 2.5), view.weight(), 1e-9);
    }

    /** What a sampled report leaves out is made up for by what it names, but not by servers with an open circuit. */
    @Test
    void whatASampledReportNamesStandsForWhatItLeavesOut() {
        view.take(10, 1, new PeerReport(1, 4, 2, 30, List.of(news(5, 3, false), news(6, 1, true), news(7, 1, false))));
        assertEquals(sum(5, 90, 0), view.of(5));
        assertEquals(sum(6, 2, 1), view.of(6));
        assertEquals(sum(7, 30, 0), view.of(7));
    }

    /** No report stands for more than all routers, whatever it says. */
    @Test
    void aWeightIsAtMostTheFleet() {
        view.take(10, 1, new PeerReport(1, 4, 1e30, 65_000, List.of(news(5, 2, false), news(6, 1, true))));
        assertEquals(sum(5, 3800, 0), view.of(5));
        assertEquals(sum(6, 1900, 1), view.of(6));
    }

    @Test
    void threeRoutersOfTwoZonesAreNeeded() {
        for (int router = 0; router < 30; router++) {
            view.take(10, router, weighted(4, 20, news(5, 1, true)));
            view.take(10 + router / 100.0, 1, weighted(4, 20, news(5, 1, true)));
        }
        assertEquals(2, view.of(5).open(), "thirty routers, all of one zone");
        view.take(11, 100, weighted(9, 20, news(5, 1, true)));
        assertEquals(31, view.of(5).open());
        view.take(11, 100, weighted(9, 20));
        assertEquals(2, view.of(5).open(), "that of the other zone has closed its circuit again");
        PeerView oneZone = new PeerView(1900, 1);
        for (int router = 0; router < 3; router++) {
            oneZone.take(10, router, weighted(4, 20, news(5, 1, true)));
        }
        assertEquals(3, oneZone.of(5).open(), "there is but one zone");
    }

    /** Few routers do not tell their zone, and three of them are enough. */
    @Test
    void threePlainReportsAreEnough() {
        for (int router = 0; router < 3; router++) {
            assertEquals(router, view.of(5).open());
            view.take(10, router, plain(news(5, 1, true)));
        }
        assertEquals(3, view.of(5).open());
    }

    /** Whatever one router sends, and however often, closes nothing. */
    @Property(seed = "23", tries = 100)
    void oneRouterAloneClosesNothing(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PeerView forged = new PeerView(1900, 37);
        for (int i = 0; i < 20; i++) {
            byte[] message = new byte[11 + 5 * random.nextInt(50)];
            random.nextBytes(message);
            message[0] = (byte) random.nextInt(1, 3);
            message[1] = (byte) ((message.length - (message[0] == 1 ? 2 : 11)) / 5);
            message[3] = 0x0b;
            message[5] = 0x41;
            for (int at = message[0] == 1 ? 2 : 11; at < message.length - 4; at += 5) {
                message[at] = message[at + 1] = message[at + 2] = 0;
                message[at + 3] = (byte) (random.nextInt(8) == 0 ? 5 : at);
                message[at + 4] |= (byte) 0x80;
            }
            try {
                forged.take(10 + i / 10.0, 7, PeerReportCodec.decode(message));
            } catch (IllegalArgumentException malformed) {
                continue;
            }
            for (long server = 0; server < 256; server++) {
                assertTrue(forged.of(server).open() <= 1, () -> "told of by one router");
            }
        }
    }

    /**
     * What is added is taken off again to the last bit, in whatever order; the sum is that of the reports that count.
     */
    @Property(seed = "24", tries = 60)
    void sumsAreThoseOfTheReportsThatCount(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PeerView incremental = new PeerView(40, 3);
        Map<Integer, PeerReport> last = new HashMap<>();
        Map<Integer, Double> at = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextDouble(0.2);
            double then = now;
            int router = random.nextInt(30);
            List<Api.ServerReport> entries = IntStream.range(0, 12)
                    .filter(server -> random.nextInt(3) == 0)
                    .mapToObj(server -> news(server, random.nextInt(20), random.nextInt(5) == 0))
                    .toList();
            PeerReport report = new PeerReport(
                    random.nextInt(2),
                    random.nextDouble(1, 4),
                    random.nextDouble(1, 30),
                    PeerReport.closed(entries) + random.nextInt(5),
                    entries);
            Collection<Long> changed = incremental.take(now, router, report);
            assertTrue(changed.containsAll(
                    entries.stream().map(Api.ServerReport::server).toList()));
            last.put(router, report);
            at.put(router, now);
            last.keySet()
                    .removeIf(other -> then - at.get(other) > last.get(other).window());
            for (long server = 0; server < 12; server++) {
                assertEquals(sum(last.values(), server), incremental.of(server).inFlight(), 1);
            }
        }
        incremental.forget(now + 5);
        IntStream.range(0, 12).forEach(server -> assertEquals(sum(server, 0, 0), incremental.of(server)));
        assertEquals(1, incremental.weight(), "nothing is left over");
    }

    private static double sum(Collection<PeerReport> reports, long server) {
        return reports.stream()
                .mapToDouble(r -> r.entries().stream()
                        .filter(e -> e.server() == server)
                        .mapToDouble(e -> e.inFlight() * Math.min(40, e.open() ? r.weight() : r.weight() * r.sampled()))
                        .sum())
                .sum();
    }

    /** Counts what is touched, not time: with more routers a report costs no more. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void takingAReportCostsItsOwnEntries(int routers) {
        PeerView of = new PeerView(routers, 37);
        List<Api.ServerReport> entries = IntStream.range(0, 40)
                .mapToObj(server -> news(server, 1, false))
                .toList();
        PeerReport report = new PeerReport(1, 4, 1, 40, entries);
        // All reports count at once, which the rate would not allow: the worst case.
        for (int router = 0; router < routers; router++) {
            of.take(10, router, report);
        }
        List<Long> costs = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            long before = of.touched();
            of.take(10.001 + i / 1e4, i % routers, report);
            costs.add(of.touched() - before);
        }
        assertEquals(Set.of(80L), Set.copyOf(costs), "its own entries and those of the report before");
    }
}
