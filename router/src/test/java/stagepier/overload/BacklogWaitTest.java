package stagepier.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The estimate of how long a connection may have waited to be accepted. */
class BacklogWaitTest {
    private static final int BATCH = 4;

    private final BacklogWait wait = new BacklogWait(BATCH);

    private void accept(int connections, double now) {
        for (int i = 0; i < connections; i++) {
            wait.onAccepted();
        }
        wait.onBatchEnd(now);
    }

    @Test
    void batchBelowTheLimitShowsAnEmptyBacklog() {
        accept(BATCH - 1, 1);
        accept(BATCH, 2);
        assertEquals(1, wait.earliestArrival(3));
    }

    @Test
    void batchEndedByAFailedAcceptIsIgnored() {
        accept(BATCH - 1, 1);
        accept(1, 2);
        wait.onAcceptFailed();
        accept(0, 3);
        wait.onAcceptFailed();
        assertEquals(1, wait.earliestArrival(4));
    }
}
