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

/** Copies beside real requests, in virtual time. */
@Timeout(60)
class ShadowCopiesTest {
    /** All keys, four servers of eight. */
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

    private static ShadowWorld play(long seed, ShadowWorld.Candidate candidate, CandidateMap map) {
        ShadowWorld world = new ShadowWorld(seed, candidate, map);
        world.play(seed, 1500, 200);
        return world;
    }

    /** P9: each request has the same sends, at the same servers and times, the same outcomes and the same answer. */
    @ParameterizedTest
    @EnumSource(ShadowWorld.Candidate.class)
    void withCopiesEachRequestFaresAsWithout(ShadowWorld.Candidate candidate) {
        for (long seed = 1; seed <= 3; seed++) {
            ShadowWorld with = play(seed, candidate, map(100, 100));
            assertEquals(play(seed, candidate, null).log, with.log);
            assertTrue(!with.copiesAt.isEmpty(), "copies");
            assertEquals(0, with.host.unanswered());
        }
    }

    @Test
    void copiesAreReadsWithIdsOfTheirOwnAndTheTimeThatIsLeft() {
        ShadowWorld world = play(1, ShadowWorld.Candidate.GOOD, map(100, 100));
        assertEquals(
                world.copyLines.size(),
                world.copyLines.stream().map(l -> l.split(" ")[3]).distinct().count());
        assertTrue(world.copyLines.stream()
                .allMatch(l -> l.matches("mg [0-9a-f]{16} v Oshadow[0-9a-f]+ Pc=read,d=[0-9]+\r\n")));
        assertTrue(world.copyLines.stream().allMatch(l -> Integer.parseInt(l.replaceAll(".*d=|\r\n", "")) <= 900));
    }

    /** What a checker reads: one real end for each copied request, at its first server, which is not the copy's. */
    @Test
    void copiesAndWhatBecameOfTheirRequestsAreWrittenDown() {
        ShadowWorld world = play(1, ShadowWorld.Candidate.GOOD, map(100, 100));
        assertTrue(world.history.size() > 100);
        java.util.Map<Object, List<Object>> copies = new java.util.HashMap<>();
        for (List<Object> line : world.history) {
            Object id = line.get(line.indexOf("id") + 1);
            Object server = line.get(line.indexOf("server") + 1);
            if (id.equals("")) {
                // A control, or a second look.
                continue;
            }
            if (line.get(0).equals("shadow.copy")) {
                copies.put(id, line);
            } else {
                List<Object> copy = copies.remove(id);
                assertTrue(!copy.get(copy.indexOf("server") + 1).equals(server), () -> line + " " + copy);
                assertTrue(
                        world.log.stream().anyMatch(l -> l.endsWith(" send " + id + " 0 " + server)), line::toString);
            }
        }
        assertEquals(java.util.Map.of(), copies);
    }

    @Test
    void aGoodCandidateGivesTheSameAndTimesAreCounted() {
        ShadowWorld world = new ShadowWorld(1, ShadowWorld.Candidate.GOOD, map(100, 100));
        world.play(1, 3000, 200);
        assertTrue(world.counter("same") > 50, () -> world.last().counters().toString());
        assertEquals(0, world.counter("wrong"));
        assertTrue(world.counter(Counts.SCORES) > 50);
        assertEquals(world.counter("copies"), world.copiesAt.size());
        var times = world.last().times();
        assertEquals(
                times.get("read.real").getTotalCount(),
                times.get("read.copy").getTotalCount()
                        + times.get("read.control").getTotalCount());
        assertTrue(world.counter("controls") > 50);
    }

    @Test
    void aSlowOneIsSeenToBeSlow() {
        ShadowWorld world = new ShadowWorld(1, ShadowWorld.Candidate.SLOW, map(100, 100));
        world.play(1, 12_000, 200);
        Verdict v = Verdict.of(
                Counts.sums(Counts.SCORES, world::counter), Counts.sums(Counts.CONTROLS, world::counter), 0.02, true);
        assertEquals(Verdict.Kind.WORSE, v.kind(), v::describe);
    }

    @Test
    void aWrongOneIsStoppedHereAtOnce() {
        ShadowWorld world = play(1, ShadowWorld.Candidate.WRONG, map(100, 100));
        assertEquals(1, world.counter("wrong"), () -> world.last().counters().toString());
        double last = world.copiesAt.get(world.copiesAt.size() - 1);
        assertTrue(last - world.copiesAt.get(0) < 1, "copies went on for " + (last - world.copiesAt.get(0)) + " s");
    }

    /** A write that came in between, of which another router's copy tells: it differs once, and no more when asked again. */
    @Test
    void whatDiffersOnceIsNotWrong() {
        ShadowWorld world = play(1, ShadowWorld.Candidate.RACES, map(100, 100));
        assertTrue(world.counter("in_doubt") > 0, () -> world.last().counters().toString());
        assertEquals(0, world.counter("wrong"), () -> world.last().counters().toString());
        assertTrue(world.counter("older") + world.counter("newer") > 0);
    }

    /** P10 for one router, over any second. */
    @Test
    void copiesStayWithinTheBudget() {
        ShadowWorld world = play(2, ShadowWorld.Candidate.GOOD, map(20, 100));
        List<Double> at = world.copiesAt;
        assertTrue(at.size() > 50);
        for (int i = 20; i < at.size(); i++) {
            assertTrue(at.get(i) - at.get(i - 20) >= 1, "21 within " + (at.get(i) - at.get(i - 20)) + " s");
        }
    }

