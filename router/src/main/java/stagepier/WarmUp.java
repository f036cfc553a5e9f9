package stagepier;

/** Warm-up of a just-started server, and the budget of sends that keeps bursts off it. */
final class WarmUp {
    private final Api.Protection rules;
    final double startedAt;
    private double tokens;
    private double tokensAt;
    private double drawnUntil;

    /** A random first token: by chance, all balancers together then send what their budgets add up to. */
    WarmUp(Api.Protection rules, double startedAt, double now, double chance) {
        this.rules = rules;
        this.startedAt = startedAt;
        tokens = chance;
        tokensAt = now;
    }

    /** Part of its capacity that it has at the least. */
    double share(double now) {
        double age = Math.max(0, now - startedAt);
        if (startedAt == 0 || age >= rules.warmUp()) {
            return 1;
        }
        return Math.min(1, rules.coldShare() + (1 - rules.coldShare()) * age / rules.warmUp());
    }

    /** @param part of what it bears, {@code whole} a second, that is aimed at */
    boolean affords(double now, double whole, double part, double chance) {
        double rate = part * whole;
        double budget = rate * rules.overloadSpan();
        if (budget >= 1) {
            tokens = Math.min(Math.max(1, budget / 2), tokens + (now - tokensAt) * rate);
            tokensAt = now;
        } else if (now >= drawnUntil) {
            // Less than one is not saved up, or all balancers at once would send one each: it is drawn for
            // a span at a time, by the whole, for what is drawn and not used is lost.
            drawnUntil = now + rules.overloadSpan();
            tokensAt = now;
            tokens = chance < whole * rules.overloadSpan() ? 1 : 0;
        }
        return tokens >= 1;
    }

    void spend() {
        tokens -= 1;
    }
}
