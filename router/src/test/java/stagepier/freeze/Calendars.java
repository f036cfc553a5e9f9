package stagepier.freeze;

import java.time.Instant;
import java.time.ZoneOffset;

/** Calendars for tests. */
final class Calendars {
    private Calendars() {}

    /** One window for all changes, from and to a moment. */
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
