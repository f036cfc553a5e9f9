package stagepier.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import stagepier.lab.scale.Conversation;
import stagepier.lab.scale.Figure;

class CrossingTest {
    private static CapacityRow row(Figure figure, IntToDoubleFunction growth) {
        return CapacityRow.of(SyntheticSamples.series(figure, SyntheticSamples.SIZES, growth, 0, 1), 1900);
    }

    private static Crossing crossing(Figure figure, IntToDoubleFunction growth) {
        return row(figure, growth).crossing().orElseThrow();
    }

    @Test
    void theFirstSizeThatIsOverIsTold() {
        // 0.019 cores: over from the first n with 1e-4 n > 0.019 on.
        Crossing linear = crossing(Figure.PROCESSOR, n -> 1e-4 * n);
        assertEquals(Crossing.Kind.AT, linear.kind());
        assertEquals(191, linear.routers(), 1);
        assertEquals(Optional.of(100), linear.largestWithin());
        assertEquals(Optional.of(200), linear.smallestOver());
        assertEquals("at " + linear.routers() + " (played: within at 100, over at 200)", linear.text());
        assertEquals(101, crossing(Figure.PROCESSOR, n -> 0.009 + 1e-6 * n * n).routers(), 1);
        assertEquals(
                (int) Math.exp(9),
                crossing(Figure.DESCRIPTORS, n -> 5 + 3 * Math.log(n)).routers(),
                10);
    }

    @Test
    void whatStaysWithinIsNeverPassed() {
        assertEquals(
                "never (played: within at 1,900)",
                crossing(Figure.DESCRIPTORS, n -> 30).text());
        assertEquals(
                1900.0 * 2 / 7000, row(Figure.BYTES_IN, n -> 2.0 * n).partUsed().orElseThrow(), 1e-9);
        assertEquals(3501, crossing(Figure.BYTES_IN, n -> 2.0 * n).routers(), 1);
    }

    @Test
    void whatIsOverAtOnceIsPassedBelowTheSmallestMeasured() {
        assertEquals(
                "below the smallest measured (played: over at 50)",
                crossing(Figure.BYTES_IN, n -> 203.0 * n).text());
    }

    @Test
    void threadsMayNotGrowWhateverTheirNumber() {
        assertEquals("never", crossing(Figure.THREADS, n -> 4000).text());
        assertEquals("grows", crossing(Figure.THREADS, n -> 6 + 0.01 * n).text());
        assertTrue(row(Figure.THREADS, n -> 6 + 0.01 * n).partUsed().isEmpty());
    }

    @Test
    void budgetsAreThoseOfTheIssue() {
        assertEquals(
                7_000, ControlBudget.of(Subject.CONTROL_BYTES).orElseThrow().limit());
        assertEquals(
                0.019,
                ControlBudget.of(Subject.of(Conversation.PROCESS, Figure.PROCESSOR))
                        .orElseThrow()
                        .limit());
        assertEquals(
                256e6,
                ControlBudget.of(Subject.of(Conversation.PROCESS, Figure.RESIDENT))
                        .orElseThrow()
                        .limit());
        assertEquals(
                32,
                ControlBudget.of(Subject.of(Conversation.PROCESS, Figure.DESCRIPTORS))
                        .orElseThrow()
                        .limit());
        assertEquals(
                4,
                ControlBudget.of(Subject.of(Conversation.DISCOVERY, Figure.CHANGE_IN_FORCE))
                        .orElseThrow()
                        .limit());
        assertTrue(ControlBudget.of(Subject.of(Conversation.PROCESS, Figure.THREADS))
                .orElseThrow()
                .isNoGrowth());
        assertEquals(Optional.empty(), ControlBudget.of(Subject.of(Conversation.DISCOVERY, Figure.CHANGE_BYTES)));
        assertEquals(
                List.of("7 KB/s", "0.0190 cores", "256 MB", "32", "no growth", "4 s"),
                List.of(ControlBudget.values()).stream()
                        .map(ControlBudget::text)
                        .toList());
    }
}
