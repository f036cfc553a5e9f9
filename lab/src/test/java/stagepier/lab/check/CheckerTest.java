package stagepier.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stagepier.lab.check.History.window;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import stagepier.lab.check.Evidence.Observations;
import stagepier.lab.check.Verdict.State;

/** Each promise: a history that keeps it passes, and each breach planted in it is found and shown. */
class CheckerTest {
    /** A fleet that keeps all it promises, and shows something of each. */
    private static History good() {
        History h = new History().allView(1, 1).parted(10, 20);
        for (int r = 0; r < History.ROUTERS; r++) {
            boolean few = r < 2;
            h.view(
                    12,
                    r,
                    2,
                    !few,
                    few
                            ? new String[] {"n2:1:GONE", "n3:1:GONE", "n4:1:GONE"}
                            : new String[] {"n0:1:GONE", "n1:1:GONE"});
            h.view(21, r, 3, true, "n0:2:ALIVE");
        }
        h.proposed(1.5, 0)
                .calendar(2, "1.1", "aa", window(30, 40, "all"))
                .say(5, 2, 1, "topology.admitted", "kind", "WEIGHT", "server", "s1", "zone", "z0", "calendar", "1.1")
                .say(32, 2, 1, "topology.held", "kind", "ADD_SERVER", "server", "s2", "zone", "z0", "calendar", "1.1")
                .say(
                        41,
                        2,
                        1,
                        "topology.admitted",
                        "kind",
                        "ADD_SERVER",
                        "server",
                        "s2",
                        "zone",
                        "z0",
                        "calendar",
                        "1.1");
        for (int i = 0; i < 8; i++) {
            h.say(3 + i * 0.1, 1, 1, "shadow.copy", "id", "q" + i, "key", "k", "server", "s2")
                    .say(
                            3.02 + i * 0.1,
                            1,
                            1,
                            "shadow.real",
                            "id",
                            "q" + i,
                            "server",
                            "s1",
                            "attempts",
                            1,
                            "answer",
                            "ab");
        }
        h.say(5, 4, 1, "shadow.counters", "epoch", 1, "counts", List.of("n1:1:8"), "total", 8);
        for (int r = 0; r < History.ROUTERS; r++) {
            h.say(45 + r * 0.1, r, 1, "shadow.promoted", "version", 1, "share", 1000);
        }
        return h.seen(new Observations(List.of(), Map.of(0, Collections.nCopies(30, 900L)), h.told()));
    }

    @ParameterizedTest
    @EnumSource(Guarantee.class)
    void aFleetThatKeepsAllIsFoundToDoSo(Guarantee promise) {
        Verdict verdict = good().judge(promise);
        assertEquals(State.KEPT, verdict.state(), verdict + " " + verdict.lines());
    }

    @ParameterizedTest
    @EnumSource(Guarantee.class)
    void whereNothingWasSeenNothingIsKept(Guarantee promise) {
        assertEquals(State.NOT_SEEN, new History().judge(promise).state());
    }

    private static Arguments breach(Guarantee promise, String what, Consumer<History> plant) {
        return Arguments.of(promise, what, plant);
    }

