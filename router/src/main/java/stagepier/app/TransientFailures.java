package stagepier.app;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Repeats what the system may refuse for a moment, such as a file that cannot be read or a descriptor that cannot be had. Blocks its
 * thread between two tries: not for the event loop.
 */
final class TransientFailures {
    private static final Logger LOG = LoggerFactory.getLogger(TransientFailures.class);
    private static final long PAUSE_MS = 20;
    /** A process that could not begin within this would not be ready in time. */
    private static final long GIVES_UP_AFTER_MS = 10_000;

    private TransientFailures() {}

    /** Something that the system may refuse. */
    @FunctionalInterface
    interface Attempt<T> {
        T run() throws Config.InvalidConfigException;
    }

    /**
     * Repeats an attempt while what it throws was caused by the system.
     *
     * @throws Config.InvalidConfigException of the last try, or the first that no repetition mends
     */
    static <T> T repeat(Attempt<T> attempt) throws Config.InvalidConfigException {
        long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVES_UP_AFTER_MS);
        for (long tries = 1; ; tries++) {
            try {
                return attempt.run();
            } catch (Config.InvalidConfigException | RuntimeException e) {
                if (!isTransient(e) || System.nanoTime() > giveUpAt || !pause()) {
                    throw e;
                }
                if (tries == 1) {
                    LOG.warn(
                            "the system refuses something, tried again for up to {} ms: {}",
                            GIVES_UP_AFTER_MS,
                            e.toString());
                }
            }
        }
    }

    private static boolean isTransient(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof NoSuchFileException || cause instanceof AccessDeniedException) {
                return false;
            }
            if (cause instanceof IOException) {
                return true;
            }
        }
        return false;
    }

    /** Returns false where the thread is to end. */
    private static boolean pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
