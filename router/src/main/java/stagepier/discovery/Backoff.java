package stagepier.discovery;

import java.util.random.RandomGenerator;

/**
 * Waits between tries that grow, each by chance anywhere in its span from a least part of it on. Guards against many routers that lost the same service
 * at once and would all come back to it in step.
 */
final class Backoff {
    private final int firstMs;
    private final int mostMs;
    private final double leastPart;
    private final RandomGenerator random;
    private int spanMs;

    Backoff(int firstMs, int mostMs, RandomGenerator random) {
        this(firstMs, mostMs, 0, random);
    }

    /** @param leastPart of each span, from 0 to under 1, that is always waited */
    Backoff(int firstMs, int mostMs, double leastPart, RandomGenerator random) {
        this.leastPart = leastPart;
        this.firstMs = firstMs;
        this.mostMs = mostMs;
        this.random = random;
        spanMs = firstMs;
    }

    /** Milliseconds to wait now; the span doubles. */
    int next() {
        int least = (int) (leastPart * spanMs);
        int wait = least + 1 + random.nextInt(spanMs - least);
        spanMs = Math.min(mostMs, spanMs * 2);
        return wait;
    }

    /** A try went well. */
    void reset() {
        spanMs = firstMs;
    }
}
