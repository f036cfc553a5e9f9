package stagepier.exchange;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stagepier.Api;
import stagepier.settings.SettingsParser;

/** Checks which attempts the host allows when the module repeats any request at any time. */
class RepeatGuardTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;

    private static RepeatGuard guard(boolean concurrent) {
        return new RepeatGuard(SettingsParser.parse("""
                {"Classes":[{"Name":"read","Deadline":2,"GoalTime":1,"Repeat":"idempotent","Worth":1},
                {"Name":"put","Deadline":2,"GoalTime":1,"Repeat":"deduplicated","Group":"all","DedupWindow":1.5,"Worth":1},
                {"Name":"once","Deadline":2,"GoalTime":1,"Repeat":"at_most_once","Worth":1}],
                "Areas":["a"],"Flavors":["m"],"Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":0.25,
                "IdleClose":60,"MayDuplicate":%b},"Obligations":{"DrainGrace":1}}""".formatted(concurrent)).settings());
    }

    private final RepeatGuard guard = guard(true);

    private static Exchange exchangeStartedAt(double at) {
        Exchange exchange = new Exchange(1, null, null, at, at + 2);
        exchange.attempts().started(at);
        return exchange;
    }

    @Test
    void firstAttemptOfAnyClassIsAllowed() {
        Exchange fresh = new Exchange(1, null, null, 0, 2);
        assertTrue(guard.allows(fresh, SAFE, 9) && guard.allows(fresh, KEYED, 9) && guard.allows(fresh, UNSAFE, 9));
    }

    @Test
    void unsafeRequestIsRepeatedOnlyAfterProofThatItNeverRan() {
        Exchange exchange = exchangeStartedAt(5);
        assertFalse(guard.allows(exchange, UNSAFE, 5.1), "the first attempt is in flight");
        exchange.attempts().ended(0, Api.Outcome.RESET);
        assertFalse(guard.allows(exchange, UNSAFE, 5.2), "the first attempt may have run");
        Exchange other = exchangeStartedAt(5);
        other.attempts().ended(0, Api.Outcome.CONNECT_FAILED);
        assertTrue(guard.allows(other, UNSAFE, 5.2));
    }

    @Test
    void keyedRequestIsRepeatedWithinTheWindowOfTheFirstAttemptThatMayHaveRun() {
        Exchange exchange = exchangeStartedAt(5);
        exchange.attempts().ended(0, Api.Outcome.FULL);
        exchange.attempts().started(6);
        exchange.attempts().ended(1, Api.Outcome.TIMEOUT);
        assertTrue(guard.allows(exchange, KEYED, 7.4), "the first attempt never ran");
        assertFalse(guard.allows(exchange, KEYED, 7.5));
        assertTrue(guard.allows(exchange, SAFE, 7.5));
    }

    @Test
    void noConcurrentAttemptsIfSettingsForbidThem() {
        Exchange exchange = exchangeStartedAt(5);
        assertFalse(guard(false).allows(exchange, SAFE, 5.1));
        exchange.attempts().ended(0, Api.Outcome.TIMEOUT);
        assertTrue(guard(false).allows(exchange, SAFE, 5.1));
    }
}
