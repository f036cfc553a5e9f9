package stagepier.freeze;

import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TimeZone;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/** A rule by which a window comes again (RFC 5545, section 3.3.10), counted in local times. Immutable. */
final class Recurrence {
    private static final TimeZone COUNT = TimeZone.getTimeZone("UTC");
    private static final Set<Freq> KNOWN = Set.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);
    /** Guards against a rule that names more times than a calendar is for. */
    private static final int MOST = 2_000;

    private final String text;

    /** @throws IllegalArgumentException with what is wrong with it */
    Recurrence(String text, LocalDateTime start) {
        this.text = text;
        RecurrenceRule rule = rule(text);
        if (!KNOWN.contains(rule.getFreq())) {
            throw new IllegalArgumentException("comes more often than daily");
        }
        if (rule.getUntil() != null && rule.getUntil().getTimeZone() != null) {
            throw new IllegalArgumentException("UNTIL has to be a local time, without Z");
        }
        if (rule.hasPart(RecurrenceRule.Part.BYHOUR)
                || rule.hasPart(RecurrenceRule.Part.BYMINUTE)
                || rule.hasPart(RecurrenceRule.Part.BYSECOND)) {
            throw new IllegalArgumentException("the time of day is that of start, not of BYHOUR, BYMINUTE or BYSECOND");
        }
        List<LocalDateTime> first = starts(start, start, start.plusYears(8), 1);
        if (first.isEmpty() || !first.get(0).equals(start)) {
            throw new IllegalArgumentException(
                    "start is none of its times" + (first.isEmpty() ? "" : ", the first is " + first.get(0)));
        }
    }

    private static RecurrenceRule rule(String text) {
        try {
            return new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        } catch (InvalidRecurrenceRuleException | RuntimeException e) {
            throw new IllegalArgumentException(
                    "no recurrence rule of RFC 5545: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                    e);
        }
    }

    /** Its times from {@code from} on and before {@code to}, where the first of all is {@code start}. */
    List<LocalDateTime> starts(LocalDateTime start, LocalDateTime from, LocalDateTime to) {
        return starts(start, from, to, MOST);
    }

    private List<LocalDateTime> starts(LocalDateTime start, LocalDateTime from, LocalDateTime to, int most) {
        List<LocalDateTime> starts = new ArrayList<>();
        try {
            RecurrenceRuleIterator it = rule(text).iterator(LocalTimes.count(start), COUNT);
            if (from.isAfter(start)) {
                it.fastForward(LocalTimes.count(from));
            }
            long end = LocalTimes.count(to);
            while (starts.size() < most && it.hasNext() && it.peekMillis() < end) {
                starts.add(LocalTimes.local(it.nextMillis()));
            }
        } catch (IllegalArgumentException | ArithmeticException e) {
            // The library gives up on rules that name no time for very long.
            return starts;
        }
        return starts;
    }

    @Override
    public String toString() {
        return text;
    }
}
