package stagepier.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Monitors an answer of which only a part has arrived, and reports it once it has stalled. Owns its single timer. */
final class StallTimer {
    /** The monitored answer, and the callback for a stall. */
    interface PartialAnswer {
        /** Whether a part of it has arrived and the rest has not. */
        boolean isIncomplete();

        /**
         * Seconds until it counts as stalled; 0 or less if it already does, infinite while the router does not read.
         */
        double stalledIn();

        /** Called when it has stalled. */
        void onStalled();
    }

    private final EventLoop loop;
    /** Seconds between two checks while the router does not read. */
    private final double recheckInterval;

    private final PartialAnswer answer;
    private Future<?> timer;

    StallTimer(EventLoop loop, double recheckInterval, PartialAnswer answer) {
        this.loop = loop;
        this.recheckInterval = recheckInterval;
        this.answer = answer;
    }

    /** Starts monitoring the answer, unless it is already monitored. */
    void start() {
        if (timer == null) {
            schedule();
        }
    }

    /** Stops monitoring after the answer has ended; the next answer gets a time of its own. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule() {
        double stalledIn = answer.stalledIn();
        double delay = stalledIn == Double.POSITIVE_INFINITY ? recheckInterval : stalledIn;
        timer = loop.schedule(this::check, Math.max(1, (long) Math.ceil(delay * 1e6)), TimeUnit.MICROSECONDS);
    }

    private void check() {
        timer = null;
        if (!answer.isIncomplete()) {
            return;
        }
        if (answer.stalledIn() <= 0) {
            answer.onStalled();
        } else {
            schedule();
        }
    }
}
