package stagepier.freeze;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;

/**
 * A freeze window, during which some changes are forbidden; it occurs once or recurs by a rule. Immutable.
 *
 * @param end      null if the window recurs by {@code rule}
 * @param rule     null if the window occurs once
 * @param duration of each occurrence; null if the window occurs once
 */
record Window(
        String name,
        ZoneId zone,
        LocalDateTime start,
        LocalDateTime end,
        Recurrence rule,
        Duration duration,
        Scope scope,
        String reason) {
    /** Exceeds any difference between local time and UTC and any offset transition. */
    private static final Duration SEARCH_MARGIN = Duration.ofDays(2);

    /**
     * One occurrence of a window, from {@code startMs} inclusive to {@code endMs} exclusive, in milliseconds since
     * 1970.
     */
    record Span(long startMs, long endMs, Window window) {
        boolean overlaps(long fromMs, long toMs) {
            return startMs < toMs && endMs > fromMs;
        }
    }

    /** Returns the occurrences that overlap the given range. */
    List<Span> spans(Instant from, Instant to) {
        List<Span> spans = new ArrayList<>();
        if (rule == null) {
            spans.add(span(LocalTimes.earlier(start, zone), LocalTimes.later(end, zone)));
        } else {
            LocalDateTime first = LocalDateTime.ofInstant(from.minus(duration).minus(SEARCH_MARGIN), zone);
            LocalDateTime last = LocalDateTime.ofInstant(to.plus(SEARCH_MARGIN), zone);
            for (LocalDateTime localStart : rule.starts(start, first, last)) {
                Instant begins = LocalTimes.earlier(localStart, zone);
                Instant localEnd = LocalTimes.later(localStart.plus(duration), zone);
                Instant elapsedEnd = begins.plus(duration);
                spans.add(span(begins, localEnd.isAfter(elapsedEnd) ? localEnd : elapsedEnd));
            }
        }
        spans.removeIf(s -> !s.overlaps(from.toEpochMilli(), to.toEpochMilli()));
        return spans;
    }

    private Span span(Instant begins, Instant ends) {
        return new Span(begins.toEpochMilli(), ends.toEpochMilli(), this);
    }
}
