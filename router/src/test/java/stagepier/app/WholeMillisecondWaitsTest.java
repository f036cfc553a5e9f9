package stagepier.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the timers of an event loop and the number of polls while it waits for them. */
@Timeout(30)
class WholeMillisecondWaitsTest {
    private static final int TIMERS = 200;
    /** The remainder is just below half a millisecond, where a wait rounded to the nearest millisecond is 0. */
    private static final long DELAY_MICROSECONDS = 2_450;

    private final AtomicInteger polls = new AtomicInteger();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, WholeMillisecondWaits.socketHandlers(this::countingStrategy));

    private SelectStrategy countingStrategy() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            polls.incrementAndGet();
            return usual.calculateStrategy(selectNow, hasTasks);
        };
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @ParameterizedTest
    @CsvSource({
        "-5, -5",
        "0, 0",
        "1, 1000000",
        "499999, 1000000",
        "1000000, 1000000",
        "1000001, 2000000",
        "9223372036854775807, 9223372036854775807"
    })
    void waitsAreRoundedUp(long nanos, long rounded) {
        assertEquals(rounded, WholeMillisecondWaits.roundUp(nanos));
    }

    @Test
    void loopDoesNotPollUntilTimerIsDue() throws Exception {
        EventLoop loop = group.next();
        loop.submit(() -> {}).sync();
        int before = polls.get();
        for (int timer = 0; timer < TIMERS; timer++) {
            loop.schedule(() -> {}, DELAY_MICROSECONDS, TimeUnit.MICROSECONDS).sync();
        }
        int turns = polls.get() - before;
        assertTrue(turns <= 5 * TIMERS, turns + " turns for " + TIMERS + " timers");
    }

    @Test
    void noTimerRunsBeforeItIsDue() throws Exception {
        EventLoop loop = group.next();
        for (long micros : new long[] {0, 1, 400, 999, 1_000, 1_001, 1_600, 7_300}) {
            long from = System.nanoTime();
            loop.schedule(() -> {}, micros, TimeUnit.MICROSECONDS).sync();
            assertTrue(System.nanoTime() - from >= TimeUnit.MICROSECONDS.toNanos(micros), micros + " us");
        }
    }
}
