package stagepier.shadow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stagepier.Api;

/** Tests copies of real requests in virtual time. */
@Timeout(60)
class ShadowCopiesTest {
    /** Returns a candidate that covers all keys and has four of the eight servers. */
    private static CandidateMap map(double budget, double fetches) {
        StringBuilder text = new StringBuilder(
                "version = 1\nslice = 10000\nclasses = [\"read\", \"put\"]\n[budget]\ncopies_per_second = " + budget
                        + "\nfetches_per_second = " + fetches + "\n");
        for (int i = 1; i <= 4; i++) {
            text.append("[[servers]]\nname = \"s-0000000").append(i).append("\"\n");
        }
        try {
            return CandidateFile.parse("test", text.toString()).map();
        } catch (CandidateException e) {
            throw new AssertionError(e);
        }
    }

    private static ShadowSimulation simulate(long seed, ShadowSimulation.Candidate candidate, CandidateMap map) {
        ShadowSimulation simulation = new ShadowSimulation(seed, candidate, map);
        simulation.sendRequests(seed, 1500, 200);
        return simulation;
    }

    /**
     * P9: with and without copies, each request has the same executions on the same servers at the same times, the same
     * outcomes and the same answer.
     */
    @ParameterizedTest
    @EnumSource(ShadowSimulation.Candidate.class)
    void copiesDoNotChangeTheResultOfAnyRequest(ShadowSimulation.Candidate candidate) {
        for (long seed = 1; seed <= 3; seed++) {
            ShadowSimulation with = simulate(seed, candidate, map(100, 100));
            assertEquals(simulate(seed, candidate, null).log, with.log);
            assertTrue(!with.copiesAt.isEmpty(), "no copies were sent");
            assertEquals(0, with.host.unanswered());
        }
    }

    @Test
    void copiesAreReadsWithUniqueIdsAndTheRemainingTime() {
        ShadowSimulation simulation = simulate(1, ShadowSimulation.Candidate.GOOD, map(100, 100));
        assertEquals(
                simulation.copyLines.size(),
                simulation.copyLines.stream()
                        .map(l -> l.split(" ")[3])
                        .distinct()
                        .count());
        assertTrue(simulation.copyLines.stream()
                .allMatch(l -> l.matches("mg [0-9a-f]{16} v Oshadow[0-9a-f]+ Pc=read,d=[0-9]+\r\n")));
        assertTrue(simulation.copyLines.stream().allMatch(l -> Integer.parseInt(l.replaceAll(".*d=|\r\n", "")) <= 900));
    }

    /**
     * The history as a checker reads it: one result for each copied request, at its first server, which differs from
     * the copy's server.
     */
    @Test
    void copiesAndTheResultsOfTheirRequestsAreWrittenToTheHistory() {
        ShadowSimulation simulation = simulate(1, ShadowSimulation.Candidate.GOOD, map(100, 100));
        assertTrue(simulation.history.size() > 100);
        java.util.Map<Object, List<Object>> copies = new java.util.HashMap<>();
        for (List<Object> line : simulation.history) {
            Object id = line.get(line.indexOf("id") + 1);
            Object server = line.get(line.indexOf("server") + 1);
            if (id.equals("")) {
                // A control copy or a recheck.
                continue;
            }
            if (line.get(0).equals("shadow.copy")) {
                copies.put(id, line);
            } else {
                List<Object> copy = copies.remove(id);
                assertTrue(!copy.get(copy.indexOf("server") + 1).equals(server), () -> line + " " + copy);
                assertTrue(
                        simulation.log.stream().anyMatch(l -> l.endsWith(" send " + id + " 0 " + server)),
                        line::toString);
            }
        }
        assertEquals(java.util.Map.of(), copies);
    }

