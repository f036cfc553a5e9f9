package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks the guarantees P5, P6 and P8 over histories drawn from seeds: faults of all kinds while calendars are
 * proposed.
 */
@Timeout(600)
class RandomHistoriesTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));
    private static final Windows SOON = Calendars.window("soon", START.plusSeconds(5), START.plusSeconds(9));
    private static final double FAULTS_S = 8;

    /**
     * The violations of a history, and how many seconds the fleet took afterwards to settle, to accept and to learn a
     * calendar.
     */
    record Outcome(long seed, List<String> violations, double settled, double accepted, double known) {}

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    static Outcome run(long seed, int n, int faults, VirtualFleet.AcceptorFactory acceptors) {
        try (VirtualFleet fleet = new VirtualFleet(seed, n, OPEN, acceptors)) {
            fleet.routers.forEach(
                    r -> r.wallOffset = Duration.ofMillis(fleet.world.random().nextInt(2000) - 1000));
            FaultInjector injector = new FaultInjector(fleet, List.of(OPEN, FROZEN, SOON));
            fleet.startAll();
            fleet.queryEvery(Duration.ofMillis(100));
            injector.plan(faults, 6, FAULTS_S);
            fleet.world.run(s(FAULTS_S));
            List<String> violations = new ArrayList<>();
            fleet.world.runUntil(injector::allUp, s(10));
            injector.heal();
            // The clocks are corrected and a new calendar is proposed.
            fleet.routers.forEach(r -> r.node.jump(
                    Duration.between(r.node.wall().instant(), fleet.trueTime().plus(r.wallOffset))));
            double healed = fleet.world.seconds();
            boolean settled = fleet.world.runUntil(
                    () -> fleet.routers.stream().allMatch(r -> !r.learned().equals(Version.NONE))
                            && fleet.routers.stream()
                                            .map(VirtualFleet.Router::learned)
                                            .distinct()
                                            .count()
                                    == 1,
                    s(15));
            double settledAt = fleet.world.seconds();
            if (!settled) {
                violations.add("does not settle in 15 s after healing");
            }
            Windows last = fleet.track(
                    Calendars.window("last", START.minusSeconds(60), START.plusSeconds(3600 + seed % 1000)));
            VirtualFleet.Router proposer = fleet.any(fleet.world.random());
            int before = fleet.events.size();
            proposer.propose(last);
            boolean accepted = fleet.world.runUntil(
                    () -> fleet.events.subList(before, fleet.events.size()).stream()
                            .anyMatch(e -> e.what().equals("calendar.ordered")
                                    && e.text("hash").equals(Windows.hash(last.text()))),
                    s(2));
            double acceptedAt = fleet.world.seconds();
            if (!accepted) {
                violations.add("P8: not accepted within 2 s");
            }
            Version version = fleet.events.stream()
                    .filter(e -> e.what().equals("calendar.ordered")
                            && e.text("hash").equals(Windows.hash(last.text())))
                    .map(VirtualFleet.Event::version)
                    .findFirst()
                    .orElse(Version.NONE);
            boolean known = fleet.world.runUntil(
                    () -> fleet.routers.stream()
                            .allMatch(
                                    r -> r.learned().compareTo(version) >= 0 && r.permit() != Calendar.Permit.UNKNOWN),
                    s(3));
            if (!known) {
                violations.add("P8: not known by all within 3 s");
            }
            violations.addAll(HistoryChecker.violations(fleet));
            if (!violations.isEmpty() && Boolean.getBoolean("story")) {
                System.out.println("seed " + seed + " " + violations + " healed " + healed + "\n" + fleet.transcript());
            }
            return new Outcome(
                    seed, violations, settledAt - healed, acceptedAt - settledAt, fleet.world.seconds() - settledAt);
        }
    }

    private static void runAll(int n, int faults, long from, int count) {
        List<Outcome> outcomes = LongStream.range(from, from + count)
                .parallel()
                .mapToObj(seed -> run(seed, n, faults, Acceptor::new))
                .toList();
        report(n, outcomes);
        assertEquals(
                List.of(),
                outcomes.stream()
                        .filter(o -> !o.violations().isEmpty())
                        .limit(5)
                        .toList());
    }

    private static void report(int n, List<Outcome> outcomes) {
        List<Double> settled =
                new ArrayList<>(outcomes.stream().map(Outcome::settled).toList());
        List<Double> accepted =
                new ArrayList<>(outcomes.stream().map(Outcome::accepted).toList());
        List<Double> known =
                new ArrayList<>(outcomes.stream().map(Outcome::known).toList());
        System.out.println("| " + n + " | " + outcomes.size() + " | " + quantiles(settled) + " | " + quantiles(accepted)
                + " | " + quantiles(known) + " |");
    }

    private static String quantiles(List<Double> values) {
        Collections.sort(values);
        return "%.3f / %.3f / %.3f"
                .formatted(
                        values.get(values.size() / 2),
                        values.get(values.size() * 99 / 100),
                        values.get(values.size() - 1));
    }

    @Test
    void threeRoutersKeepTheGuarantees() {
        runAll(3, 6, 20_000, Integer.getInteger("histories.3", 300));
    }

    @Test
    void fiveRoutersKeepTheGuarantees() {
        runAll(5, 6, 10_000, Integer.getInteger("histories.5", 400));
    }

    @Test
    void thirteenRoutersKeepTheGuarantees() {
        runAll(13, 5, 30_000, Integer.getInteger("histories.13", 20));
    }

    @Test
    void fourteenRoutersKeepTheGuarantees() {
        runAll(14, 5, 1, Integer.getInteger("histories.14", 40));
    }
}