    static Stream<Arguments> breaches() {
        return Stream.of(
                breach(Guarantee.P1, "differ", h -> h.view(22, 3, 4, true, "n0:2:ALIVE", "n1:1:SUSPECT")),
                breach(Guarantee.P1, "changes its view", h -> h.view(50, 3, 4, true, "n0:2:ALIVE", "n1:1:SUSPECT")),
                breach(Guarantee.P2, "calls n4 gone", h -> h.view(30, 3, 4, true, "n0:2:ALIVE", "n4:1:GONE")),
                // Its own long stop is no reason to call others gone.
                breach(
                        Guarantee.P2,
                        "n3 calls n4 gone",
                        h -> h.still(3, 30, 34).view(34.2, 3, 4, true, "n0:2:ALIVE", "n4:1:GONE")),
                breach(Guarantee.P3, "epoch runs back", h -> h.view(30, 3, 2, true, "n0:2:ALIVE")),
                breach(Guarantee.P3, "in a majority", h -> h.view(12.5, 0, 3, true)),
                breach(
                        Guarantee.P4,
                        "bytes a second",
                        h -> h.seen(new Observations(List.of(), Map.of(2, Collections.nCopies(12, 1100L)), List.of()))),
                breach(
                        Guarantee.P5,
                        "different calendars",
                        h -> h.say(25, 4, 1, "calendar.learned", "version", "1.1", "hash", "bb")),
                breach(
                        Guarantee.P5,
                        "goes back",
                        h -> h.calendar(25, "1.2", "bb")
                                .say(26, 4, 1, "calendar.learned", "version", "1.1", "hash", "aa")),
                breach(
                        Guarantee.P6,
                        "inside a window",
                        h -> h.say(33, 1, 1, "topology.admitted", "kind", "RESTORE", "server", "s3")),
                breach(
                        Guarantee.P6,
                        "inside a window",
                        h -> h.say(33, 1, 1, "topology.released", "kind", "WEIGHT", "server", "s3")),
                breach(
                        Guarantee.P7,
                        "lets DRAIN",
                        h -> h.say(33, 1, 1, "topology.held", "kind", "DRAIN", "server", "s3")),
                breach(
                        Guarantee.P7,
                        "2 s after",
                        h -> h.seen(new Observations(List.of("sent to s3 2 s after its drain"), Map.of(), List.of()))),
                breach(Guarantee.P8, "not accepted", h -> h.proposed(25, 3)),
                breach(
                        Guarantee.P8,
                        "does not know",
                        h -> h.say(25, 0, 1, "calendar.accepted", "version", "1.2", "hash", "cc")),
                breach(Guarantee.P8, "n4 does not know", h -> h.still(4, 22, 25).say(25, 4, 2, "view", "epoch", 1)),
                breach(Guarantee.P9, "otherwise", h -> {
                    List<HistoryEntry> without = new ArrayList<>(new History()
                            .say(3, 1, 1, "shadow.real", "id", "q0", "server", "s1", "attempts", 2, "answer", "ab")
                            .told());
                    h.seen(new Observations(List.of(), Map.of(), without));
                }),
                breach(
                        Guarantee.P9,
                        "two real ends",
                        h -> h.say(9, 1, 1, "shadow.real", "id", "q0", "server", "s1", "attempts", 1)),
                breach(
                        Guarantee.P9,
                        "where the real one",
                        h -> h.say(9, 1, 1, "shadow.copy", "id", "q0", "key", "k", "server", "s1")),
                breach(Guarantee.P10, "11 copies within a second", h -> {
                    for (int i = 0; i < 3; i++) {
                        h.say(3.5, 3, 1, "shadow.copy", "id", "p" + i, "key", "k", "server", "s2");
                    }
                }),
                breach(
                        Guarantee.P10,
                        "on a side of 2",
                        h -> h.say(16, 1, 1, "shadow.copy", "id", "p", "key", "k", "server", "s2")),
                breach(Guarantee.P10, "on a side of 3", h -> {
                    for (int i = 0; i < 7; i++) {
                        h.say(16, 2, 1, "shadow.copy", "id", "p" + i, "key", "k", "server", "s2");
                    }
                }),
                breach(
                        Guarantee.P11,
                        "had made 8",
                        h -> h.say(6, 3, 1, "shadow.counters", "counts", List.of("n1:1:9"), "total", 9)),
                breach(
                        Guarantee.P11,
                        "forgets",
                        h -> h.say(6, 4, 1, "shadow.counters", "counts", List.of("n1:1:7"), "total", 7)),
                breach(
                        Guarantee.P11,
                        "not the sum",
                        h -> h.say(6, 3, 1, "shadow.counters", "counts", List.of("n1:1:8"), "total", 16)),
                breach(
                        Guarantee.P12,
                        "inside a freeze",
                        h -> h.say(35, 0, 1, "shadow.promoted", "version", 1, "share", 500)),
                breach(
                        Guarantee.P12,
                        "goes back",
                        h -> h.say(50, 0, 1, "shadow.promoted", "version", 1, "share", 2000)
                                .say(51, 0, 1, "shadow.promoted", "version", 1, "share", 1000)),
                breach(
                        Guarantee.P12,
                        "is not at the step",
                        h -> h.say(50, 0, 1, "shadow.promoted", "version", 1, "share", 2000)));
    }

    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("breaches")
    void aPlantedBreachIsFoundAndShown(Guarantee promise, String what, Consumer<History> plant) {
        History h = good();
        plant.accept(h);
        Verdict verdict = h.judge(promise);
        assertEquals(State.BROKEN, verdict.state(), verdict.toString());
        assertTrue(verdict.what().contains(what), verdict.what());
        boolean seenFromOutside = promise == Guarantee.P4 || verdict.what().contains("after its drain");
        assertTrue(
                seenFromOutside
                        || !verdict.lines().isEmpty() && verdict.lines().get(0).contains("\"event\""),
                verdict.toString());
    }