    @Test
    void goodCandidateReturnsTheSameValuesAndTimesAreCounted() {
        ShadowSimulation simulation = new ShadowSimulation(1, ShadowSimulation.Candidate.GOOD, map(100, 100));
        simulation.sendRequests(1, 3000, 200);
        assertTrue(
                simulation.counter("same") > 50,
                () -> simulation.last().counters().toString());
        assertEquals(0, simulation.counter("wrong"));
        assertTrue(simulation.counter(Counts.SCORES) > 50);
        assertEquals(simulation.counter("copies"), simulation.copiesAt.size());
        var times = simulation.last().times();
        assertEquals(
                times.get("read.real").getTotalCount(),
                times.get("read.copy").getTotalCount()
                        + times.get("read.control").getTotalCount());
        assertTrue(simulation.counter("controls") > 50);
    }

    @Test
    void slowCandidateIsRatedWorse() {
        ShadowSimulation simulation = new ShadowSimulation(1, ShadowSimulation.Candidate.SLOW, map(100, 100));
        simulation.sendRequests(1, 12_000, 200);
        Verdict v = Verdict.of(
                Counts.sums(Counts.SCORES, simulation::counter),
                Counts.sums(Counts.CONTROLS, simulation::counter),
                0.02,
                true);
        assertEquals(Verdict.Kind.WORSE, v.kind(), v::describe);
    }

    @Test
    void wrongCandidateIsStoppedOnThisRouterAtOnce() {
        ShadowSimulation simulation = simulate(1, ShadowSimulation.Candidate.WRONG, map(100, 100));
        assertEquals(
                1,
                simulation.counter("wrong"),
                () -> simulation.last().counters().toString());
        double last = simulation.copiesAt.get(simulation.copiesAt.size() - 1);
        assertTrue(
                last - simulation.copiesAt.get(0) < 1,
                "copies went on for " + (last - simulation.copiesAt.get(0)) + " s");
    }

    /**
     * A write that came in between and became visible through a copy of another router: the value differs once and no
     * longer differs in the recheck.
     */
    @Test
    void valueThatDiffersOnceIsNotWrong() {
        ShadowSimulation simulation = simulate(1, ShadowSimulation.Candidate.RACES, map(100, 100));
        assertTrue(
                simulation.counter("in_doubt") > 0,
                () -> simulation.last().counters().toString());
        assertEquals(
                0,
                simulation.counter("wrong"),
                () -> simulation.last().counters().toString());
        assertTrue(simulation.counter("older") + simulation.counter("newer") > 0);
    }

    /** P10 for one router, in any second. */
    @Test
    void copiesStayWithinTheBudget() {
        ShadowSimulation simulation = simulate(2, ShadowSimulation.Candidate.GOOD, map(20, 100));
        List<Double> at = simulation.copiesAt;
        assertTrue(at.size() > 50);
        for (int i = 20; i < at.size(); i++) {
            assertTrue(at.get(i) - at.get(i - 20) >= 1, "21 within " + (at.get(i) - at.get(i - 20)) + " s");
        }
    }

    @Test
    void withoutFetchBudgetNoKeyIsCopiedForTheFirstTime() {
        ShadowSimulation simulation = simulate(2, ShadowSimulation.Candidate.GOOD, map(100, 0.02));
        assertTrue(simulation.copiesAt.size() <= 1, () -> simulation.copiesAt.size() + " copies");
        assertTrue(simulation.counter("ruled_over_fetches") > 50);
    }

    /**
     * After each step, first attempts for the promoted keys go to the candidate's owners and those for other keys do
     * not; likewise after the rollback.
     */
    @Test
    void promotedRingServesItsKeysAndNoOthers() {
        ShadowSimulation simulation = new ShadowSimulation(5, ShadowSimulation.Candidate.GOOD, map(100, 100));
        Slice slice = new Slice("shadow");
        for (int share : new int[] {0, 5000, 10_000, 0}) {
            simulation.promoted = share == 0 ? null : simulation.plan.ring().promoted(slice, share);
            simulation.run(0.1);
            int sentToOwner = 0;
            for (int i = 0; i < 400; i++) {
                long key = i + 1;
                simulation.log.clear();
                simulation.request(
                        "mg " + String.format("%016x", key) + " v Oq" + share + "x" + i + " Pc=read,d=900\r\n");
                long sent = Long.parseLong(simulation.log.get(0).replaceAll(".* ", ""));
                boolean promoted = slice.contains(key, share);
                assertTrue(!promoted || sent <= 4, "sent to a server that is not in the candidate");
                sentToOwner +=
                        sent == (promoted ? simulation.plan.ring() : simulation.plan.present()).owner(key) ? 1 : 0;
                simulation.run(0.03);
            }
            assertTrue(sentToOwner > 360, share + ": only " + sentToOwner + " of 400 sent to their owners");
        }
    }

