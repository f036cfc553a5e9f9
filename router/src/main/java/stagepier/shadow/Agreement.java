package stagepier.shadow;

import java.time.Duration;
import java.util.Optional;

/**
 * A log per topic that a majority of the configured routers agrees on: each topic is a sequence of texts that is the
 * same on all routers.
 */
public interface Agreement {
    /** @param version increases with each text of the topic, by one or more */
    record Accepted(long version, String text) {}

    /**
     * Proposes a text as the next one of its topic.
     *
     * @return whether the text is known to be accepted when the timeout expires; if not, it may still be accepted later
     */
    boolean propose(String topic, String text, Duration timeout) throws InterruptedException;

    /** Returns the latest accepted text of the topic that this router has learned. */
    Optional<Accepted> latest(String topic);
}
