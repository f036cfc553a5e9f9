package stagepier.freeze;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;

/**
 * Converts local times to instants, including those that occur twice or never on the day of an offset transition. Such
 * a time can be interpreted with the offset before or after the transition. A freeze begins at the earlier and ends at
 * the later of both instants, so that it is never shorter than intended.
 */
final class LocalTimes {
    private LocalTimes() {}

    static Instant earlier(LocalDateTime local, ZoneId zone) {
        return resolve(local, zone, true);
    }

    static Instant later(LocalDateTime local, ZoneId zone) {
        return resolve(local, zone, false);
    }

    private static Instant resolve(LocalDateTime local, ZoneId zone, boolean earlier) {
        ZoneOffsetTransition transition = zone.getRules().getTransition(local);
        if (transition == null) {
            return local.toInstant(zone.getRules().getOffset(local));
        }
        Instant before = local.toInstant(transition.getOffsetBefore());
        Instant after = local.toInstant(transition.getOffsetAfter());
        return before.isBefore(after) == earlier ? before : after;
    }

    /** Returns a local time as if it were UTC, in milliseconds since 1970; recurrences are computed in this form. */
    static long toMillisAsUtc(LocalDateTime local) {
        return local.toInstant(ZoneOffset.UTC).toEpochMilli();
    }

    static LocalDateTime fromMillisAsUtc(long millis) {
        return LocalDateTime.ofInstant(Instant.ofEpochMilli(millis), ZoneOffset.UTC);
    }
}
