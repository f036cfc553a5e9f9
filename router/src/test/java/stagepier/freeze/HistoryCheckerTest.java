package stagepier.freeze;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Prevents a checker that finds nothing: adds each kind of violation to a valid history, which has to be detected. */
@Timeout(60)
class HistoryCheckerTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));

    private final VirtualFleet fleet = new VirtualFleet(2, 3, OPEN);

    @BeforeEach
    void startWithAValidHistory() {
        fleet.track(FROZEN);
        fleet.startAll();
        fleet.queryEvery(Duration.ofMillis(100));
        assertTrue(fleet.world.runUntil(fleet::allAgree, Duration.ofSeconds(5)));
        fleet.routers.get(1).propose(FROZEN);
        fleet.world.run(Duration.ofSeconds(8));
        assertEquals(List.of(), HistoryChecker.violations(fleet));
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    private void addEvent(String what, Object... values) {
        Map<String, Object> map = new java.util.LinkedHashMap<>();
        for (int i = 0; i < values.length; i += 2) {
            map.put((String) values[i], values[i + 1]);
        }
        fleet.events.add(new VirtualFleet.Event(fleet.world.seconds(), "r000", 1, what, map));
    }

    private void assertOneViolation(String text) {
        List<String> violations = HistoryChecker.violations(fleet);
        assertTrue(violations.size() == 1 && violations.get(0).contains(text), violations::toString);
    }

    private Version last() {
        return fleet.routers.get(0).learned();
    }

    @Test
    void twoCalendarsOfOneVersionAreAViolation() {
        addEvent("calendar.accepted", "version", last().toString(), "hash", Windows.hash(OPEN.text()));
        assertOneViolation("P5: " + last() + " is");
    }

    @Test
    void learningAnEarlierVersionIsAViolation() {
        Version before = new Version(last().generation(), 1);
        addEvent("calendar.learned", "version", before.toString(), "hash", Windows.hash(OPEN.text()));
        assertOneViolation("P5: r000 learned " + before);
    }

    @Test
    void confirmingAnOutdatedVersionIsAViolation() {
        addEvent("calendar.lease", "version", new Version(last().generation(), 1).toString(), "start", 8_000_000_000L);
        assertOneViolation("P5: r000 confirmed");
    }

    @Test
    void aFoundingThatLosesACalendarStillInAFileIsAViolation() {
        Version founded = new Version(last().generation() + 1_000_000, 1);
        addEvent("calendar.accepted", "version", founded.toString(), "hash", Windows.hash(OPEN.text()));
        assertOneViolation("P6: " + founded + " begins with");
    }

    @Test
    void openInsideAWindowIsAViolation() {
        fleet.queries.add(
                new VirtualFleet.Query(fleet.world.seconds(), fleet.trueTime(), "r002", Calendar.Permit.OPEN));
        assertOneViolation("P6: r002 was open");
    }
}
