package stagepier.freeze;

import java.time.Instant;
import java.time.ZoneOffset;

/** Creates calendars for tests. */
final class Calendars {
    private Calendars() {}

    /** Returns a calendar with one window for all changes between two instants. */
    static Windows window(String name, Instant start, Instant end) {
        return CalendarFile.parse(
                "test",
                "zone = \"UTC\"\n[[window]]\nname = \"" + name + "\"\nstart = "
                        + start.atOffset(ZoneOffset.UTC)
                                .toLocalDateTime()
                                .withNano(0)
                                .plusNanos(1_000_000) + "\nend = "
                        + end.atOffset(ZoneOffset.UTC)
                                .toLocalDateTime()
                                .withNano(0)
                                .plusNanos(1_000_000)
                        + "\nscope = \"all\"\nreason = \"test\"\n");
    }
}
