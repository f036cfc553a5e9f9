package stagepier.overload;

/**
 * For how long at most a connection that is accepted now has waited to be: since the listener last found nobody
 * waiting. What was sent on it is as old as that. Free of I/O and clock; all times in seconds.
 */
public final class BacklogWait {
    private int batch;
    private double emptyAt = Double.NaN;
    private double emptyBefore = Double.NaN;
    private int accepted;

    /** @param batch connections that the listener accepts in a row at the most */
    public BacklogWait(int batch) {
        this.batch = batch;
    }

    /** Connections that are accepted in a row at the most from now on. */
    public void setBatchLimit(int most) {
        batch = most;
    }

    /** One was accepted. */
    public void onAccepted() {
        accepted++;
    }

    /** The listener ends a row: fewer than a whole one means that nobody is left waiting. */
    public void onBatchEnd(double now) {
        emptyBefore = emptyAt;
        if (accepted < batch) {
            emptyAt = now;
        }
        accepted = 0;
    }

    /** The row that has just ended did so because accept failed: connections may be waiting as before. */
    public void onAcceptFailed() {
        emptyAt = emptyBefore;
    }

    /** The listener had been accepting all along and nobody came: nobody waits. */
    public void onIdle(double now) {
        emptyAt = now;
    }

    /** The earliest time at which one that is accepted now can have come. */
    public double earliestArrival(double now) {
        return Double.isNaN(emptyAt) ? now : emptyAt;
    }
}
