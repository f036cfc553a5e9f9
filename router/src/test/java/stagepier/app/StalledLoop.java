package stagepier.app;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/** An event loop that stands still until it is resumed. */
final class StalledLoop {
    private final CountDownLatch stalled = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);

    /** Stalls the loop and waits until it stands still. */
    StalledLoop(EventLoop loop) throws InterruptedException {
        loop.execute(this::stall);
        stalled.await();
    }

    private void stall() {
        stalled.countDown();
        try {
            resumed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void resume() {
        resumed.countDown();
    }
}
