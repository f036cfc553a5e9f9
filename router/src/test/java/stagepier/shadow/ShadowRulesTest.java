package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(30)
class ShadowRulesTest {
    private static final ShadowRules.OriginalRequest ALLOWED =
            new ShadowRules.OriginalRequest(true, false, 0, true, 1, 0.9, false);
    private static final ShadowRules.Owners MOVED = new ShadowRules.Owners(1, 1, 2);

    private static RouterState router(boolean pressed, boolean draining) {
        return new RouterState() {
            @Override
            public boolean isPressed() {
                return pressed;
            }

            @Override
            public boolean isDraining() {
                return draining;
            }
        };
    }

    private static CopyDecision rule(ShadowRules.OriginalRequest request, ShadowRules.Owners owners) {
        return new ShadowRules(CandidateFileTest.good(), 1)
                .decide(10, request, owners, true, router(false, false), Eligibility.FIT);
    }

    @Test
    void onlyRepeatableSentRequestsWithTimeLeftAreCopied() {
        assertEquals(CopyDecision.COPY, rule(ALLOWED, MOVED));
        assertEquals(
                CopyDecision.NOT_SAFE,
                rule(new ShadowRules.OriginalRequest(false, false, 0, true, 1, 0.9, false), MOVED));
        assertEquals(
                CopyDecision.NOT_SAFE,
                rule(new ShadowRules.OriginalRequest(true, true, 0, true, 1, 0.9, false), MOVED));
        assertEquals(
                CopyDecision.NOT_SENT,
                rule(new ShadowRules.OriginalRequest(true, false, 0, false, 1, 0.9, false), MOVED));
        assertEquals(
                CopyDecision.NOT_SENT,
                rule(new ShadowRules.OriginalRequest(true, false, 1, true, 1, 0.9, false), MOVED));
        assertEquals(
                CopyDecision.SHORT_OF_TIME,
                rule(new ShadowRules.OriginalRequest(true, false, 0, true, 1, 0.25, false), MOVED));
        assertEquals(
                CopyDecision.COPY, rule(new ShadowRules.OriginalRequest(true, false, 0, true, 1, 0.26, false), MOVED));
    }

    @Test
    void copiesGoOnlyToADifferentOwner() {
        assertEquals(CopyDecision.NOT_MOVED, rule(ALLOWED, new ShadowRules.Owners(1, 1, 1)));
        // Spill-over: the real request was sent to a server other than its owner, and the candidate does not move the
        // key.
        assertEquals(CopyDecision.NOT_MOVED, rule(ALLOWED, new ShadowRules.Owners(3, 2, 2)));
        assertEquals(CopyDecision.NOT_MOVED, rule(ALLOWED, new ShadowRules.Owners(2, 1, 2)));
        assertEquals(CopyDecision.NOT_MOVED, rule(ALLOWED, new ShadowRules.Owners(1, 1, -1)));
    }

    @ParameterizedTest
    @CsvSource({"ABSENT", "DRAINING", "COLD", "CROWDED", "OPEN"})
    void noCopyIsSentToAnIneligibleServer(Eligibility eligibility) {
        assertEquals(
                CopyDecision.NOT_FIT,
                new ShadowRules(CandidateFileTest.good(), 1)
                        .decide(10, ALLOWED, MOVED, true, router(false, false), eligibility));
    }

    @Test
    void noCopyIsSentWhileTheRouterIsInactiveOverloadedDrainingOrRefusing() {
        ShadowRules rules = new ShadowRules(CandidateFileTest.good(), 1);
        assertEquals(
                CopyDecision.NOT_NOW, rules.decide(10, ALLOWED, MOVED, false, router(false, false), Eligibility.FIT));
        assertEquals(
                CopyDecision.NOT_NOW, rules.decide(10, ALLOWED, MOVED, true, router(true, false), Eligibility.FIT));
        assertEquals(
                CopyDecision.NOT_NOW, rules.decide(10, ALLOWED, MOVED, true, router(false, true), Eligibility.FIT));
        rules.recordRefusal(10);
        assertEquals(
                CopyDecision.NOT_NOW, rules.decide(10.9, ALLOWED, MOVED, true, router(false, false), Eligibility.FIT));
        assertEquals(
                CopyDecision.COPY, rules.decide(11.1, ALLOWED, MOVED, true, router(false, false), Eligibility.FIT));
    }

