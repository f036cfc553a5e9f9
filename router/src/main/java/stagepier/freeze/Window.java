package stagepier.freeze;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;

/**
 * A time in which some changes are forbidden, once or again and again. Immutable.
 *
 * @param end      null where it comes again by {@code rule}
 * @param rule     null where it comes once
 * @param duration of each time that it comes; null where it comes once
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
    /** Clocks are set by less than this. */
    private static final Duration MARGIN = Duration.ofDays(2);

    /** What holds from {@code startMs} to before {@code endMs}, in milliseconds since 1970. */
    record Span(long startMs, long endMs, Window window) {
        boolean touches(long fromMs, long toMs) {
            return startMs < toMs && endMs > fromMs;
        }
    }

    /** When it holds between two moments. */
    List<Span> spans(Instant from, Instant to) {
        List<Span> spans = new ArrayList<>();
        if (rule == null) {
            spans.add(span(LocalTimes.earlier(start, zone), LocalTimes.later(end, zone)));
        } else {
            LocalDateTime first = LocalDateTime.ofInstant(from.minus(duration).minus(MARGIN), zone);
            LocalDateTime last = LocalDateTime.ofInstant(to.plus(MARGIN), zone);
            for (LocalDateTime each : rule.starts(start, first, last)) {
                Instant begins = LocalTimes.earlier(each, zone);
                Instant byClock = LocalTimes.later(each.plus(duration), zone);
                Instant byTime = begins.plus(duration);
                spans.add(span(begins, byClock.isAfter(byTime) ? byClock : byTime));
            }
        }
        spans.removeIf(s -> !s.touches(from.toEpochMilli(), to.toEpochMilli()));
        return spans;
    }

    private Span span(Instant begins, Instant ends) {
        return new Span(begins.toEpochMilli(), ends.toEpochMilli(), this);
    }
}
