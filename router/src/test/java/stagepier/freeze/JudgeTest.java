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

/** Guards against a judge that finds nothing: each breach is planted in a good history. */
@Timeout(60)
class JudgeTest {
    private static final Instant START = Instant.parse("2026-12-02T18:00:01Z");
    private static final Windows OPEN = Calendars.window("past", START.minusSeconds(7200), START.minusSeconds(3600));
    private static final Windows FROZEN = Calendars.window("now", START.minusSeconds(60), START.plusSeconds(3600));

    private final VirtualFleet fleet = new VirtualFleet(2, 3, OPEN);

    @BeforeEach
    void aGoodHistory() {
        fleet.known(FROZEN);
        fleet.startAll();
        fleet.askEach(Duration.ofMillis(100));
        assertTrue(fleet.world.runUntil(fleet::agree, Duration.ofSeconds(5)));
        fleet.routers.get(1).propose(FROZEN);
        fleet.world.run(Duration.ofSeconds(8));
        assertEquals(List.of(), Judge.breaches(fleet));
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    private void plant(String what, Object... values) {
        Map<String, Object> map = new java.util.LinkedHashMap<>();
        for (int i = 0; i < values.length; i += 2) {
            map.put((String) values[i], values[i + 1]);
        }
        fleet.events.add(new VirtualFleet.Event(fleet.world.seconds(), "r000", 1, what, map));
    }

    private void found(String how) {
        List<String> breaches = Judge.breaches(fleet);
        assertTrue(breaches.size() == 1 && breaches.get(0).contains(how), breaches::toString);
    }

    private Version last() {
        return fleet.routers.get(0).learned();
    }

    @Test
    void anotherCalendarOfTheSameVersion() {
        plant("calendar.accepted", "version", last().toString(), "hash", Windows.hash(OPEN.text()));
        found("P5: " + last() + " is");
    }

    @Test
    void aProcessThatGoesBack() {
        Version before = new Version(last().generation(), 1);
        plant("calendar.learned", "version", before.toString(), "hash", Windows.hash(OPEN.text()));
        found("P5: r000 learned " + before);
    }

    @Test
    void aConfirmationOfWhatIsOver() {
        plant("calendar.lease", "version", new Version(last().generation(), 1).toString(), "start", 8_000_000_000L);
        found("P5: r000 confirmed");
    }

    @Test
    void aFoundingThatLosesWhatAFileStillSays() {
        Version founded = new Version(last().generation() + 1_000_000, 1);
        plant("calendar.accepted", "version", founded.toString(), "hash", Windows.hash(OPEN.text()));
        found("P6: " + founded + " begins with");
    }

    @Test
    void openInsideAWindow() {
        fleet.asked.add(new VirtualFleet.Asked(fleet.world.seconds(), fleet.trueTime(), "r002", Calendar.Permit.OPEN));
        found("P6: r002 was open");
    }
}