    @Test
    void withoutAnAllowanceForFetchesNoKeyIsCopiedForTheFirstTime() {
        ShadowWorld world = play(2, ShadowWorld.Candidate.GOOD, map(100, 0.02));
        assertTrue(world.copiesAt.size() <= 1, () -> world.copiesAt.size() + " copies");
        assertTrue(world.counter("ruled_over_fetches") > 50);
    }

    /** From the step on, first attempts go to the candidate's owners, for its keys and no others; and back. */
    @Test
    void thePromotedRingServesItsKeysAndNoOthers() {
        ShadowWorld world = new ShadowWorld(5, ShadowWorld.Candidate.GOOD, map(100, 100));
        Slice slice = new Slice("shadow");
        for (int share : new int[] {0, 5000, 10_000, 0}) {
            world.promoted = share == 0 ? null : world.orders.ring().promoted(slice, share);
            world.run(0.1);
            int owner = 0;
            for (int i = 0; i < 400; i++) {
                long key = i + 1;
                world.log.clear();
                world.ask("mg " + String.format("%016x", key) + " v Oq" + share + "x" + i + " Pc=read,d=900\r\n");
                long sent = Long.parseLong(world.log.get(0).replaceAll(".* ", ""));
                boolean over = slice.holds(key, share);
                assertTrue(!over || sent <= 4, "a server that the candidate has not");
                owner += sent == (over ? world.orders.ring() : world.orders.present()).owner(key) ? 1 : 0;
                world.run(0.03);
            }
            assertTrue(owner > 360, share + ": only " + owner + " at their owners");
        }
    }

    /** Whatever is out ends, its connections are closed, and nothing new goes out. */
    @Test
    void copiesGiveWayAtOnce() {
        for (int cause = 0; cause < 4; cause++) {
            ShadowWorld world = new ShadowWorld(3, ShadowWorld.Candidate.SILENT, map(100, 100));
            world.play(3, 200, 200);
            for (int i = 0; i < 40; i++) {
                world.ask("mg " + String.format("%016x", i + 1) + " v Oq" + i + " Pc=read,d=900\r\n");
                world.run(0.01);
            }
            int before = world.copiesAt.size();
            assertTrue(world.copies.links() > 0);
            switch (cause) {
                case 0 -> world.pressed = true;
                case 1 -> world.draining = true;
                case 2 -> {
                    ShadowPlan o = world.orders;
                    world.orders =
                            new ShadowPlan(o.map(), o.slice(), o.ring(), o.present(), o.fleet(), o.until(), false);
                }
                default -> {
                    ShadowPlan o = world.orders;
                    world.orders = new ShadowPlan(o.map(), o.slice(), o.ring(), o.present(), o.fleet(), -1, true);
                }
            }
            world.run(0.06);
            assertEquals(0, world.copies.links(), "cause " + cause);
            world.play(4, 200, 200);
            assertEquals(before, world.copiesAt.size(), "cause " + cause);
        }
    }

    @Test
    void aServerThatDrainsLosesItsCopiesAndGetsNoMore() {
        ShadowWorld world = new ShadowWorld(3, ShadowWorld.Candidate.GOOD, map(100, 100));
        world.play(3, 500, 200);
        for (long id = 1; id <= ShadowWorld.SERVERS; id++) {
            world.servers.listed(
                    new Api.Member(id, 0, 0, 0, Api.MemberState.DRAINING, 1, 0),
                    new InetSocketAddress("127.0.0.1", 20_000));
        }
        world.run(0.06);
        assertEquals(0, world.copies.links());
        int before = world.copiesAt.size();
        world.play(4, 300, 200);
        assertEquals(before, world.copiesAt.size());
        assertTrue(world.counter("ruled_not_fit") > 0);
    }

    @Test
    void coldCrowdedAndFailingServersAreSpared() {
        ServerStates states = new ServerStates(2, (now, server) -> server == 4 ? Eligibility.CROWDED : Eligibility.FIT);
        Stream.of(1, 2, 3, 4)
                .forEach(id ->
                        states.listed(new Api.Member(id, 0, 0, 0, Api.MemberState.READY, 1, id == 1 ? 99 : 0), null));
        assertEquals(Eligibility.COLD, states.of(100, 1));
        assertEquals(Eligibility.FIT, states.of(101, 1));
        states.ended(100, 2, Api.Outcome.FULL);
        assertEquals(Eligibility.CROWDED, states.of(100.5, 2));
        assertEquals(Eligibility.FIT, states.of(101, 2));
        for (int i = 0; i < 3; i++) {
            assertEquals(Eligibility.FIT, states.of(100, 3));
            states.ended(100, 3, Api.Outcome.TIMEOUT);
        }
        assertEquals(Eligibility.OPEN, states.of(101, 3));
        states.ended(101, 3, Api.Outcome.OK);
        assertEquals(Eligibility.FIT, states.of(101, 3));
        assertEquals(Eligibility.CROWDED, states.of(101, 4));
        assertEquals(Eligibility.ABSENT, states.of(101, 5));
    }
}
