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
    private static final int ITEMS_PER_PRODUCER = 50_000;
    private static final int PRODUCERS = 4;

    /** Under contention no accepted item is lost or taken twice, and the items of each producer keep their order. */
    @Test
    void acceptedItemsAreTakenOnceAndInOrder() throws InterruptedException {
        LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        Mailbox<int[]> mailbox = tasks.mailbox(64);
        AtomicInteger put = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(PRODUCERS);
        for (int p = 0; p < PRODUCERS; p++) {
            int producer = p;
            tasks.start("put-" + p, () -> {
                for (int i = 0; i < ITEMS_PER_PRODUCER; i++) {
                    put.addAndGet(mailbox.put(new int[] {producer, i}) ? 1 : 0);
                }
                done.countDown();
            });
        }
        int taken = 0;
        int[] last = {-1, -1, -1, -1};
        for (; ; ) {
            boolean finished = done.getCount() == 0;
            int[] item = mailbox.take(Duration.ofMillis(finished ? 0 : 20));
            if (item == null && finished) {
                break;
            }
            if (item != null) {
                assertTrue(item[1] > last[item[0]], "out of order or twice");
                last[item[0]] = item[1];
                taken++;
            }
        }
        assertEquals(put.get(), taken);
        assertEquals(PRODUCERS * ITEMS_PER_PRODUCER, taken + mailbox.dropped());
        tasks.stop();
    }

    @Test
    void fullMailboxDropsAndCountsWithoutWaiting() throws InterruptedException {
        Mailbox<String> mailbox = new LiveTasks(Clock.systemUTC()).mailbox(2);
        assertTrue(mailbox.put("a") && mailbox.put("b"));
        assertTrue(!mailbox.put("c"));
        assertEquals(1, mailbox.dropped());
        assertEquals("a", mailbox.take(Duration.ZERO));
        assertTrue(mailbox.put("d"));
        assertEquals("b", mailbox.take(Duration.ZERO));
        assertEquals("d", mailbox.take(Duration.ZERO));
        assertNull(mailbox.take(Duration.ofMillis(1)));
    }

    @Test
    void stopEndsEveryWait() throws InterruptedException {
        LiveTasks tasks = new LiveTasks(Clock.systemUTC());
        CountDownLatch waiting = new CountDownLatch(2);
        CountDownLatch ended = new CountDownLatch(2);
        Mailbox<String> mailbox = tasks.mailbox(1);
        Tasks.Body sleeps = () -> tasks.sleep(Duration.ofHours(1));
        Tasks.Body takes = () -> mailbox.take(Duration.ofHours(1));
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
