package stagepier.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import stagepier.exchange.ManualClock;
import stagepier.settings.SettingsParser;

/** The age of a cache server where the wall clock was stepped before this process began. */
class StartTimesTest {
    private static final double HOUR = 3600;

    private final ManualClock clock = new ManualClock();
    private final double began = clock.now();
    private final HostGroup group =
            new HostGroup(new SettingsParser.Names(List.of("c"), List.of(), List.of("a"), List.of("m")), clock);

    /** The start, by the clock here, of the one server that a list of discovery names. */
    private double fresh(long generation, int id, double startedAt) {
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
    void onARightClockTheListIsBelieved() {
        assertEquals(began - HOUR, fresh(1, 1, began - HOUR));
        clock.pass(10);
        assertEquals(began + 9.5, fresh(2, 2, began + 9.5));
        assertEquals(0, fresh(3, 3, 0), "long ago");
    }

    @Test
    void withAWallClockThatIsBehindAServerDoesNotStayColdUntilTheClockHasCaughtUp() {
        assertEquals(began, fresh(1, 1, began + HOUR));
        clock.pass(30);
        assertEquals(began, fresh(2, 1, began + HOUR), "it is the same start");
    }

    @Test
    void withAWallClockThatIsAheadAServerThatJoinsIsNotTakenForWarm() {
        fresh(1, 1, 0);
        clock.pass(20);
        assertEquals(began - 1, fresh(2, 2, clock.now() - HOUR));
        clock.pass(20);
        assertEquals(began + 19, fresh(3, 2, clock.now() - HOUR), "it has started anew");
    }

    @Test
    void aListThatMayBeOldSaysNothingOfWhoJoinedSince() {
        group.apply(JsonParser.parseString(message(1, 1, 0)));
        assertEquals(began - HOUR, fresh(2, 2, began - HOUR));
    }
}
