package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import stagepier.fleet.History;

/**
 * Prevents a freeze from releasing many cold servers at once when it ends, and from applying changes that were
 * replaced.
 */
@Timeout(30)
class HeldChangesTest {
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    private static final Instant START = Instant.parse("2026-12-05T18:00:00Z");

    private final List<String> events = new ArrayList<>();
    private Calendar.Permit permit = Calendar.Permit.FROZEN;
    private Change.Kind openOnly;
    private final Calendar calendar = new Calendar() {
        @Override
        public long version() {
            return 7;
        }

        @Override
        public Answer ask(Change change, Instant wall, long nanoTime) {
            return new Answer(openOnly == change.kind() ? Permit.OPEN : permit, "test");
        }
    };

    private HeldChanges<String> held() {
        return new HeldChanges<>(
                () -> calendar, (event, values) -> events.add(event + " " + values[3] + " " + values[7]), 5, INTERVAL);
    }

    private static Change add(String server) {
        return new Change(Change.Kind.ADD_SERVER, server, "a");
    }

    private static Instant at(double seconds) {
        return START.plusNanos((long) (seconds * 1e9));
    }

    private static long nano(double seconds) {
        return (long) (seconds * 1e9) - 5_000_000_000L;
    }

    private List<String> release(HeldChanges<String> held, double from, double to) {
        List<String> out = new ArrayList<>();
        for (double t = from; t < to; t += 0.1) {
            out.addAll(held.due(at(t), nano(t)));
        }
        return out;
    }

    @Test
    void aChangeIsAppliedAtOnceIfOpenAndNoneIsHeld() {
        permit = Calendar.Permit.OPEN;
        assertTrue(held().offer(add("s1"), "x", at(0), nano(0)));
        assertEquals(List.of("topology.admitted s1 7"), events);
    }

    @Test
    void onlyTheNewestChangeOfEachServerIsReleased() {
        HeldChanges<String> held = held();
        assertFalse(held.offer(add("s1"), "s1 old", at(0), nano(0)));
        assertFalse(held.offer(new Change(Change.Kind.WEIGHT, "s1", "a"), "s1 new", at(1), nano(1)));
        assertFalse(held.offer(add("s2"), "s2", at(1), nano(1)));
        assertFalse(held.offer(add("s3"), "s3", at(1), nano(1)));
        assertFalse(held.offer(new Change(Change.Kind.RESTORE, "s4", ""), "restore s4", at(1), nano(1)));
        assertFalse(held.offer(add("s4"), "s4", at(1), nano(1)));
        held.overtaken("s2");
        held.suspended("s4");
        assertEquals(List.of(), release(held, 2, 10));
        assertEquals(Duration.ofSeconds(10), held.oldest(nano(10)));
        assertEquals(3, held.size());
        permit = Calendar.Permit.OPEN;
        List<String> out = release(held, 10, 30);
        Collections.sort(out);
        assertEquals(List.of("s1 new", "s3", "s4"), out);
        assertEquals(0, held.size());
        assertEquals(3, held.overtaken());
        assertEquals(3, held.released());
        assertEquals(
                3,
                events.stream().filter(e -> e.startsWith("topology.overtaken")).count());
        assertTrue(held.offer(add("s5"), "s5", at(40), nano(40)), "the queue is empty again");
    }

    @Test
    void aWithdrawnChangeIsNeverReleased() {
        HeldChanges<String> held = held();
        Change move = new Change(Change.Kind.MOVE_DISCOVERY, "", "");
        held.offer(move, "move", at(0), nano(0));
        held.overtaken("");
        assertEquals(1, held.size());
        held.withdrawn(move);
        permit = Calendar.Permit.OPEN;
        assertEquals(List.of(), release(held, 1, 10));
    }

    @Test
    void newChangesAreQueuedWhileAnyIsHeld() {
        HeldChanges<String> held = held();
        held.offer(add("s1"), "s1", at(0), nano(0));
        permit = Calendar.Permit.OPEN;
        assertFalse(held.offer(add("s2"), "s2", at(1), nano(1)));
        assertEquals(1, release(held, 1, 2.95).size());
        assertEquals(1, release(held, 3, 6).size());
    }

    @Test
    void eachHeldChangeIsReleasedWhenTheCalendarPermitsIt() {
        HeldChanges<String> held = held();
        held.offer(add("s1"), "s1", at(0), nano(0));
        held.offer(new Change(Change.Kind.WEIGHT, "s2", "a"), "s2", at(0), nano(0));
        openOnly = Change.Kind.WEIGHT;
        assertEquals(List.of("s2"), release(held, 1, 20));
        permit = Calendar.Permit.OPEN;
        assertEquals(List.of("s1"), release(held, 20, 40));
    }

    @Test
    void theNumberOfHeldChangesIsBounded() {
        HeldChanges<String> held = held();
        for (int i = 0; i < 5000; i++) {
            held.offer(add("s" + i), "x", at(0), nano(0));
        }
        assertEquals(4096, held.size());
        assertEquals(904, held.refused());
    }

    /**
     * All routers release the same server at the same time, one per slot, and no router releases two within an
     * interval.
     */
    @Test
    void routersThatHoldTheSameChangesReleaseThemInStep() {
        Random random = new Random(11);
        Map<String, List<Double>> times = new HashMap<>();
        List<HeldChanges<String>> routers = new ArrayList<>();
        List<Double> clocks = new ArrayList<>();
        List<List<Double>> mine = new ArrayList<>();
        for (int r = 0; r < 14; r++) {
            HeldChanges<String> held = new HeldChanges<>(() -> calendar, History.NONE, 5, INTERVAL);
            List<Integer> order = new ArrayList<>(
                    java.util.stream.IntStream.range(0, 20).boxed().toList());
            Collections.shuffle(order, random);
            order.forEach(i -> held.offer(add("s-" + i), "s-" + i, at(0), nano(0)));
            routers.add(held);
            clocks.add(random.nextDouble() - 0.5);
            mine.add(new ArrayList<>());
        }
        permit = Calendar.Permit.OPEN;
        for (double t = 10; t < 80; t += 0.05) {
            for (int r = 0; r < 14; r++) {
                // The freeze ends at 20 s by the clock of each router.
                if (t + clocks.get(r) >= 20) {
                    double now = t;
                    List<Double> of = mine.get(r);
                    routers.get(r).due(at(t + clocks.get(r)), nano(t)).forEach(s -> {
                        times.computeIfAbsent(s, x -> new ArrayList<>()).add(now);
                        of.add(now);
                    });
                }
            }
        }
        assertEquals(20, times.size());
        for (List<Double> of : times.values()) {
            assertEquals(14, of.size());
            assertTrue(Collections.max(of) - Collections.min(of) <= 1.2, () -> "not in step: " + of);
        }
        for (List<Double> of : mine) {
            for (int i = 1; i < of.size(); i++) {
                assertTrue(of.get(i) - of.get(i - 1) >= 1.999, () -> "two within an interval: " + of);
            }
        }
    }
}
