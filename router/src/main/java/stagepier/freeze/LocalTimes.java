package stagepier.freeze;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;

/**
 * A local time that a zone has twice, or never, on the day that its clocks are set: it can be read with the offset before and
 * with the one after. A freeze begins at the earlier and ends at the later of both readings, so that it is never shorter than
 * meant.
 */
final class LocalTimes {
    private LocalTimes() {}

    static Instant earlier(LocalDateTime local, ZoneId zone) {
        return read(local, zone, true);
    }

    static Instant later(LocalDateTime local, ZoneId zone) {
        return read(local, zone, false);
    }

    private static Instant read(LocalDateTime local, ZoneId zone, boolean earlier) {
        ZoneOffsetTransition set = zone.getRules().getTransition(local);
        if (set == null) {
            return local.toInstant(zone.getRules().getOffset(local));
        }
        Instant before = local.toInstant(set.getOffsetBefore());
        Instant after = local.toInstant(set.getOffsetAfter());
        return before.isBefore(after) == earlier ? before : after;
    }

    /** A local time as if it were one of UTC: what recurrences count in. */
    static long count(LocalDateTime local) {
        return local.toInstant(ZoneOffset.UTC).toEpochMilli();
    }

    static LocalDateTime local(long count) {
        return LocalDateTime.ofInstant(Instant.ofEpochMilli(count), ZoneOffset.UTC);
    }
}
