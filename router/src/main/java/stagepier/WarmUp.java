package stagepier;

/** Slow start of a server: its rising share of capacity, and a token budget that limits bursts of sends. */
final class WarmUp {
    private final Api.Protection protection;
    final double startedAt;
    private double tokens;
    private double tokensAt;
    private double drawnUntil;

    /** The first token is random, so that all routers together send about the sum of their budgets. */
    WarmUp(Api.Protection protection, double startedAt, double now, double randomDraw) {
        this.protection = protection;
        this.startedAt = startedAt;
        tokens = randomDraw;
        tokensAt = now;
    }

    /** Returns the least fraction of its full capacity that the server has by now. */
    double share(double now) {
        double age = Math.max(0, now - startedAt);
        if (startedAt == 0 || age >= protection.warmUp()) {
            return 1;
        }
        return Math.min(1, protection.coldShare() + (1 - protection.coldShare()) * age / protection.warmUp());
    }

    /** @param fraction aimed at, of the {@code tolerated} requests per second */
    boolean hasBudget(double now, double tolerated, double fraction, double randomDraw) {
        double rate = fraction * tolerated;
        double budget = rate * protection.overloadSpan();
        if (budget >= 1) {
            tokens = Math.min(Math.max(1, budget / 2), tokens + (now - tokensAt) * rate);
            tokensAt = now;
        } else if (now >= drawnUntil) {
            // A budget below one send is not saved up, or all routers would send one each at the same time.
            // It is drawn once per span, from the full tolerated rate, since an unused draw is lost.
            drawnUntil = now + protection.overloadSpan();
            tokensAt = now;
            tokens = randomDraw < tolerated * protection.overloadSpan() ? 1 : 0;
        }
        return tokens >= 1;
    }

    void spend() {
        tokens -= 1;
    }
}
