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

    private static Api.ServerReport entry(long server, int inFlight, boolean open) {
        return new Api.ServerReport(server, inFlight, open);
    }

    private static PeerReport plain(Api.ServerReport... entries) {
        return PeerReport.plain(List.of(entries));
    }

    private static PeerReport weighted(int zone, double weight, Api.ServerReport... entries) {
        return new PeerReport(zone, 4, weight, PeerReport.countClosed(List.of(entries)), List.of(entries));
    }

    private static Api.PeerTotals sum(long server, int inFlight, int open) {
        return new Api.PeerTotals(server, inFlight, open);
    }

    @Test
    void latestReportOfEachRouterIsValid() {
        view.take(10, 1, plain(entry(5, 3, false)));
        view.take(10.1, 2, plain(entry(5, 2, true)));
        assertEquals(sum(5, 5, 1), view.of(5));
        assertEquals(Set.of(5L), view.take(10.2, 1, plain(entry(5, 1, true))));
        assertEquals(sum(5, 3, 2), view.of(5));
        assertEquals(Set.of(5L), view.take(10.3, 1, plain()), "it has no attempts there any more");
        assertEquals(sum(5, 2, 1), view.of(5));
        assertEquals(Set.of(), view.take(10.4, 1, plain()));
    }

    /** A router that died must not keep servers busy, or suspect, with its last report. */
    @Test
    void reportOfASilentRouterExpires() {
        view.take(10, 1, plain(entry(5, 90, true)));
        view.take(10.5, 2, weighted(3, 2, entry(5, 10, false)));
        assertEquals(Set.of(5L), view.take(11.1, 3, plain()));
        assertEquals(sum(5, 20, 0), view.of(5));
        assertEquals(Set.of(), view.forget(14.4));
        assertEquals(Set.of(5L), view.forget(14.6), "without another report");
        assertEquals(sum(5, 0, 0), view.of(5));
        assertEquals(0, view.reporters());
        assertEquals(3, view.forgotten());
    }

    @Test
    void attemptsAreWeightedAndOpenCircuitsAreNot() {
        view.take(10, 1, weighted(1, 10, entry(5, 3, false), entry(6, 1, true)));
        view.take(10, 2, weighted(2, 2.5, entry(5, 1, false), entry(6, 0, true)));
        assertEquals(sum(5, 33, 0), view.of(5), "32.5 in all");
        assertEquals(sum(6, 10, 2), view.of(6));
        assertEquals((10 * 10 * 4 + 2.5 * 2.5) / (10 * 4 + 2.5), view.weight(), 1e-9);
    }

    /** The entries of a sampled report make up for the omitted ones, except those with an open circuit. */
    @Test
    void sampledEntriesRepresentTheOmittedOnes() {
        view.take(
                10, 1, new PeerReport(1, 4, 2, 30, List.of(entry(5, 3, false), entry(6, 1, true), entry(7, 1, false))));
        assertEquals(sum(5, 90, 0), view.of(5));
        assertEquals(sum(6, 2, 1), view.of(6));
        assertEquals(sum(7, 30, 0), view.of(7));
    }

    /** No report represents more than all routers, whatever weight it has. */
    @Test
    void weightIsLimitedToTheFleetSize() {
        view.take(10, 1, new PeerReport(1, 4, 1e30, 65_000, List.of(entry(5, 2, false), entry(6, 1, true))));
        assertEquals(sum(5, 3800, 0), view.of(5));
        assertEquals(sum(6, 1900, 1), view.of(6));
    }

    @Test
    void moreThanTwoOpenCircuitsNeedRoutersOfTwoZones() {
        for (int router = 0; router < 30; router++) {
            view.take(10, router, weighted(4, 20, entry(5, 1, true)));
            view.take(10 + router / 100.0, 1, weighted(4, 20, entry(5, 1, true)));
        }
        assertEquals(2, view.of(5).open(), "thirty routers, all of one zone");
        view.take(11, 100, weighted(9, 20, entry(5, 1, true)));
        assertEquals(31, view.of(5).open());
        view.take(11, 100, weighted(9, 20));
        assertEquals(2, view.of(5).open(), "the router of the other zone has closed its circuit");
        PeerView oneZone = new PeerView(1900, 1);
        for (int router = 0; router < 3; router++) {
            oneZone.take(10, router, weighted(4, 20, entry(5, 1, true)));
        }
        assertEquals(3, oneZone.of(5).open(), "there is only one zone");
    }

    /** Routers of small fleets do not report their zone, and three of them are enough. */
    @Test
    void threePlainReportsNeedNoZones() {
        for (int router = 0; router < 3; router++) {
            assertEquals(router, view.of(5).open());
            view.take(10, router, plain(entry(5, 1, true)));
        }
        assertEquals(3, view.of(5).open());
    }

    /** Reports of one router alone, whatever and however many, never count as enough to close anything. */
    @Property(seed = "23", tries = 100)
    void oneRouterCountsAsAtMostOneOpenCircuit(@ForAll long seed) {
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
                assertTrue(forged.of(server).open() <= 1, () -> "reported by one router");
            }
        }
    }

    /** Additions and subtractions in any order leave no rounding error; the sum is that of the valid reports. */
    @Property(seed = "24", tries = 60)
    void sumsMatchTheValidReports(@ForAll long seed) {
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
                    .mapToObj(server -> entry(server, random.nextInt(20), random.nextInt(5) == 0))
                    .toList();
            PeerReport report = new PeerReport(
                    random.nextInt(2),
                    random.nextDouble(1, 4),
                    random.nextDouble(1, 30),
                    PeerReport.countClosed(entries) + random.nextInt(5),
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
        assertEquals(1, incremental.weight(), "no rounding error remains");
    }

    private static double sum(Collection<PeerReport> reports, long server) {
        return reports.stream()
                .mapToDouble(r -> r.entries().stream()
                        .filter(e -> e.server() == server)
                        .mapToDouble(e ->
                                e.inFlight() * Math.min(40, e.open() ? r.weight() : r.weight() * r.samplingFactor()))
                        .sum())
                .sum();
    }

    /** Counts processed entries instead of time: the cost of a report does not grow with the number of routers. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100, 400, 1900})
    void costOfAReportIsItsOwnEntries(int routers) {
        PeerView of = new PeerView(routers, 37);
        List<Api.ServerReport> entries = IntStream.range(0, 40)
                .mapToObj(server -> entry(server, 1, false))
                .toList();
        PeerReport report = new PeerReport(1, 4, 1, 40, entries);
        // All reports are valid at once, the worst case, which the rate limit would not allow.
        for (int router = 0; router < routers; router++) {
            of.take(10, router, report);
        }
        List<Long> costs = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            long before = of.entriesProcessed();
            of.take(10.001 + i / 1e4, i % routers, report);
            costs.add(of.entriesProcessed() - before);
        }
        assertEquals(Set.of(80L), Set.copyOf(costs), "its own entries and those of the previous report");
    }
}
