package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    /**
     * When 48 routers lose discovery at the same moment, no 100 ms interval has many of their calls, and their calls
     * become less frequent.
     */
    @Test
    void simultaneousFailuresRetryOutOfStepAndLessAndLessOften() {
        int[] callsIn100ms = new int[100];
        for (int router = 0; router < 48; router++) {
            Backoff backoff = new Backoff(100, 2000, new Random(router));
            for (int at = backoff.next(); at < 10_000; at += backoff.next()) {
                callsIn100ms[at / 100]++;
            }
        }
        assertTrue(IntStream.of(callsIn100ms).skip(10).max().orElseThrow() <= 20, "too many calls within 100 ms");
        int early = IntStream.of(callsIn100ms).limit(10).sum();
        int late = IntStream.of(callsIn100ms).skip(50).limit(10).sum();
        assertTrue(late < early / 2, early + " calls in the first second, " + late + " in the sixth");
    }

    @Test
    void delayGrowsToABoundAndRestartsAfterReset() {
        Backoff backoff = new Backoff(10, 40, new Random(1));
        for (int i = 0; i < 1000; i++) {
            int delayMs = backoff.next();
            assertTrue(delayMs >= 1 && delayMs <= 40, delayMs + " ms");
        }
        backoff.reset();
        assertTrue(backoff.next() <= 10);
    }
}
