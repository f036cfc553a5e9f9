package stagepier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import stagepier.Api.Fetching;
import stagepier.Api.Lookup;
import stagepier.Api.Member;
import stagepier.Api.MemberState;
import stagepier.Api.Outcome;
import stagepier.Api.Scope;
import stagepier.Api.WeightMeaning;

class MembershipTest {
    @Test
    void drainingOrGoneServerGetsNoNewRequests() {
        for (MemberState state : List.of(MemberState.DRAINING, MemberState.GONE)) {
            Fixture f = Fixture.through(5);
            long owner = f.serve(0, 77);
            f.members(false, List.of(Fixture.member(owner, state, 0)));
            int before = f.host.sends.size();
            for (int key = 1; key < 300; key++) {
                f.serve(0, key);
            }
            assertTrue(f.host.sends.size() > before);
            assertTrue(
                    f.host.sends.subList(before, f.host.sends.size()).stream().noneMatch(s -> s.server() == owner));
        }
    }

    @Test
    void serverMissingInACompleteListIsGone() {
        Fixture f = Fixture.through(5);
        f.members(true, Fixture.fleet(1, 0));
        for (int key = 1; key < 50; key++) {
            assertEquals(1, f.serve(0, key));
        }
    }

    @Test
    void serverListedTwiceCountsOnceWithItsLastEntry() {
        Fixture f = Fixture.through(0);
        f.members(true, List.of(Fixture.member(1, MemberState.READY, 0), Fixture.member(1, MemberState.DRAINING, 0)));
        f.request(0, 77);
        assertEquals(0, f.host.sends.size());
        f.members(true, List.of(Fixture.member(1, MemberState.READY, 0), Fixture.member(1, MemberState.READY, 0)));
        assertEquals(1, f.serve(0, 77));
    }

    @Test
    void returningServerGetsItsKeysBackAndNoOtherKeyMoves() {
        Fixture f = Fixture.through(5);
        List<Long> before = owners(f);
        f.members(false, List.of(Fixture.member(2, MemberState.GONE, 0)));
        List<Long> without = owners(f);
        for (int i = 0; i < before.size(); i++) {
            assertTrue(before.get(i) == 2 ? without.get(i) != 2 : before.get(i).equals(without.get(i)));
        }
        f.members(false, List.of(Fixture.member(2, MemberState.READY, 0)));
        assertEquals(before, owners(f));
    }

