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
 * Prevents promises and votes that are lost in a restart from breaking the agreement: routers are killed just after
 * they vote and restarted at once. The product's acceptor has to keep all guarantees. With faulty acceptors the checker
 * has to find a violation, which shows that the histories and the checker can detect one.
 */
@Timeout(300)
class LostVoteTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final long SEEDS = Long.getLong("planted", 60);

    /** A faulty acceptor that votes without having recovered. */
    private static final class VotingWithoutRecovery extends Acceptor {
        VotingWithoutRecovery(String self, long incarnation, LongSupplier wallMs, History history) {
            super(self, incarnation, wallMs, history);
        }

        @Override
        boolean mayVote(long inGeneration) {
            return true;
        }
    }

    /** A faulty acceptor that does not tell other routers which processes have ended. */
    private static final class WithoutCrashVectors extends Acceptor {
        WithoutCrashVectors(String self, long incarnation, LongSupplier wallMs, History history) {
            super(self, incarnation, wallMs, history);
        }

        @Override
        Map<String, Long> knownIncarnations() {
            return Map.of();
        }
    }

    private static Windows text(int i) {
        return Calendars.window("w" + i, START.minusSeconds(60), START.plusSeconds(600 + i));
    }

    private static List<String> runRandom(long seed, VirtualFleet.AcceptorFactory acceptors) {
        try (VirtualFleet fleet = new VirtualFleet(seed, 5, text(0), acceptors)) {
            Random random = new Random(seed);
            FaultInjector faults = new FaultInjector(fleet, List.of());
            fleet.startAll();
            fleet.world.runUntil(fleet::allAgree, Duration.ofSeconds(10));
            fleet.net.delay(0.001, 0.05 + random.nextDouble() * 0.2);
            fleet.afterEachEvent(() -> {
                VirtualFleet.Event e = fleet.last();
                boolean byAnother =
                        e.what().equals("calendar.vote") && !e.text("by").equals(e.router());
                if (byAnother && random.nextInt(5) == 0) {
                    fleet.world.after(Duration.ofMillis(1), () -> faults.restart(e.router(), 0.001));
                }
            });
            for (int i = 1; i <= 25; i++) {
                Windows windows = fleet.track(text(i));
                fleet.world.after(
                        Duration.ofMillis(300L * i + random.nextInt(300)),
                        () -> fleet.any(random).propose(windows));
            }
            fleet.world.run(Duration.ofSeconds(9));
            return HistoryChecker.violations(fleet);
        }
    }

    /**
     * The case that crash vectors prevent: the first router that votes for another's proposal loses its state at once
     * and recovers from three routers that have not voted yet, of which one votes afterwards. The proposer counts
     * itself, the restarted router and that last one as a majority; the other three, partitioned from it, agree on
     * another calendar.
     */
    private static List<String> runTargeted(long seed, VirtualFleet.AcceptorFactory acceptors) {
        try (VirtualFleet fleet = new VirtualFleet(seed, 5, text(0), acceptors)) {
            FaultInjector faults = new FaultInjector(fleet, List.of());
            fleet.startAll();
            assertTrue(fleet.world.runUntil(fleet::allAgree, Duration.ofSeconds(10)));
            List<String> names =
                    new ArrayList<>(fleet.routers.stream().map(r -> r.name).toList());
            String proposer = names.remove(0);
            fleet.net.delay(0.02, 0.3);
            fleet.afterEachEvent(() -> {
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
                                    .forEach(r -> r.propose(fleet.track(text(2)))));
                }
            });
            fleet.routers.get(0).propose(fleet.track(text(1)));
            fleet.world.run(Duration.ofSeconds(4));
            return HistoryChecker.violations(fleet);
        }
    }

    private interface Scenario {
        List<String> violations(long seed, VirtualFleet.AcceptorFactory acceptors);
    }

    /** Returns how many of the histories violate a guarantee. */
    private static long countViolating(Scenario scenario, VirtualFleet.AcceptorFactory acceptors, long seeds) {
        return LongStream.range(0, seeds)
                .parallel()
                .filter(seed -> !scenario.violations(seed, acceptors).isEmpty())
                .count();
    }

    @Test
    void theProductAcceptorKeepsAllGuarantees() {
        assertEquals(0, countViolating(LostVoteTest::runRandom, Acceptor::new, SEEDS));
        assertEquals(0, countViolating(LostVoteTest::runTargeted, Acceptor::new, SEEDS));
    }

    @Test
    void votingWithoutRecoveryIsDetected() {
        assertTrue(countViolating(LostVoteTest::runRandom, VotingWithoutRecovery::new, SEEDS) > 0);
    }

    @Test
    void anAcceptorWithoutCrashVectorsIsDetected() {
        long violating = countViolating(LostVoteTest::runTargeted, WithoutCrashVectors::new, SEEDS);
        assertTrue(violating > 0);
    }
}
