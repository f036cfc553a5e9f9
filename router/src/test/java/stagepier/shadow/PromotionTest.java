package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stagepier.freeze.Calendar;

/** Tests promotion and rollback. */
@Timeout(60)
class PromotionTest {
    private static final Verdict GOOD = new Verdict(Verdict.Kind.BETTER, 1000, -0.1, -0.15, -0.05);
    private static final long SKEW = 2000;
    /** Seconds from the agreement to the first step: lease, skew and one second. */
    private static final double LEAD = 6;

    /** Returns a plan with the steps 100 and 10,000, 30 s apart. */
    private static PromotionPlan plan() {
        return PromotionPlan.of(CandidateFileTest.good(), 1_000_000);
    }

    /**
     * P12: with clocks within the skew, two routers differ only in the keys of one step, and only within the skew of
     * its time.
     */
    @Test
    void routersDifferOnlyInTheKeysOfOneStepAndOnlyNearItsTime() {
        Random random = new Random(1);
        Slice slice = new Slice("shadow");
        PromotionPlan up = plan();
        for (PromotionPlan plan : List.of(up, up.rollback(CandidateFileTest.good(), 1_050_000))) {
            int differed = 0;
            for (int i = 0; i < 50_000; i++) {
                long key = random.nextLong();
                long now = 990_000 + random.nextInt(90_000);
                long other = now + random.nextInt((int) (2 * SKEW)) - SKEW;
                boolean here = slice.contains(key, plan.share(now));
                boolean there = slice.contains(key, plan.share(other));
                if (here != there) {
                    differed++;
                    assertTrue(
                            plan.stepTimes().stream().anyMatch(m -> Math.abs(m - now) <= SKEW),
                            "routers differ far from the time of a step");
                }
            }
            assertTrue(differed > 0);
        }
    }

    @Test
    void shareOnlyRisesInAPromotionAndOnlyFallsInARollback() {
        PromotionPlan up = plan();
        int last = 0;
        for (long t = 990_000; t < 1_100_000; t += 100) {
            assertTrue(up.share(t) >= last);
            last = up.share(t);
        }
        assertEquals(10_000, last);
        PromotionPlan back = up.rollback(CandidateFileTest.good(), 1_100_000);
        for (long t = 1_000_000; t < 1_200_000; t += 100) {
            assertTrue(back.share(t) <= last);
            last = back.share(t);
        }
        assertEquals(0, last);
        assertTrue(back.isRollback() && !up.isRollback());
        assertEquals(
                100,
                up.rollback(CandidateFileTest.good(), 1_010_000).share(1_009_999),
                "share before the rollback of a partial promotion");
    }

    @Test
    void planSurvivesSerializationAndInvalidTextIsRejected() {
        assertEquals(plan(), PromotionPlan.parse(plan().text()));
        for (String bad : List.of(
                "",
                "{}",
                "[1]",
                "{\"map\":\"\",\"shares\":[],\"from\":1}",
                "{\"map\":\"\",\"shares\":[10001]}",
                "{\"map\":\"\",\"shares\":[1],\"apart\":-1}",
                "{\"map\":3")) {
            assertThrows(IllegalArgumentException.class, () -> PromotionPlan.parse(bad), bad);
        }
    }

    /** Requests a promotion on a task of the first router and returns the result. */
    private static String promote(ShadowFleet fleet, Verdict verdict, String stopped) {
        AtomicReference<String> result = new AtomicReference<>();
        ShadowFleet.Router r = fleet.router(0);
        r.node.start(
                "promote",
                () -> result.set(r.service.promotion().promote(r.service.state().map(), verdict, stopped)));
        assertTrue(fleet.world.runUntil(() -> result.get() != null, Duration.ofSeconds(10)));
        return result.get();
    }

    private static void assertShares(ShadowFleet fleet, int share) {
        fleet.live().forEach(r -> assertEquals(share, r.service.share(), r.name));
    }

    @Test
    void onlyAGoodVerdictOfAMajorityLeadsToAPromotion() {
        try (ShadowFleet fleet = new ShadowFleet(1, 5)) {
            fleet.awaitActive(ShadowFleet.map(1));
            for (Verdict.Kind kind : List.of(Verdict.Kind.WORSE, Verdict.Kind.NOT_ENOUGH)) {
                assertTrue(
                        promote(fleet, new Verdict(kind, 9, 0, -1, 1), "").startsWith("not promoted: the verdict is"));
            }
            assertEquals("not promoted: the candidate was stopped: wrong", promote(fleet, GOOD, "wrong"));
            fleet.router(0).majority = false;
            assertEquals("not promoted: this router is in no majority", promote(fleet, GOOD, ""));
            fleet.run(100);
            assertTrue(fleet.agreed.isEmpty());
            assertShares(fleet, 0);
        }
    }

