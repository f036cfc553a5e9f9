package stagepier.exchange;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stagepier.Api;
import stagepier.settings.SettingsParser;

/** What the host lets through of a module that would repeat anything at any time. */
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

    private static Exchange begun(double at) {
        Exchange exchange = new Exchange(1, null, null, at, at + 2);
        exchange.attempts().began(at);
        return exchange;
    }

    @Test
    void aFirstAttemptOfAnyClassMayBegin() {
        Exchange fresh = new Exchange(1, null, null, 0, 2);
        assertTrue(guard.allows(fresh, SAFE, 9) && guard.allows(fresh, KEYED, 9) && guard.allows(fresh, UNSAFE, 9));
    }

    @Test
    void whatMustNotRunTwiceIsRepeatedOnlyAfterProofThatItNeverRan() {
        Exchange exchange = begun(5);
        assertFalse(guard.allows(exchange, UNSAFE, 5.1), "it is out");
        exchange.attempts().ended(0, Api.Outcome.RESET);
        assertFalse(guard.allows(exchange, UNSAFE, 5.2), "it may have run");
        Exchange other = begun(5);
        other.attempts().ended(0, Api.Outcome.CONNECT_FAILED);
        assertTrue(guard.allows(other, UNSAFE, 5.2));
    }

    @Test
    void aKeyedOneIsRepeatedWithinTheWindowOfTheFirstThatMayHaveRun() {
        Exchange exchange = begun(5);
        exchange.attempts().ended(0, Api.Outcome.FULL);
        exchange.attempts().began(6);
        exchange.attempts().ended(1, Api.Outcome.TIMEOUT);
        assertTrue(guard.allows(exchange, KEYED, 7.4), "the first never ran");
        assertFalse(guard.allows(exchange, KEYED, 7.5));
        assertTrue(guard.allows(exchange, SAFE, 7.5));
    }

    @Test
    void noTwoAttemptsAreOutTogetherWhereSettingsForbidThat() {
        Exchange exchange = begun(5);
        assertFalse(guard(false).allows(exchange, SAFE, 5.1));
        exchange.attempts().ended(0, Api.Outcome.TIMEOUT);
        assertTrue(guard(false).allows(exchange, SAFE, 5.1));
    }
}
