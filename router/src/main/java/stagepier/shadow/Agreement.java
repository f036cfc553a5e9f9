package stagepier.shadow;

import java.time.Duration;
import java.util.Optional;

/** What a majority of the configured routers agrees on, by topic: each topic is a sequence of texts, the same at all routers. */
public interface Agreement {
    /** @param version grows by one or more with each text of the topic */
    record Accepted(long version, String text) {}

    /**
     * Has a text accepted as the next one of its topic.
     *
     * @return whether it was, as far as is known when the time is up; where not, it may still be
     */
    boolean propose(String topic, String text, Duration most) throws InterruptedException;

    /** The last one that this router has learnt of. */
    Optional<Accepted> latest(String topic);
}
