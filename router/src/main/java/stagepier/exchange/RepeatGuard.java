package stagepier.exchange;

import stagepier.Api;

/**
 * Whether a further attempt of a request may begin, by its class and by what became of the attempts before: reckoned by the host, apart
 * from the module that decides. A pure function of the settings and the exchange.
 */
final class RepeatGuard {
    private final Api.Settings settings;

    RepeatGuard(Api.Settings settings) {
        this.settings = settings;
    }

    /**
     * Whether an attempt may begin now.
     *
     * @param requestClass the index of the request's class
     */
    boolean allows(Exchange exchange, int requestClass, double now) {
        Api.RequestClass rules = settings.classes().get(requestClass);
        AttemptHistory attempts = exchange.attempts();
        if (attempts.anyOut() && !settings.limits().concurrentAttempts()) {
            return false;
        }
        return switch (rules.repeat()) {
            case SAFE -> true;
            case KEYED -> !attempts.mayHaveRun() || now < attempts.firstThatMayHaveRun() + rules.dedupWindow();
            case UNSAFE -> !attempts.mayHaveRun();
        };
    }
}
