package stagepier.app;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retries operations that the operating system may refuse temporarily, such as reading a file or opening a descriptor.
 * Blocks the calling thread between attempts, so it must not be used on the event loop.
 */
final class TransientFailures {
    private static final Logger LOG = LoggerFactory.getLogger(TransientFailures.class);
    private static final long RETRY_INTERVAL_MS = 20;
    /** A process that cannot start within this period would not be ready in time. */
    private static final long RETRY_LIMIT_MS = 10_000;

    private TransientFailures() {}

    /** An operation that the operating system may refuse. */
    @FunctionalInterface
    interface Attempt<T> {
        T run() throws Config.InvalidConfigException;
    }

    /**
     * Repeats an attempt while its failure is caused by an I/O error that may be temporary.
     *
     * @throws Config.InvalidConfigException of the last attempt, or of the first failure that a retry cannot resolve
     */
    static <T> T repeat(Attempt<T> attempt) throws Config.InvalidConfigException {
        long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_LIMIT_MS);
        for (long attempts = 1; ; attempts++) {
            try {
                return attempt.run();
            } catch (Config.InvalidConfigException | RuntimeException e) {
                if (!isTransient(e) || System.nanoTime() > giveUpAt || !awaitRetry()) {
                    throw e;
                }
                if (attempts == 1) {
                    LOG.warn(
                            "operation refused by the operating system; retrying for up to {} ms: {}",
                            RETRY_LIMIT_MS,
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

    /** Returns false if the thread was interrupted. */
    private static boolean awaitRetry() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
