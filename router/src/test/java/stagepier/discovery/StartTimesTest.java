package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.exchange.ManualClock;
import stagepier.settings.SettingsParser;

/** Checks the age of a cache server when the wall clock was stepped before this process started. */
class StartTimesTest {
    private static final double HOUR = 3600;

    private final ManualClock clock = new ManualClock();
    private final double processStart = clock.now();
    private final HostGroup group =
            new HostGroup(new SettingsParser.Names(List.of("c"), List.of(), List.of("a"), List.of("m")), clock);

    /** Returns the local start time of the one server that a list received from discovery names. */
    private double startAfterFreshList(long generation, int id, double startedAt) {
        return group.applyFresh(JsonParser.parseString(message(generation, id, startedAt)))
                .hosts()
                .get(0)
                .member()
                .startedAt();
    }

    private static String message(long generation, int id, double startedAt) {
        return """
                {"generation":%d,"reset":false,"instances":[{"instanceId":"s-%d","hostPort":"127.0.0.1:9000",
                "zone":"a","machineType":"m","cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":%d}]}""".formatted(generation, id, Math.round(startedAt * 1e3));
    }

    @Test
    void listedStartIsUsedWithACorrectClock() {
        assertEquals(processStart - HOUR, startAfterFreshList(1, 1, processStart - HOUR));
        clock.pass(10);
        assertEquals(processStart + 9.5, startAfterFreshList(2, 2, processStart + 9.5));
        assertEquals(0, startAfterFreshList(3, 3, 0), "long ago");
    }

    @Test
    void serverDoesNotStayColdUntilAWallClockThatIsBehindHasCaughtUp() {
        assertEquals(processStart, startAfterFreshList(1, 1, processStart + HOUR));
        clock.pass(30);
        assertEquals(processStart, startAfterFreshList(2, 1, processStart + HOUR), "it is the same start");
    }

    @Test
    void newServerDoesNotCountAsWarmWithAWallClockThatIsAhead() {
        startAfterFreshList(1, 1, 0);
        clock.pass(20);
        assertEquals(processStart - 1, startAfterFreshList(2, 2, clock.now() - HOUR));
        clock.pass(20);
        assertEquals(processStart + 19, startAfterFreshList(3, 2, clock.now() - HOUR), "it was restarted");
    }

    @Test
    void listThatMayBeOldDoesNotLimitLaterStartTimes() {
        group.apply(JsonParser.parseString(message(1, 1, 0)));
        assertEquals(processStart - HOUR, startAfterFreshList(2, 2, processStart - HOUR));
    }
}
