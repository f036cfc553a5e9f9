package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.fleet.History;

/**
 * Histories that aim at forgotten promises and votes: routers are killed just as they vote, and are back at once. The right
 * memory withstands them; with a wrong one the judge has to find the breach, or it could find none.
 */
@Timeout(300)
class PlantedTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final long SEEDS = Long.getLong("planted", 60);

    /** Votes without having recovered. */
    private static final class Forgetful extends Acceptor {
        Forgetful(String self, long incarnation, LongSupplier wallMs, History history) {
            super(self, incarnation, wallMs, history);
        }

        @Override
        boolean mayVote(long inGeneration) {
            return true;
        }
    }

    /** Tells nobody which processes are over. */
    private static final class WithoutVectors extends Acceptor {
        WithoutVectors(String self, long incarnation, LongSupplier wallMs, History history) {
            super(self, incarnation, wallMs, history);
        }

        @Override
        Map<String, Long> known() {
            return Map.of();
        }
    }

    private static Windows text(int i) {
        return Calendars.window("w" + i, START.minusSeconds(60), START.plusSeconds(600 + i));
    }

    private static List<String> play(long seed, VirtualFleet.Memory memory) {
        try (VirtualFleet fleet = new VirtualFleet(seed, 5, text(0), memory)) {
            Random random = new Random(seed);
            Faults faults = new Faults(fleet, List.of());
            fleet.startAll();
            fleet.world.runUntil(fleet::agree, Duration.ofSeconds(10));
            fleet.net.delay(0.001, 0.05 + random.nextDouble() * 0.2);
            fleet.watch(() -> {
                VirtualFleet.Event e = fleet.last();
                boolean byAnother =
                        e.what().equals("calendar.vote") && !e.text("by").equals(e.router());
                if (byAnother && random.nextInt(5) == 0) {
                    fleet.world.after(Duration.ofMillis(1), () -> faults.restart(e.router(), 0.001));
                }
            });
            for (int i = 1; i <= 25; i++) {
                Windows windows = fleet.known(text(i));
                fleet.world.after(
                        Duration.ofMillis(300L * i + random.nextInt(300)),
                        () -> fleet.any(random).propose(windows));
            }
            fleet.world.run(Duration.ofSeconds(9));
            return Judge.breaches(fleet);
        }
    }

    /**
     * The case that crash vectors are for: the first router that votes for another's proposal forgets it at once, recovers from
     * three that have not voted yet, of which one votes then. The proposer counts itself, the one that forgot and that last
     * one; the other three, cut off, agree on something else.
     */
    private static List<String> aimed(long seed, VirtualFleet.Memory memory) {
        try (VirtualFleet fleet = new VirtualFleet(seed, 5, text(0), memory)) {
            Faults faults = new Faults(fleet, List.of());
            fleet.startAll();
            assertTrue(fleet.world.runUntil(fleet::agree, Duration.ofSeconds(10)));
            List<String> names =
                    new ArrayList<>(fleet.routers.stream().map(r -> r.name).toList());
            String proposer = names.remove(0);
            fleet.net.delay(0.02, 0.3);
            fleet.watch(() -> {
                VirtualFleet.Event e = fleet.last();
                boolean first = names.size() == 4
                        && e.what().equals("calendar.vote")
                        && e.text("by").equals(proposer)
                        && !e.router().equals(proposer);
                if (first) {
                    names.remove(e.router());
                    fleet.net.delay(0.001, 0.003);
                    String late = names.get(0);
                    List<String> rest = List.of(e.router(), names.get(1), names.get(2));
                    rest.forEach(name -> fleet.net.cut(proposer, name, true));
                    fleet.world.after(Duration.ofMillis(1), () -> faults.restart(e.router(), 0.001));
                    fleet.world.after(
                            Duration.ofMillis(16), () -> fleet.net.partition(List.of(proposer, late), rest, true));
                    fleet.world.after(
                            Duration.ofMillis(800),
                            () -> fleet.routers.stream()
                                    .filter(r -> r.name.equals(rest.get(1)))
                                    .forEach(r -> r.propose(fleet.known(text(2)))));
                }
            });
            fleet.routers.get(0).propose(fleet.known(text(1)));
            fleet.world.run(Duration.ofSeconds(4));
            return Judge.breaches(fleet);
        }
    }

    private interface Play {
        List<String> breaches(long seed, VirtualFleet.Memory memory);
    }

    /** How many of the histories break a promise. */
    private static long found(Play play, VirtualFleet.Memory memory, long seeds) {
        return LongStream.range(0, seeds)
                .parallel()
                .filter(seed -> !play.breaches(seed, memory).isEmpty())
                .count();
    }

    @Test
    void theRightMemoryWithstands() {
        assertEquals(0, found(PlantedTest::play, Acceptor::new, SEEDS));
        assertEquals(0, found(PlantedTest::aimed, Acceptor::new, SEEDS));
    }

    @Test
    void aVoteWithoutRecoveryIsFound() {
        assertTrue(found(PlantedTest::play, Forgetful::new, SEEDS) > 0);
    }

    @Test
    void aMemoryWithoutCrashVectorsIsFound() {
        long found = found(PlantedTest::aimed, WithoutVectors::new, SEEDS);
        assertTrue(found > 0);
    }
}