    /** What the promises leave open is no breach. */
    @Test
    void whatIsExcusedIsNoBreach() {
        // One that was down a moment before, one that nobody has heard of, and a newer calendar without the window.
        assertFalse(good().still(4, 26, 29)
                .view(30, 3, 4, true, "n0:2:ALIVE", "n4:1:GONE")
                .judge(Guarantee.P2)
                .isBroken());
        assertFalse(good().view(30, 3, 4, true, "n0:2:ALIVE", "n4:0:GONE")
                .judge(Guarantee.P2)
                .isBroken());
        assertFalse(good().calendar(31, "1.2", "bb")
                .say(33, 1, 1, "topology.admitted", "kind", "RESTORE", "server", "s3")
                .judge(Guarantee.P6)
                .isBroken());
        assertFalse(new History()
                .calendar(31, "1.1", "bb", window(30, 40, "all"))
                .say(33, 1, 1, "topology.admitted", "kind", "RESTORE", "server", "s3")
                .judge(Guarantee.P6)
                .isBroken());
        assertFalse(new History()
                .calendar(1, "1.1", "bb", window(30, 40, "zone:z1"), window(30, 40, "kind:WEIGHT"))
                .say(33, 1, 1, "topology.admitted", "kind", "RESTORE", "server", "s3", "zone", "z0")
                .judge(Guarantee.P6)
                .isBroken());
        assertTrue(
                good().still(4, 5, 22.05).judge(Guarantee.P1).what().startsWith("5 "), "one that is up again counts");
        // A proposal in a minority may wait.
        assertFalse(good().proposed(14, 0).judge(Guarantee.P8).isBroken());
    }

    @Test
    void halfALineOfAKilledProcessIsNoEventAndAnyOtherIsTold() {
        List<HistoryEntry> told = new ArrayList<>();
        String line = "{\"at\":5,\"event\":\"view\",\"nano\":2000000000,\"router\":\"n3\",\"incarnation\":7}";
        assertEquals(List.of(), HistoryLines.read("n3", List.of(line, line.substring(0, 30)), 500_000_000, told));
        assertEquals(1, told.size());
        assertEquals(1.5, told.get(0).at(), 1e-9);
        told.clear();
        HistoryLines.read(
                "n3",
                java.util.stream.Stream.of(1, 3, 2, 40, 1, 30, 29, 2)
                        .map(seq -> line.replace("7}", "7,\"seq\":" + seq + "}"))
                        .toList(),
                0,
                told);
        assertEquals(
                List.of(1L, 1L, 1L, 1L, 2L, 2L, 2L, 3L),
                told.stream().map(HistoryEntry::process).toList(),
                "a process counts its lines anew");
        List<String> wrong = HistoryLines.read("n3", List.of("{\"event\":\"view\"}", line), 0, told);
        assertEquals(1, wrong.size());
        assertTrue(wrong.get(0).startsWith("history of n3:1: "), wrong.toString());
    }
}
