package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FreshListWaitersTest {
    private static final int MOST_MS = 200;

    private final EmbeddedChannel time = new EmbeddedChannel();
    private final List<String> done = new ArrayList<>();
    private final FreshListWaiters waiters =
            new FreshListWaiters(time.eventLoop(), MOST_MS, () -> done.add("last look"));

    @Test
    void aFaultInOneKeepsNoOtherWaiting() {
        waiters.add(() -> {
            throw new IllegalStateException("a fault that a test makes");
        });
        waiters.add(() -> done.add("second"));
        waiters.release();
        assertEquals(List.of("second"), done);
    }

    @Test
    void allRunOnceAfterALastLookWhenTheTimeIsUp() {
        time.freezeTime();
        waiters.add(() -> done.add("one"));
        waiters.add(() -> done.add("two"));
        time.advanceTimeBy(MOST_MS, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        time.advanceTimeBy(MOST_MS, TimeUnit.MILLISECONDS);
        time.runScheduledPendingTasks();
        assertEquals(List.of("last look", "one", "two"), done);
    }
}
