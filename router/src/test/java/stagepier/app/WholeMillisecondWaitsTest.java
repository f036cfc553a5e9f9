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

/** Timers of an event loop, and what waiting for them costs. */
@Timeout(30)
class WholeMillisecondWaitsTest {
    private static final int TIMERS = 200;
    /** Each of them is due a little before half a millisecond is over, where a wait rounded to the nearest is none. */
    private static final long DELAY_MICROSECONDS = 2_450;

    private final AtomicInteger looks = new AtomicInteger();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, WholeMillisecondWaits.ofSockets(this::counting));

    private SelectStrategy counting() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (selectNow, hasTasks) -> {
            looks.incrementAndGet();
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
        assertEquals(rounded, WholeMillisecondWaits.roundedUp(nanos));
    }

    @Test
    void theLoopDoesNotPollUntilATimerIsDue() throws Exception {
        EventLoop loop = group.next();
        loop.submit(() -> {}).sync();
        int before = looks.get();
        for (int timer = 0; timer < TIMERS; timer++) {
            loop.schedule(() -> {}, DELAY_MICROSECONDS, TimeUnit.MICROSECONDS).sync();
        }
        int turns = looks.get() - before;
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
