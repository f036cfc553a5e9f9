package stagepier.exchange;

import stagepier.Api;

/**
 * Checks whether another attempt of a request may start, given the request's class and the outcomes of its earlier
 * attempts. The host checks this independently of the decision module. A pure function of the settings and the
 * exchange.
 */
final class RepeatGuard {
    private final Api.Settings settings;

    RepeatGuard(Api.Settings settings) {
        this.settings = settings;
    }

    /**
     * Returns whether an attempt may start now.
     *
     * @param requestClass the index of the request's class
     */
    boolean allows(Exchange exchange, int requestClass, double now) {
        Api.RequestClass rules = settings.classes().get(requestClass);
        AttemptHistory attempts = exchange.attempts();
        if (attempts.anyInFlight() && !settings.limits().concurrentAttempts()) {
            return false;
        }
        return switch (rules.repeat()) {
            case SAFE -> true;
            case KEYED -> !attempts.mayHaveRun() || now < attempts.earliestStartThatMayHaveRun() + rules.dedupWindow();
            case UNSAFE -> !attempts.mayHaveRun();
        };
    }
}
