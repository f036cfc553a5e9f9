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

/** P5, P6 and P8 over histories that a seed draws: faults of all kinds while staff propose calendars. */
@Timeout(600)
class HistoriesTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));
    private static final Windows SOON = Calendars.window("soon", START.plusSeconds(5), START.plusSeconds(9));
    private static final double FAULTS_S = 8;

    /** What a history broke, and how long the fleet took after it to accept and to know. */
    record Outcome(long seed, List<String> breaches, double settled, double accepted, double known) {}

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    static Outcome play(long seed, int n, int faults, VirtualFleet.Memory memory) {
        try (VirtualFleet fleet = new VirtualFleet(seed, n, OPEN, memory)) {
            fleet.routers.forEach(
                    r -> r.wallOff = Duration.ofMillis(fleet.world.random().nextInt(2000) - 1000));
            Faults plan = new Faults(fleet, List.of(OPEN, FROZEN, SOON));
            fleet.startAll();
            fleet.askEach(Duration.ofMillis(100));
            plan.plan(faults, 6, FAULTS_S);
            fleet.world.run(s(FAULTS_S));
            List<String> breaches = new ArrayList<>();
            fleet.world.runUntil(plan::allUp, s(10));
            plan.heal();
            // Staff have set the clocks right, and give a new calendar.
            fleet.routers.forEach(r -> r.node.jump(
                    Duration.between(r.node.wall().instant(), fleet.trueTime().plus(r.wallOff))));
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
                breaches.add("does not settle in 15 s after healing");
            }
            Windows last = fleet.known(
                    Calendars.window("last", START.minusSeconds(60), START.plusSeconds(3600 + seed % 1000)));
            VirtualFleet.Router by = fleet.any(fleet.world.random());
            int before = fleet.events.size();
            by.propose(last);
            boolean accepted = fleet.world.runUntil(
                    () -> fleet.events.subList(before, fleet.events.size()).stream()
                            .anyMatch(e -> e.what().equals("calendar.ordered")
                                    && e.text("hash").equals(Windows.hash(last.text()))),
                    s(2));
            double acceptedAt = fleet.world.seconds();
            if (!accepted) {
                breaches.add("P8: not accepted within 2 s");
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
                breaches.add("P8: not known by all within 3 s");
            }
            breaches.addAll(Judge.breaches(fleet));
            if (!breaches.isEmpty() && Boolean.getBoolean("story")) {
                System.out.println("seed " + seed + " " + breaches + " healed " + healed + "\n" + fleet.story());
            }
            return new Outcome(
                    seed, breaches, settledAt - healed, acceptedAt - settledAt, fleet.world.seconds() - settledAt);
        }
    }

    private static void all(int n, int faults, long from, int count) {
        List<Outcome> outcomes = LongStream.range(from, from + count)
                .parallel()
                .mapToObj(seed -> play(seed, n, faults, Acceptor::new))
                .toList();
        report(n, outcomes);
        assertEquals(
                List.of(),
                outcomes.stream().filter(o -> !o.breaches().isEmpty()).limit(5).toList());
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
    void threeRouters() {
        all(3, 6, 20_000, Integer.getInteger("histories.3", 300));
    }

    @Test
    void fiveRouters() {
        all(5, 6, 10_000, Integer.getInteger("histories.5", 400));
    }

    @Test
    void thirteenRouters() {
        all(13, 5, 30_000, Integer.getInteger("histories.13", 20));
    }

    @Test
    void fourteenRouters() {
        all(14, 5, 1, Integer.getInteger("histories.14", 40));
    }
}
