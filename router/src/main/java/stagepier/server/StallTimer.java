package stagepier.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Looks after an answer of which only a part has come: gives it up once it has stopped for good. Owns its one timer. */
final class StallTimer {
    /** The answer that is looked after, and what becomes of it. */
    interface PartialAnswer {
        /** Whether a part of it has come and the rest has not. */
        boolean isInside();

        /** Seconds until it counts as stopped, 0 or less where it does by now; infinite while this side does not read on. */
        double stopsIn();

        /** It has stopped for good. */
        void stopped();
    }

    private final EventLoop loop;
    /** Seconds after which it is looked again while this side does not read on. */
    private final double lookAgain;

    private final PartialAnswer answer;
    private Future<?> timer;

    StallTimer(EventLoop loop, double lookAgain, PartialAnswer answer) {
        this.loop = loop;
        this.lookAgain = lookAgain;
        this.answer = answer;
    }

    /** Begins to look after the answer, unless it does so already. */
    void start() {
        if (timer == null) {
            schedule();
        }
    }

    /** The answer has ended: the next one has a time of its own. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule() {
        double stopsIn = answer.stopsIn();
        double wait = stopsIn == Double.POSITIVE_INFINITY ? lookAgain : stopsIn;
        timer = loop.schedule(this::look, Math.max(1, (long) Math.ceil(wait * 1e6)), TimeUnit.MICROSECONDS);
    }

    private void look() {
        timer = null;
        if (!answer.isInside()) {
            return;
        }
        if (answer.stopsIn() <= 0) {
            answer.stopped();
        } else {
            schedule();
        }
    }
}
