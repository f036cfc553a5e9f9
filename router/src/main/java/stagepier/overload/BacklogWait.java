package stagepier.overload;

/**
 * Estimates the maximum time that a connection accepted now has waited in the backlog: the time since the listener last
 * found the backlog empty. Data sent on the connection may be that old. Performs no I/O and reads no clock; all times
 * are in seconds.
 */
public final class BacklogWait {
    private int batch;
    private double emptyAt = Double.NaN;
    private double emptyBefore = Double.NaN;
    private int accepted;

    /** @param batch maximum number of connections that the listener accepts in a row */
    public BacklogWait(int batch) {
        this.batch = batch;
    }

    /** Sets the maximum number of connections that are accepted in a row. */
    public void setBatchLimit(int limit) {
        batch = limit;
    }

    /** Counts an accepted connection. */
    public void onAccepted() {
        accepted++;
    }

    /** Notes the end of a batch. A batch below the limit means that the backlog is empty. */
    public void onBatchEnd(double now) {
        emptyBefore = emptyAt;
        if (accepted < batch) {
            emptyAt = now;
        }
        accepted = 0;
    }

    /**
     * Notes that the batch which has just ended did so because accept failed, so that connections may still be waiting.
     */
    public void onAcceptFailed() {
        emptyAt = emptyBefore;
    }

    /** Notes that the listener was accepting all along and no connection arrived, so that the backlog is empty. */
    public void onIdle(double now) {
        emptyAt = now;
    }

    /** The earliest time at which a connection that is accepted now can have been opened by its client. */
    public double earliestArrival(double now) {
        return Double.isNaN(emptyAt) ? now : emptyAt;
    }
}
