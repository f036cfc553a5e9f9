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

/** A recurrence rule of a window (RFC 5545, section 3.3.10), evaluated in local time. Immutable. */
final class Recurrence {
    private static final TimeZone LOCAL_TIME_AS_UTC = TimeZone.getTimeZone("UTC");
    private static final Set<Freq> SUPPORTED_FREQUENCIES = Set.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);
    /** Limits the expansion of a rule that yields more start times than a calendar is meant for. */
    private static final int MAX_STARTS = 2_000;

    private final String text;

    /** @throws IllegalArgumentException if the rule is invalid; the message names the problem */
    Recurrence(String text, LocalDateTime start) {
        this.text = text;
        RecurrenceRule rule = rule(text);
        if (!SUPPORTED_FREQUENCIES.contains(rule.getFreq())) {
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

    /** Returns the start times in [{@code from}, {@code to}) of the recurrence that begins at {@code start}. */
    List<LocalDateTime> starts(LocalDateTime start, LocalDateTime from, LocalDateTime to) {
        return starts(start, from, to, MAX_STARTS);
    }

    private List<LocalDateTime> starts(LocalDateTime start, LocalDateTime from, LocalDateTime to, int limit) {
        List<LocalDateTime> starts = new ArrayList<>();
        try {
            RecurrenceRuleIterator it = rule(text).iterator(LocalTimes.toMillisAsUtc(start), LOCAL_TIME_AS_UTC);
            if (from.isAfter(start)) {
                it.fastForward(LocalTimes.toMillisAsUtc(from));
            }
            long end = LocalTimes.toMillisAsUtc(to);
            while (starts.size() < limit && it.hasNext() && it.peekMillis() < end) {
                starts.add(LocalTimes.fromMillisAsUtc(it.nextMillis()));
            }
        } catch (IllegalArgumentException | ArithmeticException e) {
            // The library throws for rules that yield no time over a very long period.
            return starts;
        }
        return starts;
    }

    @Override
    public String toString() {
        return text;
    }
}
