package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FreshListWaitersTest {
    private static final int MAX_WAIT_MS = 200;

    private final EmbeddedChannel time = new EmbeddedChannel();
    private final List<String> executed = new ArrayList<>();
    private final FreshListWaiters waiters =
            new FreshListWaiters(time.eventLoop(), MAX_WAIT_MS, () -> executed.add("final read"));

    @Test
    void exceptionInOneWaiterDoesNotBlockTheOthers() {
        waiters.add(() -> {
            throw new IllegalStateException("exception thrown by a test");
        });
        waiters.add(() -> executed.add("second"));
        waiters.release();
        assertEquals(List.of("second"), executed);
    }

    @Test
    void allWaitersRunOnceAfterAFinalReadAtTheTimeout() {
        time.freezeTime();
        waiters.add(() -> executed.add("one"));
        waiters.add(() -> executed.add("two"));
        time.advanceTimeBy(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        time.advanceTimeBy(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        assertEquals(List.of("final read", "one", "two"), executed);
    }
}
