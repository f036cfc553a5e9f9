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
        if (startedAt == 0 || rules.warmUp() <= 0 || now - startedAt >= rules.warmUp()) {
            return 1;
        }
        double age = Math.max(0, now - startedAt);
        return Math.min(1, rules.coldShare() + (1 - rules.coldShare()) * age / rules.warmUp());
    }

    boolean affords(double now, double rate, double chance) {
        double budget = rate * rules.overloadSpan();
        if (budget < 1) {
            // Of a budget of less than one, none is saved up: all balancers at once would send one each.
            if (now >= drawnUntil) {
                drawnUntil = now + rules.overloadSpan();
                tokensAt = now;
                tokens = chance < budget ? 1 : 0;
            }
            return tokens >= 1;
        }
        tokens = Math.min(Math.max(1, budget / 2), tokens + (now - tokensAt) * rate);
        tokensAt = now;
        return tokens >= 1;
    }

    void spend() {
        tokens -= 1;
    }
}