    /**
     * P10: holds over all routers and for each one, whatever is requested and when; also for routers that have just
     * started.
     */
    @ParameterizedTest
    @CsvSource({"14, 100", "14, 20", "200, 500", "3, 1000"})
    void allSharesTogetherStayWithinTheBudgetInAnySecond(int fleet, double budget) {
        Random random = new Random(fleet);
        List<Double> spent = new ArrayList<>();
        for (int router = 0; router < fleet; router++) {
            CopyRateLimiter limiter = new CopyRateLimiter(budget, fleet);
            List<Double> own = new ArrayList<>();
            for (double now = 0;
                    now < 20;
                    now += random.nextDouble() * 0.002 * (random.nextInt(2000) == 0 ? 500 : 0.2)) {
                if (limiter.has(now)) {
                    limiter.spend(now);
                    own.add(now);
                }
            }
            assertTrue(mostWithin(own, 1) <= budget / fleet + 1e-9, "one router exceeds its share");
            spent.addAll(own);
        }
        spent.sort(null);
        assertTrue(mostWithin(spent, 1) <= budget, () -> mostWithin(spent, 1) + " copies in one second");
        assertTrue(spent.size() > 0.3 * budget * 20, () -> "too few copies: " + spent.size());
    }

    private static int mostWithin(List<Double> sorted, double span) {
        int most = 0;
        int from = 0;
        for (int i = 0; i < sorted.size(); i++) {
            while (sorted.get(i) - sorted.get(from) >= span) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    /** A share below one copy per second allows one copy in 1 / share seconds. */
    @Test
    void shareBelowOnePerSecondIsKeptOverItsInterval() {
        CopyRateLimiter limiter = new CopyRateLimiter(5, 14);
        double share = 5.0 / 14;
        List<Double> own = new ArrayList<>();
        for (double now = 0; now < 300; now += 0.01) {
            if (limiter.has(now)) {
                limiter.spend(now);
                own.add(now);
            }
        }
        assertEquals(1, mostWithin(own, 1 / share));
        assertTrue(own.size() > 40);
    }

    @Test
    void unexpectedFetchesAreChargedToTheBudget() {
        ShadowRules rules = new ShadowRules(CandidateFileTest.good(), 1);
        assertEquals(CopyDecision.OVER_BUDGET, rules.reserve(0, true));
        assertEquals(CopyDecision.OVER_FETCHES, rules.reserve(0.5, true));
        assertEquals(CopyDecision.COPY, rules.reserve(1, true));
        for (int i = 0; i < 7; i++) {
            rules.recordFetch(1);
        }
        assertEquals(CopyDecision.OVER_FETCHES, rules.reserve(2, true));
        assertEquals(CopyDecision.COPY, rules.reserve(2.1, false));
        assertEquals(CopyDecision.COPY, rules.reserve(5, true));
    }

    @Test
    void slicesAreNestedHaveTheStatedSizeAndDifferBySalt() {
        Slice a = new Slice("a");
        Slice b = new Slice("b");
        int inA = 0;
        int inBoth = 0;
        Random random = new Random(4);
        for (int i = 0; i < 100_000; i++) {
            long key = random.nextLong();
            assertFalse(a.contains(key, 500) && !a.contains(key, 501));
            inA += a.contains(key, 500) ? 1 : 0;
            inBoth += a.contains(key, 500) && b.contains(key, 500) ? 1 : 0;
        }
        assertEquals(5000, inA, 300);
        assertEquals(250, inBoth, 60);
    }
}
