package stagepier.exchange;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stagepier.Api;

/**
 * Logs the life of each request by its id: when it was accepted, each attempt with its server and outcome, and how the
 * request ended. Writes one line per event at debug level, to a logger of its own that can be enabled separately.
 */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger("stagepier.requests");
    private static final double MILLIS = 1e3;

    /** @param unread seconds for which the request may have stayed unread */
    void taken(Exchange x, double unread) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("id={} taken unread_ms={} {}", x.command().id(), millis(unread), timeLeft(x, x.takenAt()));
        }
    }

    void sent(Exchange x, int attempt, long server, double now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("id={} attempt={} sent server={} {}", x.command().id(), attempt, server, timeLeft(x, now));
        }
    }

    /** Logs an attempt that the module requested and the host did not start. */
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
            LOG.debug("id={} answered {} {}", x.command().id(), kind, timeLeft(x, now));
        }
    }

    void clientGone(Exchange x, double now) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "id={} client gone attempts={} {}",
                    x.command().id(),
                    x.transmissions().size(),
                    timeLeft(x, now));
        }
    }

    private static String timeLeft(Exchange x, double now) {
        return "left_ms=" + millis(x.deadlineAt() - now);
    }

    private static long millis(double seconds) {
        return Math.round(seconds * MILLIS);
    }
}