    @Test
    void allRoutersFollowTheStepsAndTheRollback() {
        try (ShadowFleet fleet = new ShadowFleet(1, 5)) {
            fleet.awaitActive(ShadowFleet.map(1));
            assertTrue(promote(fleet, GOOD, "").startsWith("promotion agreed"));
            fleet.run(LEAD - 0.5);
            assertShares(fleet, 0);
            fleet.run(1);
            assertShares(fleet, 100);
            assertTrue(
                    fleet.live().stream().noneMatch(ShadowFleet.Router::mayCopy),
                    "copies are sent while the candidate is promoted");
            fleet.run(29);
            assertShares(fleet, 100);
            fleet.run(1);
            assertShares(fleet, 10_000);
            assertTrue(promote(fleet, GOOD, "").contains("roll it back first"), "asked for once more");
            assertShares(fleet, 10_000);
            ShadowFleet.Router r = fleet.router(2);
            r.node.start("back", () -> r.service.promotion().rollBack());
            fleet.run(LEAD - 0.5);
            assertShares(fleet, 10_000);
            fleet.run(1);
            assertShares(fleet, 100);
            fleet.run(10);
            assertShares(fleet, 0);
        }
    }

    /** No promotion is accepted in a freeze, whether the freeze is in force or begins before a later step. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 20})
    void nothingIsPromotedInsideAFreeze(double open) {
        try (ShadowFleet fleet = new ShadowFleet(1, 5)) {
            fleet.awaitActive(ShadowFleet.map(1));
            fleet.calendar = atWall(fleet, open);
            String result = promote(fleet, GOOD, "");
            assertTrue(result.startsWith("not promoted: ") && result.contains("FROZEN"), result);
            assertTrue(fleet.agreed.isEmpty());
        }
    }

    /**
     * Returns a calendar that is open for a number of seconds from now by the wall clock, also when asked about a later
     * time.
     */
    private static Calendar atWall(ShadowFleet fleet, double open) {
        java.time.Instant until = fleet.router(0).node.wall().instant().plusMillis((long) (open * 1e3));
        return new Calendar() {
            @Override
            public long version() {
                return 1;
            }

            @Override
            public Answer ask(stagepier.freeze.Change change, java.time.Instant wall, long nanoTime) {
                return wall.isBefore(until) ? new Answer(Permit.OPEN, "") : new Answer(Permit.FROZEN, "match");
            }
        };
    }

    /**
     * A freeze window is agreed while a promotion is under way: each router keeps its share and continues when the
     * window ends.
     */
    @Test
    void freezePostponesTheNextStepButNotARollback() {
        try (ShadowFleet fleet = new ShadowFleet(1, 5)) {
            fleet.awaitActive(ShadowFleet.map(1));
            promote(fleet, GOOD, "");
            fleet.run(LEAD + 1);
            fleet.calendar = fleet.openUntil(0);
            fleet.run(60);
            assertShares(fleet, 100);
            fleet.calendar = Calendar.NONE;
            fleet.run(1);
            assertShares(fleet, 10_000);
            fleet.calendar = fleet.openUntil(0);
            ShadowFleet.Router r = fleet.router(2);
            r.node.start("back", () -> r.service.promotion().rollBack());
            fleet.run(30);
            assertShares(fleet, 0);
        }
    }

    /**
     * A router that does not learn of the promotion keeps the map in use and is reported as a straggler. It catches up
     * once it learns of the promotion, and so does a router that was restarted.
     */
    @Test
    void stragglerIsReportedAndCatchesUp() {
        try (ShadowFleet fleet = new ShadowFleet(1, 5)) {
            fleet.awaitActive(ShadowFleet.map(1));
            List<String> unreachable = fleet.names.subList(4, 5);
            fleet.net.partition(unreachable, fleet.names.subList(0, 4), true);
            fleet.unreachable.add(unreachable.get(0));
            fleet.router(0).service.adopt(ShadowFleet.map(2));
            fleet.run(5);
            promote(fleet, GOOD, "");
            fleet.run(60);
            assertEquals(0, fleet.router(4).service.share());
            assertEquals(10_000, fleet.router(1).service.share());
            assertTrue(status(fleet).endsWith("stragglers " + unreachable.get(0)), status(fleet));
            fleet.net.heal();
            fleet.unreachable.clear();
            fleet.run(5);
            assertShares(fleet, 10_000);
            assertTrue(status(fleet).endsWith("stragglers none"), status(fleet));
            fleet.router(3).node.kill();
            fleet.start(fleet.names.get(3), Duration.ofMillis(SKEW));
            fleet.run(5);
            assertShares(fleet, 10_000);
        }
    }

    private static String status(ShadowFleet fleet) {
        return fleet.router(1).service.status().stream()
                .filter(l -> l.startsWith("promotion: "))
                .findFirst()
                .orElse("");
    }
}
