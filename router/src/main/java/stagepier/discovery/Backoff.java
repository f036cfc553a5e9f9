package stagepier.discovery;

import java.util.random.RandomGenerator;

/**
 * Exponential back-off with random jitter: each delay is drawn uniformly between a minimum fraction of the current span
 * and the whole span. The jitter prevents many routers that lost the same service at once from reconnecting in step.
 */
final class Backoff {
    private final int firstMs;
    private final int maxMs;
    private final double minFraction;
    private final RandomGenerator random;
    private int spanMs;

    Backoff(int firstMs, int maxMs, RandomGenerator random) {
        this(firstMs, maxMs, 0, random);
    }

    /** @param minFraction fraction of each span, from 0 to below 1, that is always waited */
    Backoff(int firstMs, int maxMs, double minFraction, RandomGenerator random) {
        this.minFraction = minFraction;
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        this.random = random;
        spanMs = firstMs;
    }

    /** Returns the next delay in milliseconds and doubles the span. */
    int next() {
        int minMs = (int) (minFraction * spanMs);
        int delayMs = minMs + 1 + random.nextInt(spanMs - minMs);
        spanMs = Math.min(maxMs, spanMs * 2);
        return delayMs;
    }

    /** Restarts from the first span after a successful attempt. */
    void reset() {
        spanMs = firstMs;
    }
}
