package stagepier.exchange;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;

/**
 * What became of each request, by its id: when it was taken, each attempt with its server and outcome, and how it ended. One line an event
 * at debug level, under a name of its own, so that it can be turned on alone.
 */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger("stagepier.requests");
    private static final double MILLIS = 1e3;

    /** @param unread seconds for which it may have lain unread */
    void taken(Exchange x, double unread) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("id={} taken unread_ms={} {}", x.command().id(), millis(unread), left(x, x.takenAt()));
        }
    }

    void sent(Exchange x, int attempt, long server, double now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("id={} attempt={} sent server={} {}", x.command().id(), attempt, server, left(x, now));
        }
    }

    /** An attempt that the module wanted and this process did not begin. */
    void notSent(Exchange x, int attempt, long server, String why) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "id={} attempt={} not sent server={} reason={}", x.command().id(), attempt, server, why);
        }
    }

    void ended(Exchange x, int attempt, long server, Api.Outcome outcome, double elapsed) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "id={} attempt={} ended server={} outcome={} after_ms={}",
                    x.command().id(),
                    attempt,
                    server,
                    outcome,
                    millis(elapsed));
        }
    }

    void answered(Exchange x, Reply.Kind kind, double now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("id={} answered {} {}", x.command().id(), kind, left(x, now));
        }
    }

    void clientGone(Exchange x, double now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "id={} client gone attempts={} {}",
                    x.command().id(),
                    x.sendings().size(),
                    left(x, now));
        }
    }

    private static String left(Exchange x, double now) {
        return "left_ms=" + millis(x.deadlineAt() - now);
    }

    private static long millis(double seconds) {
        return Math.round(seconds * MILLIS);
    }
}