    @Test
    void liveWeightMovesNoKey() {
        Fixture f = new Fixture(Fixture.settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.LIVE));
        f.members(true, Fixture.fleet(8, 0));
        List<Long> before = owners(f);
        List<Member> busier = new ArrayList<>();
        for (Member m : Fixture.fleet(8, 0)) {
            busier.add(new Member(m.id(), m.zone(), m.cell(), m.kind(), m.state(), 0.6f, 0));
        }
        f.members(false, busier);
        assertEquals(before, owners(f));
    }

    private static List<Long> owners(Fixture f) {
        List<Long> owners = new ArrayList<>();
        for (int key = 1; key < 200; key++) {
            owners.add(f.serve(0, key));
        }
        return owners;
    }

    @Test
    void keysAreSharedInProportionToListedSizes() {
        Fixture f = new Fixture(Fixture.settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.SIZE));
        List<Member> members = new ArrayList<>();
        for (int i = 1; i <= 10; i++) {
            members.add(new Member(i, 0, 0, 0, MemberState.READY, i <= 5 ? 1 : 3, 0));
        }
        f.members(true, members);
        int large = 0;
        for (int key = 1; key <= 4000; key++) {
            if (f.serve(0, key) > 5) {
                large++;
            }
        }
        assertEquals(0.75, large / 4000.0, 0.06);
    }

    @Test
    void requestsWithoutAKeyAreSpreadEvenly() {
        Fixture f = Fixture.through(8);
        int[] counts = new int[9];
        for (int i = 0; i < 4000; i++) {
            counts[(int) f.serve(0, 0)]++;
        }
        for (int i = 1; i <= 8; i++) {
            assertTrue(counts[i] > 300 && counts[i] < 750, "share " + counts[i]);
        }
    }

    @Test
    void invalidSettingsAreRejectedByTheConstructor() {
        Api.Settings valid = Fixture.settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.NONE);
        assertThrows(
                IllegalArgumentException.class,
                () -> new RoutingPolicy(
                        new Api.Settings(
                                1,
                                0,
                                List.of(),
                                List.of(),
                                valid.weights(),
                                valid.fetching(),
                                -1,
                                0,
                                1,
                                valid.limits(),
                                valid.protection(),
                                valid.prices(),
                                valid.report(),
                                false),
                        1,
                        new ScriptedHost()));
        assertThrows(
                IllegalArgumentException.class,
                () -> new RoutingPolicy(
                        new Api.Settings(
                                1,
                                0,
                                valid.classes(),
                                List.of(),
                                valid.weights(),
                                Fetching.ASIDE,
                                -1,
                                0,
                                1,
                                valid.limits(),
                                valid.protection(),
                                valid.prices(),
                                valid.report(),
                                false),
                        1,
                        new ScriptedHost()));
    }

    @Test
    void unusualButValidSettingsAnswerEveryRequest() {
        Api.Settings valid = Fixture.settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.NONE);
        Fixture f = new Fixture(new Api.Settings(
                0,
                0,
                valid.classes(),
                List.of(),
                valid.weights(),
                valid.fetching(),
                -1,
                0,
                1,
                new Api.Limits(1, false, false, false, 0, 0),
                new Api.Protection(0, 1, 0, 1, 0),
                valid.prices(),
                valid.report(),
                false));
        f.members(true, Fixture.fleet(3, 99.9));
        for (int key = 1; key < 40; key++) {
            long id = f.request(0, key);
            f.now += 0.01;
            f.outcome(id, 0, f.host.last().server(), Outcome.FULL, 0.01);
        }
        assertEquals(39, f.host.refused.size() + f.host.failed.size());
        assertTrue(f.host.retryAfters.stream().allMatch(after -> after == 0));
    }

    @Test
    void missesAndWritesGoToTheOriginWhichIsNeverOnTheRing() {
        Fixture f = Fixture.aside(5);
        long id = f.request(0, 77);
        long owner = f.host.last().server();
        assertNotEquals(Fixture.ORIGIN, owner);
        f.policy.onOutcome(f.now, id, 0, owner, Outcome.MISS, 0.002, false, Lookup.MISS, Fixture.NO_REPORT);
        assertEquals(Fixture.ORIGIN, f.host.last().server());
        f.request(2, 78, 1.0, true);
        assertEquals(Fixture.ORIGIN, f.host.last().server());
        Set<Long> ring = new TreeSet<>();
        for (int key = 1; key < 300; key++) {
            ring.add(f.serve(0, key));
        }
        assertEquals(Set.of(1L, 2L, 3L, 4L, 5L), ring);
    }

    @Test
    void writesAreRefusedWhileTheOriginIsNotListed() {
        Fixture f = new Fixture(Fixture.settings(Fetching.ASIDE, true, Scope.ALL, WeightMeaning.NONE));
        f.members(true, Fixture.fleet(5, 0));
        f.request(2, 78, 1.0, true);
        assertEquals(1, f.host.refused.size());
    }

    /** Without the watch, drains would never be received where the list is delivered only on request. */
    @Test
    void listOnRequestIsWatchedAndRequestedAgainAfterAFailure() {
        Api.Settings valid = Fixture.settings(Fetching.THROUGH, true, Scope.ALL, WeightMeaning.NONE);
        Fixture f = new Fixture(new Api.Settings(
                4,
                0,
                valid.classes(),
                List.of(),
                valid.weights(),
                valid.fetching(),
                -1,
                0,
                1,
                valid.limits(),
                valid.protection(),
                valid.prices(),
                valid.report(),
                true));
        f.members(true, Fixture.fleet(3, 0));
        f.members(false, Fixture.fleet(3, 0));
        assertEquals(1, f.host.watchCalls);
        f.policy.onMembersFailed(f.now);
        ScriptedHost.Timer timer = f.host.timers.get(0);
        assertTrue(timer.delay() >= 1 && timer.delay() <= 2);
        f.policy.onTimer(f.now + timer.delay(), timer.token());
        assertEquals(2, f.host.watchCalls);
    }
}