    /** Copies in flight end, their connections are closed and no new copies are sent. */
    @Test
    void copiesYieldAtOnce() {
        for (int cause = 0; cause < 4; cause++) {
            ShadowSimulation simulation = new ShadowSimulation(3, ShadowSimulation.Candidate.SILENT, map(100, 100));
            simulation.sendRequests(3, 200, 200);
            for (int i = 0; i < 40; i++) {
                simulation.request("mg " + String.format("%016x", i + 1) + " v Oq" + i + " Pc=read,d=900\r\n");
                simulation.run(0.01);
            }
            int before = simulation.copiesAt.size();
            assertTrue(simulation.copies.links() > 0);
            switch (cause) {
                case 0 -> simulation.pressed = true;
                case 1 -> simulation.draining = true;
                case 2 -> {
                    ShadowPlan o = simulation.plan;
                    simulation.plan =
                            new ShadowPlan(o.map(), o.slice(), o.ring(), o.present(), o.fleet(), o.expiresAt(), false);
                }
                default -> {
                    ShadowPlan o = simulation.plan;
                    simulation.plan = new ShadowPlan(o.map(), o.slice(), o.ring(), o.present(), o.fleet(), -1, true);
                }
            }
            simulation.run(0.06);
            assertEquals(0, simulation.copies.links(), "cause " + cause);
            simulation.sendRequests(4, 200, 200);
            assertEquals(before, simulation.copiesAt.size(), "cause " + cause);
        }
    }

    @Test
    void copiesToADrainingServerAreDroppedAndNoMoreAreSent() {
        ShadowSimulation simulation = new ShadowSimulation(3, ShadowSimulation.Candidate.GOOD, map(100, 100));
        simulation.sendRequests(3, 500, 200);
        for (long id = 1; id <= ShadowSimulation.SERVERS; id++) {
            simulation.servers.listed(
                    new Api.Member(id, 0, 0, 0, Api.MemberState.DRAINING, 1, 0),
                    new InetSocketAddress("127.0.0.1", 20_000));
        }
        simulation.run(0.06);
        assertEquals(0, simulation.copies.links());
        int before = simulation.copiesAt.size();
        simulation.sendRequests(4, 300, 200);
        assertEquals(before, simulation.copiesAt.size());
        assertTrue(simulation.counter("ruled_not_fit") > 0);
    }

    @Test
    void coldCrowdedAndFailingServersAreNotEligible() {
        ServerStates states = new ServerStates(2, (now, server) -> server == 4 ? Eligibility.CROWDED : Eligibility.FIT);
        Stream.of(1, 2, 3, 4)
                .forEach(id ->
                        states.listed(new Api.Member(id, 0, 0, 0, Api.MemberState.READY, 1, id == 1 ? 99 : 0), null));
        assertEquals(Eligibility.COLD, states.of(100, 1));
        assertEquals(Eligibility.FIT, states.of(101, 1));
        states.recordOutcome(100, 2, Api.Outcome.FULL);
        assertEquals(Eligibility.CROWDED, states.of(100.5, 2));
        assertEquals(Eligibility.FIT, states.of(101, 2));
        for (int i = 0; i < 3; i++) {
            assertEquals(Eligibility.FIT, states.of(100, 3));
            states.recordOutcome(100, 3, Api.Outcome.TIMEOUT);
        }
        assertEquals(Eligibility.OPEN, states.of(101, 3));
        states.recordOutcome(101, 3, Api.Outcome.OK);
        assertEquals(Eligibility.FIT, states.of(101, 3));
        assertEquals(Eligibility.CROWDED, states.of(101, 4));
        assertEquals(Eligibility.ABSENT, states.of(101, 5));
    }
}
