package stagepier.tasks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LiveTasksTest {
    private static final int EACH = 50_000;
    private static final int PUTTERS = 4;

    /** Under contention nothing is lost that was taken in, nothing comes twice, and each putter's things keep their order. */
    @Test
    void whatWasTakenInComesOutOnceAndInOrder() throws InterruptedException {
        LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        Mailbox<int[]> box = tasks.mailbox(64);
        AtomicInteger put = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(PUTTERS);
        for (int p = 0; p < PUTTERS; p++) {
            int putter = p;
            tasks.start("put-" + p, () -> {
                for (int i = 0; i < EACH; i++) {
                    put.addAndGet(box.put(new int[] {putter, i}) ? 1 : 0);
                }
                done.countDown();
            });
        }
        int taken = 0;
        int[] last = {-1, -1, -1, -1};
        for (; ; ) {
            boolean last1 = done.getCount() == 0;
            int[] thing = box.take(Duration.ofMillis(last1 ? 0 : 20));
            if (thing == null && last1) {
                break;
            }
            if (thing != null) {
                assertTrue(thing[1] > last[thing[0]], "out of order or twice");
                last[thing[0]] = thing[1];
                taken++;
            }
        }
        assertEquals(put.get(), taken);
        assertEquals(PUTTERS * EACH, taken + box.dropped());
        tasks.stop();
    }

    @Test
    void aFullBoxDropsAndCountsAndNeverWaits() throws InterruptedException {
        Mailbox<String> box = new LiveTasks(Clock.systemUTC()).mailbox(2);
        assertTrue(box.put("a") && box.put("b"));
        assertTrue(!box.put("c"));
        assertEquals(1, box.dropped());
        assertEquals("a", box.take(Duration.ZERO));
        assertTrue(box.put("d"));
        assertEquals("b", box.take(Duration.ZERO));
        assertEquals("d", box.take(Duration.ZERO));
        assertNull(box.take(Duration.ofMillis(1)));
    }

    @Test
    void aStopEndsEveryWait() throws InterruptedException {
        LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        CountDownLatch waiting = new CountDownLatch(2);
        CountDownLatch ended = new CountDownLatch(2);
        Mailbox<String> box = tasks.mailbox(1);
        Tasks.Body sleeps = () -> tasks.sleep(Duration.ofHours(1));
        Tasks.Body takes = () -> box.take(Duration.ofHours(1));
        for (Tasks.Body body : new Tasks.Body[] {sleeps, takes}) {
            tasks.start("waits", () -> {
                waiting.countDown();
                try {
                    body.run();
                } finally {
                    ended.countDown();
                }
            });
        }
        assertTrue(waiting.await(5, TimeUnit.SECONDS));
        tasks.stop();
        assertEquals(0, ended.getCount());
        tasks.start("late", () -> waiting.countDown());
        assertEquals(0, waiting.getCount());
    }
}
